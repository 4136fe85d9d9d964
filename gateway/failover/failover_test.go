package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/gateway/position"
)

// simulation steps time for a Machine and a group of three servers.
type simulation struct {
	t       *testing.T
	machine *Machine
	now     time.Duration
	in      Input
	// unanswered are the servers that do not answer orders to resume.
	unanswered []string
}

func newSimulation(t *testing.T) *simulation {
	s := &simulation{t: t, now: time.Hour, machine: New(time.Hour)}
	s.in.Servers = []Server{
		{ID: "p", ClaimsPrimary: true, Sample: Sample{Primary: true, Term: 1, Position: position.Position{Term: 1, Number: 100}}},
		{ID: "r1", Sample: Sample{Term: 1, Position: position.Position{Term: 1, Number: 99}}},
		{ID: "r2", Sample: Sample{Term: 1, Position: position.Position{Term: 1, Number: 97}}},
	}
	s.in.Reachability = Reachability{Nodes: 11}
	s.advance(3*time.Second, "p", "r1", "r2")
	return s
}

func (s *simulation) server(id string) *Server {
	return findServer(s.in.Servers, id)
}

// advance moves time forward in steps of 100 ms, in which the named servers answer probes, and orders to resume
// are answered, and returns all actions.
func (s *simulation) advance(d time.Duration, answering ...string) []Action {
	var all []Action
	for end := s.now + d; s.now < end; {
		s.now += 100 * time.Millisecond
		for _, id := range answering {
			s.server(id).Sample.At = s.now
		}
		actions := s.machine.Step(s.now, s.in)
		all = append(all, actions...)
		for _, a := range actions {
			if a.Resume != "" && !slices.Contains(s.unanswered, a.Resume) {
				s.machine.HandleResumed(s.now, a.Resume, a.Order)
			}
		}
	}
	return all
}

func promotions(orders []Action) []string {
	var ids []string
	for _, o := range orders {
		if o.Promote != "" {
			ids = append(ids, o.Promote)
		}
	}
	return ids
}

// Guards against a group that stays without a primary, and against losing more commits than
// necessary.
func TestMostAdvancedReplicaReplacesLostPrimary(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 11
	orders := s.advance(2*time.Second, "r1", "r2")
	want := []Action{{Promote: "r1", Term: 2, Reason: PrimaryLost, Order: 1}}
	if diff := cmp.Diff(want, orders); diff != "" {
		t.Error(diff)
	}
}

// Guards against a promotion although most nodes still reach the primary.
func TestPrimaryReachedByNodesIsKept(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 4
	s.in.Reachability.LongFailing = 4
	s.in.Reachability.Reaching = 7
	if orders := s.advance(10*time.Second, "r1", "r2"); len(orders) > 0 {
		t.Errorf("ordered %v", orders)
	}
}

