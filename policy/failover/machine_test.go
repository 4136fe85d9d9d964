package failover

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestNoLeaseOfReplacedTermAfterPromotion injects random faults. It guards against a
// lease of a replaced term that is still valid after a promotion, two promotions in one
// term, a promotion that the replicated state does not ask for, a term start above the
// new primary's log, the readmission of a diverged server, and a group that stays
// without a primary after all faults are repaired.
func TestNoLeaseOfReplacedTermAfterPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 3)
		sim.elect()
		sim.runFor(time.Second)
		for range rapid.IntRange(3, 20).Draw(t, "faults") {
			fault := rapid.SampledFrom(faultNames).Draw(t, "fault")
			faults[fault](sim, rapid.IntRange(0, 2).Draw(t, "target"))
			sim.runFor(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(sim.failures) > 0 {
				t.Fatal(sim.failures[0])
			}
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

var faultNames = []string{"kill", "kill primary", "start", "cut control", "cut peers", "join",
	"rejoin", "demote", "elect", "depose", "loss", "cut proxy", "restart proxy", "wait"}

var faults = map[string]func(sim *simulation, target int){
	"kill":         func(sim *simulation, i int) { sim.servers[i].up = false },
	"kill primary": func(sim *simulation, _ int) { sim.killPrimary() },
	"start":        func(sim *simulation, i int) { sim.servers[i].up = true },
	"cut control":  func(sim *simulation, i int) { sim.servers[i].cutControl = true },
	"cut peers":    func(sim *simulation, i int) { sim.servers[i].cutPeers = true },
	"join":         func(sim *simulation, i int) { sim.servers[i].cutControl, sim.servers[i].cutPeers = false, false },
	"rejoin":       func(sim *simulation, i int) { sim.rejoin(sim.servers[i]) },
	"demote":       func(sim *simulation, i int) { sim.demote(sim.servers[i]) },
	"elect":        func(sim *simulation, _ int) { sim.elect() },
	"depose":       func(sim *simulation, _ int) { sim.depose() },
	"loss":         func(sim *simulation, i int) { sim.lossRate = float64(i) * 0.2 },
	"cut proxy":    func(sim *simulation, i int) { sim.processes[i].cut = !sim.processes[i].cut },
	"wait":         func(sim *simulation, _ int) {},
	// The earlier process keeps its leases behind a network partition.
	"restart proxy": func(sim *simulation, i int) {
		sim.processes[i].cut = true
		sim.startProcess(sim.processes[i].holder.Proxy)
	},
}

func (sim *simulation) killPrimary() {
	if s := sim.server(sim.group().Primary); s != nil {
		s.up = false
	}
}

// demote restarts a replaced primary in recovery with its old log.
func (sim *simulation) demote(s *server) {
	if g := sim.group(); g.Primary != "" && s.address != g.Primary && s.address != g.Candidate {
		s.inRecovery = true
	}
}

// repair ends message loss and the servers' network faults and elects a leader, then
// starts the servers that are down, and then lets all servers rejoin.
func (sim *simulation) repair() {
	sim.lossRate = 0
	for _, s := range sim.servers {
		s.cutControl, s.cutPeers = false, false
	}
	sim.elect()
	sim.runFor(15 * time.Second)
	for _, s := range sim.servers {
		s.up = true
	}
	sim.runFor(15 * time.Second)
	for _, s := range sim.servers {
		sim.rejoin(s)
	}
	sim.runFor(15 * time.Second)
}

// TestFailoverGap guards against a failover that takes more than 5 s of virtual time
// from the crash of the primary to the completed promotion.
func TestFailoverGap(t *testing.T) {
	for name, cutProxy := range map[string]bool{"all proxies connected": false, "one proxy is cut off": true} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range int64(30) {
				worst = max(worst, failoverGap(t, seed, cutProxy))
			}
			t.Logf("worst of 30: %v", worst)
			if worst > 5*time.Second {
				t.Errorf("worst gap %v, limit 5s", worst)
			}
		})
	}
}

