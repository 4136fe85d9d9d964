package failover

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	joining = controlpb.UpstreamState_UPSTREAM_STATE_JOINING
	leaving = controlpb.UpstreamState_UPSTREAM_STATE_LEAVING
)

func (w *world) primaryLeaves() {
	if s := w.server(w.group().GetPrimary()); s != nil {
		w.announce(s, leaving)
	}
}

// switchoverFaults are those of failover and announcements. Entries that stand twice
// are drawn more often.
func switchoverFaults() (map[string]func(w *world, target int), []string) {
	all := maps.Clone(faults)
	all["leave"] = func(w *world, i int) { w.announce(w.servers[i], leaving) }
	all["primary leaves"] = func(w *world, _ int) { w.primaryLeaves() }
	all["return"] = func(w *world, i int) { w.announce(w.servers[i], joining) }
	names := append(slices.Sorted(maps.Keys(all)), "primary leaves", "primary leaves", "return", "wait", "wait")
	return all, names
}

// TestSwitchoverKeepsAcknowledgedWrites guards against a switchover that loses a write
// which was acknowledged in the replaced term, against leases of two terms at a time
// and against a group that stays without a primary, under any order of announcements,
// failures and changes of leader.
func TestSwitchoverKeepsAcknowledgedWrites(t *testing.T) {
	all, names := switchoverFaults()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Int64().Draw(t, "seed"), 3)
		w.elect()
		w.run(4 * time.Second)
		for range rapid.IntRange(3, 20).Draw(t, "faults") {
			fault := rapid.SampledFrom(names).Draw(t, "fault")
			all[fault](w, rapid.IntRange(0, 2).Draw(t, "target"))
			w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(w.failures) > 0 {
				t.Fatal(w.failures[0])
			}
		}
		w.elect()
		for _, s := range w.servers {
			w.announce(s, joining)
		}
		w.heal()
		if len(w.failures) > 0 {
			t.Fatal(w.failures[0])
		}
		g := w.group()
		if s := w.server(g.Primary); s == nil || s.inRecovery || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
			t.Fatalf("no primary after all faults were repaired: %v", g)
		}
	})
}

// TestSwitchoverEndsDespiteNewLeader guards against a switchover that never ends when
// the leader changes at any moment of it, or that loses positions of its sessions.
func TestSwitchoverEndsDespiteNewLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Int64().Draw(t, "seed"), 3)
		w.elect()
		w.run(4 * time.Second)
		w.primaryLeaves()
		w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "first ms")) * time.Millisecond)
		w.depose()
		w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "election ms")) * time.Millisecond)
		w.elect()
		w.run(10 * time.Second)
		if len(w.failures) > 0 {
			t.Fatal(w.failures[0])
		}
		g := w.group()
		if w.switched != 1 || g.Term != 2 || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY || g.Switchover {
			t.Fatalf("%d switchovers, group %v", w.switched, g)
		}
		if last := w.acked[1]; g.History[1].StartLsn < last.lsn {
			t.Fatalf("term 2 starts at %d, below the acknowledged write %v", g.History[1].StartLsn, last)
		}
	})
}

// leaveScripted brings a scripted group to the end of the leases of its leaving
// primary, whose position is then 300.
func leaveScripted(t *testing.T) *scripted {
	s := newScripted(t)
	s.now = 10 * time.Second
	s.probeAll(200, 200, 150)
	s.apply(announcement("s0", leaving))
	s.now += s.cfg.DrainPeriod
	s.probeAll(200, 200, 150)
	fence := s.proposed.GetFenceGroup()
	if !fence.GetSwitchover() {
		t.Fatalf("proposed %v", s.proposed)
	}
	s.now += time.Millisecond
	s.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: fence}})
	return s
}

func announcement(address string, state controlpb.UpstreamState) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
		Service: "v", Upstream: &controlpb.Upstream{Address: address, Group: groupName, State: state}}}}
}

// TestSwitchoverIsGivenUp guards against a fence that stays when no replica catches
// up, and against another one at once.
func TestSwitchoverIsGivenUp(t *testing.T) {
	s := leaveScripted(t)
	s.probeAll(300, 200, 150)
	s.now += s.cfg.CatchUpTimeout
	s.probeAll(300, 200, 150)
	begun := s.proposed.GetBeginPromotion()
	if begun.GetCandidate() != "s0" || begun.GetTerm() != 2 {
		t.Fatalf("proposed %v", s.proposed)
	}
	s.now += time.Millisecond
	s.apply(s.proposed)
	s.now += 100 * time.Millisecond
	s.probeAll(300, 300, 300)
	s.apply(s.proposed)
	if g := s.group(); g.Primary != "s0" || g.Switchover || g.History[1].StartLsn != 300 {
		t.Fatalf("group %v", g)
	}
	s.now += time.Second
	s.probeAll(300, 300, 300)
	if s.proposed != nil {
		t.Fatalf("proposed %v at once", s.proposed)
	}
	s.now += s.cfg.SwitchoverRetryInterval
	s.probeAll(300, 300, 300)
	if !s.proposed.GetFenceGroup().GetSwitchover() {
		t.Fatalf("not tried again: %v", s.proposed)
	}
}

// TestReturningPrimaryIsKept guards against the replacement of a primary that is
// announced as joining again during its switchover.
func TestReturningPrimaryIsKept(t *testing.T) {
	s := leaveScripted(t)
	s.apply(announcement("s0", joining))
	s.now += 100 * time.Millisecond
	s.probeAll(300, 200, 150)
	if begun := s.proposed.GetBeginPromotion(); begun.GetCandidate() != "s0" {
		t.Fatalf("proposed %v", s.proposed)
	}
}

// TestLostPrimaryEndsSwitchover guards against a switchover that waits for a primary
// which has died, and against a failover that counts as free of loss.
func TestLostPrimaryEndsSwitchover(t *testing.T) {
	s := leaveScripted(t)
	s.now += 100 * time.Millisecond
	s.probeAll(300, 200, 150)
	s.now += s.cfg.SuspectAfter
	s.probeAll(0, 200, 150)
	begun := s.proposed.GetBeginPromotion()
	if begun.GetCandidate() != "s1" || begun.GetSwitchover() {
		t.Fatalf("proposed %v", s.proposed)
	}
}

// TestNoFenceWithoutReplica guards against a fence that cuts transactions although no
// replica could take over, and against operators who are not told of it once.
func TestNoFenceWithoutReplica(t *testing.T) {
	s := newScripted(t)
	s.now = 10 * time.Second
	s.probeAll(200, 0, 0)
	s.apply(announcement("s0", leaving))
	delays := 0
	for range 100 {
		s.now += 100 * time.Millisecond
		s.probeAll(200, 0, 0)
		for _, e := range s.machine.Step(s.now, Tick{}) {
			switch e := e.(type) {
			case Propose:
				t.Fatalf("proposed %v", e.Command)
			case ReportSwitchoverDelay:
				delays++
			}
		}
	}
	if delays > 1 {
		t.Errorf("told %d times", delays)
	}
}
