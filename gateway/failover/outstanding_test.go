package failover

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/gateway/position"
)

// What the platform states: a call without an answer is carried out up to platformOrderDelay later, and the
// ordered server leads up to platformPromotionTime after that.
const (
	platformOrderDelay    = 12 * time.Second
	platformPromotionTime = time.Second
)

// Guards against the loss of acknowledged commits by a promotion order that is carried out as late as the
// platform states (review, case 6): until then only the ordered server may receive, also under a new leader.
func TestOrderMayActAsLateAsThePlatformStates(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		s := newSynchronousSimulation(t)
		s.losePrimary()
		if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
			t.Fatalf("ordered %v", got)
		}
		s.machine.HandleUnknownOutcome(s.now)
		s.in.Reachability = Reachability{Nodes: 11, Reaching: 11}
		s.advance(200*time.Millisecond, "p", "r1", "r2")
		s.server("r1").Sample.PausedTerm = 0
		if leaderChanges {
			s.machine = New(s.now)
			s.machine.Adopt(s.now, "p", 1)
		}
		if got := resumes(s.advance(platformOrderDelay+platformPromotionTime, "p", "r1", "r2")); len(got) > 0 {
			t.Errorf("leader changes %v: resumed %v while the order may be carried out", leaderChanges, got)
		}
	}
}

// orderUnderWay returns a group whose primary is silent and which has the promotion of r1 under way.
func orderUnderWay(t *testing.T) *simulation {
	s := newSynchronousSimulation(t)
	s.losePrimary()
	if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Fatalf("ordered %v", got)
	}
	s.machine.HandleAccepted()
	return s
}

func (s *simulation) addServer(id string, number uint64) {
	s.in.Servers = append(s.in.Servers, Server{
		ID: id, Sample: Sample{Term: 1, Position: position.Position{Term: 1, Number: number}},
	})
}