func failoverGap(t *testing.T, seed int64, cutProxy bool) time.Duration {
	sim := newSimulation(seed, 11)
	sim.elect()
	// A new leader's failover also waits for leases of earlier leaders, so the crash
	// comes after those have expired.
	sim.runFor(4*time.Second + time.Duration(rand.New(rand.NewSource(seed)).Intn(1000))*time.Millisecond)
	if sim.group().GetTerm() != 1 {
		t.Fatal("no primary was adopted")
	}
	sim.processes[0].cut = cutProxy
	start := sim.now
	sim.killPrimary()
	for sim.group().Term == 1 && sim.now-start < 20*time.Second {
		sim.runFor(10 * time.Millisecond)
	}
	if len(sim.failures) > 0 {
		t.Fatal(sim.failures[0])
	}
	return sim.now - start
}

// harness runs a Machine for a group of three servers, with probe results that the test
// supplies.
type harness struct {
	t *testing.T
	*simulation
	proposed *controlpb.Command
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, simulation: newSimulation(1, 0)}
	h.queue = nil
	h.machine, h.leader = New(h.cfg), 1
	h.send(Elected{State: h.state.Proto()})
	h.probeAll(100, 100, 100)
	h.apply(&controlpb.Command{Change: &controlpb.Command_AdoptPrimary{AdoptPrimary: &controlpb.AdoptPrimary{
		Group: groupName, Address: "s0", StartLsn: 100, Timeline: 1}}})
	return h
}

func (h *harness) send(ev Event) {
	h.proposed = nil
	for _, e := range h.machine.Step(h.now, ev) {
		if p, ok := e.(Propose); ok {
			h.proposed = p.Command
		}
	}
}

func (h *harness) apply(c *controlpb.Command) {
	h.index++
	if r := h.state.Apply(h.index, c); r.Code != 0 {
		h.t.Fatalf("command refused: %v", r)
	}
	h.send(Applied{State: h.state.Proto()})
}

// probeAll sends one probe result per server, with s0 as primary and the others as
// replicas. A position of 0 stands for a failed probe. The last command that a result
// led to is kept in proposed.
func (h *harness) probeAll(lsns ...uint64) {
	var proposed *controlpb.Command
	for i, lsn := range lsns {
		h.send(ProbeResult{Address: fmt.Sprintf("s%d", i), SentAt: h.now, Answered: lsn > 0, InRecovery: i > 0,
			LSN: lsn, Timeline: 1, ReceiverActive: i > 0, ReceiverAge: time.Second})
		if h.proposed != nil {
			proposed = h.proposed
		}
	}
	h.proposed = proposed
}

// TestCandidateChosenAfterLeasesEnd guards against choosing a candidate by positions
// older than the last acknowledged write: a replica that confirmed a write before the
// leases expired must be chosen.
func TestCandidateChosenAfterLeasesEnd(t *testing.T) {
	h := newHarness(t)
	h.now = 10 * time.Second
	h.probeAll(0, 200, 150)
	h.send(LeaseGranted{Holder: Holder{Proxy: "p", Incarnation: "1"}})
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
	h.now += 2600 * time.Millisecond
	h.probeAll(0, 200, 150)
	h.now += 100 * time.Millisecond
	h.send(Tick{})
	h.send(ProbeResult{Address: "s1", SentAt: h.now, Answered: true, InRecovery: true, LSN: 200, Timeline: 1})
	if h.proposed != nil {
		t.Fatalf("candidate chosen before s2 answered: %v", h.proposed)
	}
	h.send(ProbeResult{Address: "s2", SentAt: h.now, Answered: true, InRecovery: true, LSN: 300, Timeline: 1})
	if got := h.proposed.GetBeginPromotion().GetCandidate(); got != "s2" {
		t.Fatalf("candidate %q, want s2", got)
	}
}

