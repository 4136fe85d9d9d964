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

func (sim *simulation) primaryLeaves() {
	if s := sim.server(sim.group().GetPrimary()); s != nil {
		sim.announce(s, leaving)
	}
}

// switchoverFaults returns the faults of the failover tests and announcements, and their
// names. Names that occur more than once are drawn more often.
func switchoverFaults() (map[string]func(sim *simulation, target int), []string) {
	all := maps.Clone(faults)
	all["leave"] = func(sim *simulation, i int) { sim.announce(sim.servers[i], leaving) }
	all["primary leaves"] = func(sim *simulation, _ int) { sim.primaryLeaves() }
	all["return"] = func(sim *simulation, i int) { sim.announce(sim.servers[i], joining) }
	names := append(slices.Sorted(maps.Keys(all)), "primary leaves", "primary leaves", "return", "wait", "wait")
	return all, names
}

// TestSwitchoverKeepsAcknowledgedWrites injects announcements, failures and changes of
// leader in random order. It guards against a switchover that loses a write acknowledged
// in the replaced term, leases of two terms that are valid at the same time, and a group
// that stays without a primary.
func TestSwitchoverKeepsAcknowledgedWrites(t *testing.T) {
	all, names := switchoverFaults()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 3)
		sim.elect()
		sim.runFor(4 * time.Second)
		for range rapid.IntRange(3, 20).Draw(t, "faults") {
			fault := rapid.SampledFrom(names).Draw(t, "fault")
			all[fault](sim, rapid.IntRange(0, 2).Draw(t, "target"))
			sim.runFor(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(sim.failures) > 0 {
				t.Fatal(sim.failures[0])
			}
		}
		sim.elect()
		for _, s := range sim.servers {
			sim.announce(s, joining)
		}
		sim.repair()
		if len(sim.failures) > 0 {
			t.Fatal(sim.failures[0])
		}
		g := sim.group()
		if s := sim.server(g.Primary); s == nil || s.inRecovery || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
			t.Fatalf("no primary after all faults were repaired: %v", g)
		}
	})
}

// TestSwitchoverEndsDespiteNewLeader guards against a switchover that never ends, or that
// starts the new term below an acknowledged write and so loses the positions of sessions,
// when the leader changes at any time during it.
func TestSwitchoverEndsDespiteNewLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 3)
		sim.elect()
		sim.runFor(4 * time.Second)
		sim.primaryLeaves()
		sim.runFor(time.Duration(rapid.IntRange(0, 1500).Draw(t, "first ms")) * time.Millisecond)
		sim.depose()
		sim.runFor(time.Duration(rapid.IntRange(0, 1500).Draw(t, "election ms")) * time.Millisecond)
		sim.elect()
		sim.runFor(10 * time.Second)
		if len(sim.failures) > 0 {
			t.Fatal(sim.failures[0])
		}
		g := sim.group()
		if sim.switchovers != 1 || g.Term != 2 || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY || g.Switchover {
			t.Fatalf("%d switchovers, group %v", sim.switchovers, g)
		}
		if last := sim.newestAcked[1]; g.History[1].StartLsn < last.lsn {
			t.Fatalf("term 2 starts at %d, below the acknowledged write %v", g.History[1].StartLsn, last)
		}
	})
}

// newSwitchoverHarness returns a harness whose leaving primary s0 is fenced and has no
// valid lease left. The tests continue with s0 at position 300.
func newSwitchoverHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.now = 10 * time.Second
	h.probeAll(200, 200, 150)
	h.apply(announcement("s0", leaving))
	h.now += h.cfg.DrainPeriod
	h.probeAll(200, 200, 150)
	fence := h.proposed.GetFenceGroup()
	if !fence.GetSwitchover() {
		t.Fatalf("proposed %v", h.proposed)
	}
	h.now += time.Millisecond
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: fence}})
	return h
}

func announcement(address string, state controlpb.UpstreamState) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
		Service: "v", Upstream: &controlpb.Upstream{Address: address, Group: groupName, State: state}}}}
}

// TestSwitchoverIsAbandonedWithoutCaughtUpReplica guards against a group that stays
// fenced when no replica catches up, and against an immediate second attempt.
func TestSwitchoverIsAbandonedWithoutCaughtUpReplica(t *testing.T) {
	h := newSwitchoverHarness(t)
	h.probeAll(300, 200, 150)
	h.now += h.cfg.CatchUpTimeout
	h.probeAll(300, 200, 150)
	begun := h.proposed.GetBeginPromotion()
	if begun.GetCandidate() != "s0" || begun.GetTerm() != 2 {
		t.Fatalf("proposed %v", h.proposed)
	}
	h.now += time.Millisecond
	h.apply(h.proposed)
	h.now += 100 * time.Millisecond
	h.probeAll(300, 300, 300)
	h.apply(h.proposed)
	if g := h.group(); g.Primary != "s0" || g.Switchover || g.History[1].StartLsn != 300 {
		t.Fatalf("group %v", g)
	}
	h.now += time.Second
	h.probeAll(300, 300, 300)
	if h.proposed != nil {
		t.Fatalf("proposed %v before SwitchoverRetryInterval", h.proposed)
	}
	h.now += h.cfg.SwitchoverRetryInterval
	h.probeAll(300, 300, 300)
	if !h.proposed.GetFenceGroup().GetSwitchover() {
		t.Fatalf("switchover was not retried: %v", h.proposed)
	}
}

// TestReturningPrimaryIsKept guards against the replacement of a primary that is
// announced as joining again during its switchover.
func TestReturningPrimaryIsKept(t *testing.T) {
	h := newSwitchoverHarness(t)
	h.apply(announcement("s0", joining))
	h.now += 100 * time.Millisecond
	h.probeAll(300, 200, 150)
	if begun := h.proposed.GetBeginPromotion(); begun.GetCandidate() != "s0" {
		t.Fatalf("proposed %v", h.proposed)
	}
}

// TestLostPrimaryTurnsSwitchoverIntoFailover guards against a switchover that waits for a
// crashed primary, and against a failover that is recorded as a switchover without loss.
func TestLostPrimaryTurnsSwitchoverIntoFailover(t *testing.T) {
	h := newSwitchoverHarness(t)
	h.now += 100 * time.Millisecond
	h.probeAll(300, 200, 150)
	h.now += h.cfg.SuspectAfter
	h.probeAll(0, 200, 150)
	begun := h.proposed.GetBeginPromotion()
	if begun.GetCandidate() != "s1" || begun.GetSwitchover() {
		t.Fatalf("proposed %v", h.proposed)
	}
}

// TestNoFenceWithoutReplica guards against a fence that interrupts transactions although
// no replica can take over, and against repeated events about the delay.
func TestNoFenceWithoutReplica(t *testing.T) {
	h := newHarness(t)
	h.now = 10 * time.Second
	h.probeAll(200, 0, 0)
	h.apply(announcement("s0", leaving))
	delays := 0
	for range 100 {
		h.now += 100 * time.Millisecond
		h.probeAll(200, 0, 0)
		for _, e := range h.machine.Step(h.now, Tick{}) {
			switch e := e.(type) {
			case Propose:
				t.Fatalf("proposed %v", e.Command)
			case ReportSwitchoverDelay:
				delays++
			}
		}
	}
	if delays > 1 {
		t.Errorf("delay reported %d times", delays)
	}
}