// Guards against the loss of acknowledged commits by the promotion of a server that another one has overtaken
// (review, case 8): one that starts while the order is under way receives from a primary that the leader does
// not reach, until it is paused. The order for it has a higher number, which voids the one under way.
func TestServerThatOvertakesTheOrderedOneIsOrdered(t *testing.T) {
	s := orderUnderWay(t)
	s.addServer("r3", 140)
	got := s.advance(100*time.Millisecond, "r1", "r2", "r3")
	want := []Action{{Promote: "r3", Term: 2, Reason: PrimaryLost, Order: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	s = orderUnderWay(t)
	s.server("r2").Sample.PausedTerm = 0
	s.server("r2").Sample.Position.Number = 105
	if got := promotions(s.advance(100*time.Millisecond, "r1", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("a replica has restarted and received: ordered %v, want r2", got)
	}
}

// Guards against two servers that both receive, each of which may have commits that the other lacks: the one
// that is less advanced is paused before the other is ordered.
func TestOvertakingServerWaitsForTheOthers(t *testing.T) {
	s := orderUnderWay(t)
	s.addServer("r3", 140)
	s.addServer("r4", 139)
	got := s.advance(100*time.Millisecond, "r1", "r2", "r3", "r4")
	if diff := cmp.Diff([]Action{{Pause: "r4", Term: 2}}, got); diff != "" {
		t.Fatal(diff)
	}
	s.server("r4").Sample.PausedTerm = 2
	if got := promotions(s.advance(100*time.Millisecond, "r1", "r2", "r3", "r4")); !cmp.Equal(got, []string{"r3"}) {
		t.Errorf("ordered %v, want r3", got)
	}
}

// Guards against an order that is replaced without need, which takes the time of another promotion: the new
// server has no more than the ordered one, the primary leads and the ordered one receives from it, or the order
// has taken effect and the ordered one has not answered since.
func TestOrderIsKeptWithoutNeedToReplaceIt(t *testing.T) {
	s := orderUnderWay(t)
	s.addServer("r3", 99)
	got := s.advance(100*time.Millisecond, "r1", "r2", "r3")
	if diff := cmp.Diff([]Action{{Pause: "r3", Term: 2}}, got); diff != "" {
		t.Errorf("a server that is not ahead: %s", diff)
	}

	s = orderUnderWay(t)
	s.in.Reachability = Reachability{Nodes: 11, Reaching: 11}
	s.addServer("r3", 140)
	if got := promotions(s.advance(time.Second, "p", "r1", "r2", "r3")); len(got) > 0 {
		t.Errorf("the primary leads: ordered %v", got)
	}

	s = orderUnderWay(t)
	s.server("r1").Sample.PausedTerm = 0
	s.addServer("r3", 140)
	if got := promotions(s.advance(time.Second, "r1", "r2", "r3")); len(got) > 0 {
		t.Errorf("the ordered server receives and may have been asked earlier: ordered %v", got)
	}
	s.server("r3").Sample.PausedTerm = 2
	s.advance(100*time.Millisecond, "r2", "r3")
	got = s.advance(100*time.Millisecond, "r1", "r2")
	if diff := cmp.Diff([]Action{{Pause: "r1", Term: 2}}, got); diff != "" {
		t.Errorf("the ordered server has not received what r3 has: %s", diff)
	}
	s.server("r1").Sample.PausedTerm = 2
	if got := promotions(s.advance(100*time.Millisecond, "r1", "r2")); !cmp.Equal(got, []string{"r3"}) {
		t.Errorf("the ordered server is paused: ordered %v, want r3", got)
	}

	s = orderUnderWay(t)
	s.server("r2").Sample = Sample{Term: 2, Position: position.Position{Term: 2, Number: 120}}
	if got := promotions(s.advance(time.Second, "r2")); len(got) > 0 {
		t.Errorf("the order has taken effect: ordered %v", got)
	}
}

// Guards against a server that starts while an order is under way and is noticed only after the promotion.
func TestServersAreProbedOftenWhileAnOrderIsUnderWay(t *testing.T) {
	if s := orderUnderWay(t); !s.machine.NeedsFrequentProbes() {
		t.Error("servers are not probed more often")
	}
}

// resumedLate returns a group whose primary was silent for a moment: both replicas were paused and ordered to
// resume, and those named have not answered that order.
func resumedLate(t *testing.T, unanswered ...string) *simulation {
	s := newSynchronousSimulation(t)
	s.unanswered = unanswered
	s.losePrimary()
	s.in.Reachability = Reachability{Nodes: 11}
	s.advance(100*time.Millisecond, "p", "r1", "r2")
	s.server("r1").Sample.PausedTerm, s.server("r2").Sample.PausedTerm = 0, 0
	s.server("r1").Sample.Position.Number, s.server("r2").Sample.Position.Number = 100, 100
	s.advance(time.Second, "p", "r1", "r2")
	return s
}

// Guards against the loss of acknowledged commits by an order to resume a replica that is carried out late, behind
// the pause for the next promotion (issue 53): that replica is the candidate, or the primary stops leading first.
func TestReplicaThatMayBeResumedLateIsNotTakenAsPaused(t *testing.T) {
	s := resumedLate(t, "r1")
	s.server("p").Draining = true
	s.machine.candidate = "r2"
	s.advance(100*time.Millisecond, "p", "r1", "r2")
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(200*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("one replica may be resumed: promoted %v, awaited %v", got, s.machine.Awaited())
	}

	s = resumedLate(t, "r1", "r2")
	s.server("p").Draining = true
	s.advance(100*time.Millisecond, "p", "r1", "r2")
	s.server("r2").Sample.PausedTerm = 2
	orders := s.advance(demotionDelay+200*time.Millisecond, "p", "r1", "r2")
	if got := promotions(orders); len(got) > 0 {
		t.Fatalf("both replicas may be resumed: promoted %v", got)
	}
	if got := demotions(orders); !cmp.Equal(got, []string{"p"}) {
		t.Fatalf("both replicas may be resumed: demoted %v, want p", got)
	}
	s.server("p").Sample.Primary, s.server("p").Sample.PausedTerm = false, 2
	if got := promotions(s.advance(200*time.Millisecond, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("after the primary's lead: promoted %v, awaited %v", got, s.machine.Awaited())
	}
}

// Guards against a lost primary that is not replaced for the time in which an order to resume may be carried out: the
// replica of that order is promoted, and whatever it receives meanwhile is kept. One that is behind is waited for, as
// long as the order is possible.
func TestReplicaThatMayBeResumedLateIsPromoted(t *testing.T) {
	s := resumedLate(t, "r1")
	s.losePrimary()
	if got := promotions(s.advance(200*time.Millisecond, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("promoted %v, awaited %v", got, s.machine.Awaited())
	}

	s = resumedLate(t, "r1")
	s.server("r1").Sample.Position.Number = 99
	s.losePrimary()
	if got := promotions(s.advance(5*time.Second, "r1", "r2")); len(got) > 0 {
		t.Errorf("promoted %v, which may lack what r1 receives", got)
	}
	if got := promotions(s.advance(platformOrderDelay, "r1", "r2")); len(got) == 0 || got[0] != "r2" {
		t.Errorf("promoted %v, awaited %v", got, s.machine.Awaited())
	}
}