// Guards against a minority of the nodes having no primary for the duration of a network
// partition although a failover would lose no commits.
func TestPrimaryLostByManyNodesIsReplaced(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.LongFailing = 5
	if got := promotions(s.advance(time.Second, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against the loss of acknowledged commits by a second failover (paplate-riga,
// burst-on-lag of 2026-12-04): a primary was replaced 0.8 s after its promotion because of
// reports from before it, by a replica that received nothing and lacked 69 commits.
func TestFreshPrimaryIsNotReplacedByLaggingReplica(t *testing.T) {
	s := newSimulation(t)
	s.server("r2").Sample.Position.Number = 30
	s.in.Reachability.Failing = 11
	s.advance(time.Second, "r1", "r2")
	s.in.Servers[0].Sample.Primary = false
	s.server("r1").Sample.Primary, s.server("r1").Sample.Term = true, 2
	s.in.Reachability = Reachability{Nodes: 11, Failing: 11, LongFailing: 11}
	if got := promotions(s.advance(6*time.Second, "r1", "r2")); len(got) > 0 {
		t.Errorf("promoted %v", got)
	}
}

// Guards against a leaving primary that is not replaced before it stops.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	s := newSimulation(t)
	s.server("p").Draining = true
	if got := promotions(s.advance(time.Second, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against the loss of acknowledged commits in a planned failover: a leaving primary
// continues to serve for some seconds, in which a lagging replica can catch up.
func TestLeavingPrimaryIsKeptWhileReplicasLag(t *testing.T) {
	s := newSimulation(t)
	s.server("r1").Sample.Position.Number, s.server("r2").Sample.Position.Number = 40, 30
	s.server("p").Draining = true
	if got := promotions(s.advance(2*time.Second, "p", "r1", "r2")); len(got) > 0 {
		t.Fatalf("promoted %v, which lacks 60 commits", got)
	}
	if !s.machine.NeedsFrequentProbes() {
		t.Error("no failover is pending, so the servers are not probed more often")
	}
	s.server("r2").Sample.Position.Number = 99
	if got := promotions(s.advance(200*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v", got)
	}
	s = newSimulation(t)
	s.server("r1").Sample.Position.Number, s.server("r2").Sample.Position.Number = 40, 30
	s.server("p").Draining = true
	if got := promotions(s.advance(catchUpTimeout+200*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("after catchUpTimeout promoted %v", got)
	}
}

// Guards against a promotion order without effect that blocks the group, and against an order
// that is repeated while its answer and its effect may still arrive.
func TestIneffectiveOrderIsRepeatedAfterTimeout(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 11
	if got := promotions(s.advance(2*time.Second, "r1", "r2")); len(got) != 1 {
		t.Fatalf("promoted %v", got)
	}
	if got := promotions(s.advance(2*time.Second, "r1", "r2")); len(got) != 1 {
		t.Errorf("in the next 2 s promoted %v, want one repeated order", got)
	}
}

// Load pattern: the platform leaves promotion orders unanswered and executes them seconds later.
// Guards against a group without a primary while the leader waits for an order that was lost
// (litbrot-ops scale-2), and against a second order for another server, after which the
// delayed first order would roll back writes.
func TestUnansweredOrderIsRepeatedForSameServer(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 11
	if got := promotions(s.advance(time.Second, "r1", "r2")); len(got) != 1 || got[0] != "r1" {
		t.Fatalf("ordered %v", got)
	}
	s.machine.HandleUnknownOutcome(s.now)
	if _, _, changing := s.machine.Primary(); !changing {
		t.Error("the failover is no longer in progress")
	}
	s.server("r2").Sample.Position.Number = 120
	if got := promotions(s.advance(100*time.Millisecond, "r1", "r2")); len(got) != 1 || got[0] != "r1" {
		t.Errorf("ordered %v, want r1 again at once", got)
	}
	s.machine.HandleUnknownOutcome(s.now)
	if got := promotions(s.advance(3*time.Second, "r2")); len(got) == 0 || got[len(got)-1] != "r2" {
		t.Errorf("ordered %v, r1 does not answer any more", got)
	}
}

// Guards against repeated orders that void each other: a slow platform checks the fence of an order when
// it carries it out, so an order that is repeated for the same server keeps its number.
func TestRepeatedOrderKeepsItsNumber(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 11
	numbers := func(answering ...string) []uint64 {
		var all []uint64
		for _, a := range s.advance(time.Second, answering...) {
			if a.Promote != "" {
				all = append(all, a.Order)
			}
		}
		return all
	}
	if got := numbers("r1", "r2"); !cmp.Equal(got, []uint64{1}) {
		t.Fatalf("orders %v", got)
	}
	s.machine.HandleUnknownOutcome(s.now)
	if got := numbers("r1", "r2"); !cmp.Equal(got, []uint64{1}) {
		t.Errorf("without an answer: orders %v", got)
	}
	s.machine.HandleAccepted()
	s.machine.HandleUnknownOutcome(s.now)
	if got := numbers("r1", "r2"); len(got) > 0 {
		t.Errorf("the order was accepted and is repeated at once: %v", got)
	}
	s.machine.HandleNotSent()
	if got := numbers("r1", "r2"); !cmp.Equal(got, []uint64{1}) {
		t.Errorf("after a call that was not taken: orders %v", got)
	}
	s.machine.HandleRefused(s.now, "r1")
	if got := numbers("r1", "r2"); !cmp.Equal(got, []uint64{2}) {
		t.Errorf("after a refusal: orders %v", got)
	}
}

// Guards against a repeated promotion order for a server that the platform has just refused.
func TestRefusedCandidateIsSkipped(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability.Failing = 11
	s.advance(time.Second, "r1", "r2")
	s.machine.HandleRefused(s.now, "r1")
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against the loss of commits that a replica has confirmed: a replica that was not
// paused could still receive and confirm commits from the old primary.
func TestSynchronousReplicasArePausedBeforePromotion(t *testing.T) {
	s := newSimulation(t)
	s.in.SyncReplicas = 1
	s.in.Reachability.Failing = 11
	orders := s.advance(time.Second, "r1", "r2")
	if got := promotions(orders); len(got) > 0 || len(orders) == 0 || orders[0].Pause == "" {
		t.Fatalf("before the replicas have paused: %v", orders)
	}
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(time.Second, "r1", "r2")); len(got) > 0 {
		t.Fatalf("with one of two paused: promoted %v", got)
	}
	s.server("r1").Sample.PausedTerm = 2
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against a lost primary that is not replaced because nodes without callers have not
// tried to reach it (TestFleetServesThePlatform took 20 s on 2026-12-04).
func TestIdleNodesDoNotDelayFailover(t *testing.T) {
	s := newSimulation(t)
	s.in.Reachability = Reachability{Nodes: 11, Failing: 1}
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("with one caller: promoted %v", got)
	}
	s = newSimulation(t)
	s.in.Reachability = Reachability{Nodes: 11}
	if got := promotions(s.advance(time.Second, "r1", "r2")); len(got) > 0 {
		t.Errorf("without callers promoted %v within 1 s, on the leader's probes alone", got)
	}
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("without callers: promoted %v", got)
	}
}

// Guards against a new leader that replaces a primary before it has received an announcement
// or probe result from it.
func TestNewLeaderWaitsForStartupDelay(t *testing.T) {
	s := newSimulation(t)
	s.machine = New(s.now)
	s.in.Reachability.Failing = 11
	if orders := s.advance(startupDelay-200*time.Millisecond, "r1", "r2"); len(orders) > 0 {
		t.Errorf("ordered %v", orders)
	}
}

// newSynchronousSimulation returns a group with one synchronous replica, whose leader has started long
// ago.
func newSynchronousSimulation(t *testing.T) *simulation {
	s := newSimulation(t)
	s.in.SyncReplicas = 1
	s.advance(lateOrderTimeout, "p", "r1", "r2")
	return s
}

func (s *simulation) pauseReplicas() {
	s.server("r1").Sample.PausedTerm, s.server("r2").Sample.PausedTerm = 2, 2
}

// losePrimary lets the primary be silent until its replicas are paused.
func (s *simulation) losePrimary() {
	s.t.Helper()
	s.in.Reachability.Failing = 11
	if got := promotions(s.advance(time.Second, "r1", "r2")); len(got) > 0 {
		s.t.Fatalf("promoted %v before the replicas have paused", got)
	}
	s.pauseReplicas()
}

func resumes(orders []Action) []string {
	var ids []string
	for _, o := range orders {
		if o.Resume != "" {
			ids = append(ids, o.Resume)
		}
	}
	return ids
}

// Guards against the loss of acknowledged commits when a primary crashes while the replica that received
// them drains (review, case 1): another replica was promoted.
func TestDrainingReplicaWithNewestCommitsIsPromoted(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("r1").Draining = true
	s.losePrimary()
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against the loss of acknowledged commits in a planned failover, and against commits that stop
// meanwhile: the candidate receives until it has what the draining replica has.
func TestCandidateCatchesUpWithDrainingReplica(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("r1").Draining, s.server("p").Draining = true, true
	orders := s.advance(100*time.Millisecond, "p", "r1", "r2")
	if diff := cmp.Diff([]Action{{Pause: "r1", Term: 2}}, orders); diff != "" {
		t.Error(diff)
	}
	s.server("r1").Sample.PausedTerm = 2
	if got := promotions(s.advance(catchUpTimeout+time.Second, "p", "r1", "r2")); len(got) > 0 {
		t.Fatalf("promoted %v, which lacks commits of r1", got)
	}
	if got := s.machine.Awaited(); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("waits for %v, want r1", got)
	}
	s.server("r2").Sample.Position.Number = 99
	if got := promotions(s.advance(time.Second, "p", "r1", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v", got)
	}
}

// Guards against a refused promotion that is followed by that of a replica without the acknowledged
// commits.
func TestRefusedCandidateIsNotReplacedByLesserOne(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.losePrimary()
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Fatalf("promoted %v", got)
	}
	s.machine.HandleRefused(s.now, "r1")
	if got := promotions(s.advance(refusalBackoff-200*time.Millisecond, "r1", "r2")); len(got) > 0 {
		t.Errorf("promoted %v just after the refusal", got)
	}
	if got := promotions(s.advance(400*time.Millisecond, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v after refusalBackoff", got)
	}
	s.machine.HandleRefused(s.now, "r1")
	if got := promotions(s.advance(10*time.Second, "r2")); len(got) > 0 {
		t.Errorf("promoted %v while r1 does not answer", got)
	}
}

// Guards against the loss of commits on a replica that leaves at the same time as the primary crashes.
func TestCommitsOfDepartedReplicaAreAwaited(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("r2").Sample.PausedTerm = 2
	s.in.Servers = []Server{s.in.Servers[0], s.in.Servers[2]}
	s.in.Reachability.Failing = 11
	if got := promotions(s.advance(10*time.Second, "r2")); len(got) > 0 {
		t.Errorf("promoted %v, which may lack commits of r1", got)
	}
	if got := s.machine.Awaited(); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("waits for %v, want r1", got)
	}
}

// Guards against commits that stop for good: after a primary had been silent, its replicas stayed paused
// (review, "Writes of a service with sync_replicas 1 stop for good").
func TestReplicasAreResumedWithoutPromotion(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.pauseReplicas()
	if got := resumes(s.advance(100*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1", "r2"}) {
		t.Errorf("resumed %v", got)
	}
	s.server("r1").Sample.PausedTerm, s.server("r2").Sample.PausedTerm = 0, 0
	if got := s.advance(time.Second, "p", "r1", "r2"); len(got) > 0 {
		t.Errorf("ordered %v without a paused replica", got)
	}
}

// Guards against a new leader that leaves the replicas paused that an earlier one paused, and against one
// that resumes them while an order of the earlier one may still be carried out.
func TestNewLeaderResumesPausedReplicas(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.pauseReplicas()
	s.machine = New(s.now)
	s.machine.Adopt(s.now, "p", 1)
	if got := s.advance(lateOrderTimeout-200*time.Millisecond, "p", "r1", "r2"); len(got) > 0 {
		t.Errorf("ordered %v while an earlier order may be carried out", got)
	}
	if got := resumes(s.advance(400*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1", "r2"}) {
		t.Errorf("resumed %v", got)
	}
}

// Guards against the loss of commits by a promotion order that is carried out late: until then, only the
// ordered server may receive.
func TestOnlyOrderedServerIsResumedWhileOrderIsOutstanding(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.losePrimary()
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Fatalf("ordered %v", got)
	}
	s.machine.HandleUnknownOutcome(s.now)
	s.in.Reachability = Reachability{Nodes: 11, Reaching: 11}
	if got := resumes(s.advance(200*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("resumed %v, want r1", got)
	}
	s.server("r1").Sample.PausedTerm = 0
	if got := resumes(s.advance(lateOrderTimeout-2*time.Second, "p", "r1", "r2")); len(got) > 0 {
		t.Errorf("resumed %v while the order may be carried out", got)
	}
	if got := resumes(s.advance(2*time.Second, "p", "r1", "r2")); len(got) == 0 || got[0] != "r2" {
		t.Errorf("resumed %v, want r2", got)
	}
}

// Guards against a group without synchronous replicas, whose servers are never paused, that is sent
// commands to resume.
func TestGroupWithoutSynchronousReplicasIsNotResumed(t *testing.T) {
	s := newSimulation(t)
	s.server("r1").Sample.PausedTerm = 2
	if got := s.advance(15*time.Second, "p", "r1", "r2"); len(got) > 0 {
		t.Errorf("ordered %v", got)
	}
}

// Guards against the loss of commits on a replica that was paused and has restarted since: it receives
// again, and an answer from before the primary was lost does not show that.
func TestPauseSeenBeforeThePrimaryWasLostIsConfirmed(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.pauseReplicas()
	// A new leader does not resume the replicas at once.
	s.machine = New(s.now)
	s.advance(3*time.Second, "p", "r1", "r2")
	s.in.Reachability.Failing = 11
	if got := promotions(s.advance(1200*time.Millisecond, "r1")); len(got) > 0 {
		t.Errorf("promoted %v while r2 has not answered since", got)
	}
	if got := promotions(s.advance(200*time.Millisecond, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v", got)
	}
}