// TestTermStartsAtZeroForUnseenCandidate guards against a term start above the new
// primary's position. After a change of leader during the promotion the position at
// which the candidate left recovery is unknown, so all positions of earlier terms must
// count as lost.
func TestTermStartsAtZeroForUnseenCandidate(t *testing.T) {
	h := newHarness(t)
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
	h.apply(&controlpb.Command{Change: &controlpb.Command_BeginPromotion{BeginPromotion: &controlpb.BeginPromotion{
		Group: groupName, Candidate: "s1", Term: 2}}})
	h.send(Elected{State: h.state.Proto()})
	h.send(ProbeResult{Address: "s1", SentAt: h.now, Answered: true, LSN: 500, Timeline: 2})
	done := h.proposed.GetCompletePromotion()
	if done.GetPrimary() != "s1" || done.GetStartLsn() != 0 {
		t.Fatalf("proposed %v", h.proposed)
	}
}

// TestMayHaveDivergedAtAnyPromotion guards against a candidate that diverged at a
// promotion before the last one.
func TestMayHaveDivergedAtAnyPromotion(t *testing.T) {
	g := &group{history: []*controlpb.TermStart{
		{Term: 1, StartLsn: 137, Timeline: 1}, {Term: 2, StartLsn: 278, Timeline: 2}, {Term: 3, StartLsn: 288, Timeline: 3}}}
	for u, want := range map[upstream]bool{
		{timeline: 1, lsn: 277}: false,
		{timeline: 1, lsn: 287}: true,
		{timeline: 2, lsn: 287}: false,
		{timeline: 2, lsn: 288}: true,
		{timeline: 3, lsn: 500}: false,
	} {
		if got := g.mayHaveDiverged(&u); got != want {
			t.Errorf("timeline %d, LSN %d: %t, want %t", u.timeline, u.lsn, got, want)
		}
	}
}

// TestSilentCandidateIsReplaced guards against a group that waits forever for a
// candidate that does not answer.
func TestSilentCandidateIsReplaced(t *testing.T) {
	h := newHarness(t)
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
	h.apply(&controlpb.Command{Change: &controlpb.Command_BeginPromotion{BeginPromotion: &controlpb.BeginPromotion{
		Group: groupName, Candidate: "s1", Term: 2}}})
	h.now += 1900 * time.Millisecond
	h.probeAll(0, 0, 100)
	if h.proposed != nil {
		t.Fatalf("candidate replaced too early: %v", h.proposed)
	}
	h.now += 200 * time.Millisecond
	h.send(Tick{})
	if next := h.proposed.GetBeginPromotion(); next.GetCandidate() != "s2" || next.GetTerm() != 3 {
		t.Fatalf("proposed %v", h.proposed)
	}
}

// TestNoPromotionWhileReplicaHearsPrimary guards against a promotion when only the path
// from the leader to the primary is broken.
func TestNoPromotionWhileReplicaHearsPrimary(t *testing.T) {
	h := newHarness(t)
	h.probeAll(100, 100, 100)
	for range 20 {
		h.now += 200 * time.Millisecond
		h.send(ProbeResult{Address: "s0", SentAt: h.now})
		if h.proposed != nil {
			t.Fatalf("proposed %v", h.proposed)
		}
		h.send(ProbeResult{Address: "s1", SentAt: h.now, Answered: true, InRecovery: true, LSN: 100, Timeline: 1,
			ReceiverActive: true, ReceiverAge: 100 * time.Millisecond})
		if h.proposed != nil {
			t.Fatalf("proposed %v", h.proposed)
		}
	}
}

// TestAgeIsNeverUnderestimated guards against an age below the true one when the
// position history is thinned or does not go back to the replica's position.
func TestAgeIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p positionHistory
		count := rapid.IntRange(1, 3000).Draw(t, "samples")
		for i := range count {
			p.add(time.Duration(i)*time.Second, uint64(i)*10)
		}
		lsn := uint64(rapid.IntRange(0, count*10).Draw(t, "lsn"))
		now := time.Duration(count) * time.Second
		trueAge := now - time.Duration(min(lsn/10, uint64(count-1)))*time.Second
		if age, ok := p.age(now, lsn); ok && age < trueAge {
			t.Fatalf("age %v, true age %v", age, trueAge)
		}
	})
}

// TestHealthOmitsUnprobedServers guards against a new leader that reports servers as
// unreachable before it has probed them: proxies close their connections to unreachable
// replicas, which aborts the transactions that run there.
func TestHealthOmitsUnprobedServers(t *testing.T) {
	h := newHarness(t)
	h.now += time.Second
	h.send(Elected{State: h.state.Proto()})
	if health := h.machine.Health(h.now); len(health) != 0 {
		t.Errorf("health without a probe: %v", health)
	}
	h.probeAll(100, 100, 0)
	health := h.machine.Health(h.now)
	if len(health) != 3 || !health[1].Reachable || health[2].Reachable {
		t.Errorf("health after the probes: %v", health)
	}
}

// TestLeavingReplicaWithNewestWritesIsPromoted guards against the loss of acknowledged writes when the
// primary fails while the replica that confirmed them is leaving. The leaving replica is a candidate only
// if it has more than the others.
func TestLeavingReplicaWithNewestWritesIsPromoted(t *testing.T) {
	for _, c := range []struct {
		lsn  uint64
		want string
	}{{300, "s2"}, {200, "s1"}} {
		h := newHarness(t)
		h.now = 10 * time.Second
		h.probeAll(0, 200, c.lsn)
		h.apply(announcement("s2", leaving))
		h.send(LeaseGranted{Holder: Holder{Proxy: "p", Incarnation: "1"}})
		h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
		h.now += 2600 * time.Millisecond
		h.probeAll(0, 200, c.lsn)
		h.now += 100 * time.Millisecond
		h.send(Tick{})
		h.send(ProbeResult{Address: "s1", SentAt: h.now, Answered: true, InRecovery: true, LSN: 200, Timeline: 1})
		if h.proposed != nil {
			t.Fatalf("candidate chosen before the leaving replica answered: %v", h.proposed)
		}
		h.send(ProbeResult{Address: "s2", SentAt: h.now, Answered: true, InRecovery: true, LSN: c.lsn, Timeline: 1})
		if got := h.proposed.GetBeginPromotion().GetCandidate(); got != c.want {
			t.Errorf("leaving replica at %d, the other at 200: candidate %q, want %s", c.lsn, got, c.want)
		}
	}
}

// TestEndedReplicaDoesNotDelayFailover guards against a group that stays without a primary because a
// replica that ended for good is waited for.
func TestEndedReplicaDoesNotDelayFailover(t *testing.T) {
	h := newHarness(t)
	h.now = 10 * time.Second
	h.probeAll(0, 200, 0)
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
	h.now += h.cfg.LeaseExpiry
	h.send(Tick{})
	h.probeAll(0, 200, 0)
	if got := h.proposed.GetBeginPromotion().GetCandidate(); got != "s1" {
		t.Errorf("candidate %q, want s1", got)
	}
}

// TestRepeatedPromotionKeepsItsTerm guards against calls to a slow candidate that void each other: a call
// without an answer is repeated with the same term.
func TestRepeatedPromotionKeepsItsTerm(t *testing.T) {
	h := newHarness(t)
	h.apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: groupName, Term: 1}}})
	h.apply(&controlpb.Command{Change: &controlpb.Command_BeginPromotion{BeginPromotion: &controlpb.BeginPromotion{
		Group: groupName, Candidate: "s1", Term: 2}}})
	var terms []uint64
	for range 15 {
		h.now += 200 * time.Millisecond
		answer := ProbeResult{Address: "s1", SentAt: h.now, Answered: true, InRecovery: true, LSN: 100, Timeline: 1}
		for _, e := range h.machine.Step(h.now, answer) {
			if p, ok := e.(Promote); ok {
				terms = append(terms, p.Term)
			}
		}
	}
	if len(terms) < 2 || slices.ContainsFunc(terms, func(term uint64) bool { return term != 2 }) {
		t.Errorf("terms of the calls: %v, want 2 in each of several", terms)
	}
}
