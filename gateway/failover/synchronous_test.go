package failover

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/gateway/position"
)

// endServer lets a server refuse connections from now on.
func (s *simulation) endServer(id string) {
	s.server(id).EndedSince = s.now
}

func demotions(orders []Action) []string {
	var ids []string
	for _, o := range orders {
		if o.Demote != "" {
			ids = append(ids, o.Demote)
		}
	}
	return ids
}

// Guards against a leaving primary that is not replaced until it ends, because a replica that ended for good
// a while ago is waited for.
func TestEndedReplicaDoesNotDelayPlannedPromotion(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.endServer("r1")
	s.advance(10*time.Second, "p", "r2")
	s.server("p").Draining = true
	s.server("r2").Sample.Position.Number = 100
	if got := promotions(s.advance(time.Second, "p", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v, awaited %v", got, s.machine.Awaited())
	}
}

// Guards against a lost primary that is not replaced because a replica that ended for good before it is
// waited for, listed or not: the primary had answered since, so it had no commits of the ended one alone.
func TestEndedReplicaDoesNotDelayFailover(t *testing.T) {
	for _, listed := range []bool{true, false} {
		s := newSynchronousSimulation(t)
		s.endServer("r1")
		s.advance(time.Second, "p", "r2")
		s.server("r2").Sample.Position.Number = 100
		s.advance(5*time.Second, "p", "r2")
		s.in.Reachability.Failing = 11
		s.advance(time.Second, "r2")
		if !listed {
			s.in.Servers = []Server{*s.server("p"), *s.server("r2")}
		}
		s.server("r2").Sample.PausedTerm = 2
		if got := promotions(s.advance(time.Second, "r2")); !cmp.Equal(got, []string{"r2"}) {
			t.Errorf("listed %v: promoted %v, awaited %v", listed, got, s.machine.Awaited())
		}
	}
}

// Guards against the loss of acknowledged commits on a replica that ends just before the primary: the
// primary did not answer after the end of the replica, so nothing shows what that had received.
func TestReplicaThatEndedWithThePrimaryIsAwaited(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.in.Reachability.Failing = 11
	s.endServer("r1")
	s.advance(time.Second, "r2")
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(20*time.Second, "r2")); len(got) > 0 {
		t.Errorf("promoted %v, which may lack commits of r1", got)
	}
	if got := s.machine.Awaited(); !cmp.Equal(got, []string{"r1"}) {
		t.Errorf("waits for %v, want r1", got)
	}
}

// Guards against the loss of acknowledged commits on a replica that refused connections for a moment, for
// instance while it restarted.
func TestReplicaThatRefusedForAMomentIsAwaited(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.endServer("r1")
	s.server("r2").Sample.Position.Number = 100
	s.advance(endConfirmTime-500*time.Millisecond, "p", "r2")
	s.in.Reachability.Failing = 11
	s.server("r1").EndedSince = 0
	s.advance(time.Second, "r2")
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(5*time.Second, "r2")); len(got) > 0 {
		t.Errorf("promoted %v although r1 runs and does not answer", got)
	}
}

// Guards against a leaving primary that is not replaced until it ends, because a replica is silent, for
// instance behind a partition. It may still receive commits, so the primary is demoted first.
func TestLeavingPrimaryIsDemotedWhenReplicaIsSilent(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.advance(5*time.Second, "p", "r2")
	s.server("p").Draining = true
	s.server("r2").Sample.Position.Number = 100
	orders := s.advance(demotionDelay+200*time.Millisecond, "p", "r2")
	if got := promotions(orders); len(got) > 0 {
		t.Fatalf("promoted %v, which may lack commits of r1", got)
	}
	if got := demotions(orders); !cmp.Equal(got, []string{"p"}) {
		t.Fatalf("demoted %v, want p", got)
	}
	s.server("p").Sample.Primary, s.server("p").Sample.PausedTerm = false, 2
	s.server("p").Sample.Position.Number = 101
	if got := promotions(s.advance(500*time.Millisecond, "p", "r2")); len(got) > 0 {
		t.Fatalf("promoted %v, which lacks commit 101", got)
	}
	s.server("r2").Sample.Position.Number = 101
	if got := promotions(s.advance(200*time.Millisecond, "p", "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v, awaited %v", got, s.machine.Awaited())
	}
}

// Guards against a primary that is demoted without need, or in a moment in which no candidate can have its
// commits: all servers answer, the candidate is behind, or the primary is not leaving.
func TestPrimaryIsNotDemotedWithoutNeed(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("p").Draining = true
	if got := demotions(s.advance(3*time.Second, "p", "r1", "r2")); len(got) > 0 {
		t.Errorf("demoted %v although all servers answer", got)
	}
	s = newSynchronousSimulation(t)
	s.advance(5*time.Second, "p", "r2")
	s.server("p").Draining = true
	s.server("r2").Sample.Position.Number = 50
	if got := demotions(s.advance(3*time.Second, "p", "r2")); len(got) > 0 {
		t.Errorf("demoted %v although the candidate lacks 50 commits", got)
	}
	s = newSynchronousSimulation(t)
	s.in.Reachability.LongFailing = 11
	if got := demotions(s.advance(10*time.Second, "p", "r2")); len(got) > 0 {
		t.Errorf("demoted %v, which is not leaving", got)
	}
}

// Guards against the loss of acknowledged commits of a term that the leader has not observed: r1 was promoted,
// its commits were acknowledged by the old primary, and both end before r1 answers as primary. r2 has less.
func TestReplicaOfUnobservedPrimaryIsAwaited(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("p").Draining = true
	s.server("r1").Sample.Position.Number, s.server("r2").Sample.PausedTerm = 100, 2
	if got := promotions(s.advance(time.Second, "p", "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
		t.Fatalf("promoted %v", got)
	}
	// r2 shows that term 2 has begun.
	s.server("r2").Sample.Term, s.server("r2").Sample.PausedTerm = 2, 0
	s.server("r2").Sample.Position = position.Position{Term: 2, Number: 101}
	s.server("p").Sample = Sample{Term: 2, Position: position.Position{Term: 2, Number: 105}}
	s.advance(100*time.Millisecond, "p", "r2")
	s.in.Servers = []Server{*s.server("r1"), *s.server("r2")}
	s.endServer("r1")
	s.server("r2").Sample.PausedTerm = 3
	if got := promotions(s.advance(20*time.Second, "r2")); len(got) > 0 {
		t.Errorf("promoted %v, which lacks commits that p had acknowledged", got)
	}
}

// Guards against a group that stays without a primary when the primary crashes as a replica ends as planned:
// a replica that drains is paused ahead, so that its position is known. It goes on receiving while no other
// replica does, since commits would stop.
func TestDrainingReplicaIsPausedAhead(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.server("r1").Draining = true
	s.server("r2").Sample.Position.Number = 100
	orders := s.advance(time.Second, "p", "r1", "r2")
	if diff := cmp.Diff(Action{Pause: "r1", Term: 2}, orders[0]); diff != "" {
		t.Fatal(diff)
	}
	s.server("r1").Sample.PausedTerm = 2
	if got := resumes(s.advance(3*time.Second, "p", "r1", "r2")); len(got) > 0 {
		t.Errorf("resumed %v although r2 receives", got)
	}
	if got := resumes(s.advance(3*time.Second, "p", "r1")); len(got) == 0 || got[0] != "r1" {
		t.Errorf("resumed %v although r2 does not answer, want r1", got)
	}
	s.advance(time.Second, "p", "r1", "r2")
	// r1 leaves as planned, and the primary crashes at the same time.
	s.server("r1").Sample.PausedTerm = 2
	s.advance(2*time.Second, "p", "r1", "r2")
	s.in.Servers = []Server{*s.server("p"), *s.server("r2")}
	s.in.Reachability.Failing = 11
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(2*time.Second, "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v, awaited %v", got, s.machine.Awaited())
	}
}

// Guards against an operator who cannot end a wait for servers that are lost for good: without synchronous
// replicas the most advanced server is promoted at once.
func TestWaitEndsWithoutSynchronousReplicas(t *testing.T) {
	s := newSynchronousSimulation(t)
	s.in.Reachability.Failing = 11
	s.advance(time.Second, "r2")
	s.server("r2").Sample.PausedTerm = 2
	if got := promotions(s.advance(10*time.Second, "r2")); len(got) > 0 {
		t.Fatalf("promoted %v, which may lack commits of r1", got)
	}
	s.in.SyncReplicas = 0
	if got := promotions(s.advance(200*time.Millisecond, "r2")); !cmp.Equal(got, []string{"r2"}) {
		t.Errorf("promoted %v", got)
	}
	if got := s.machine.Awaited(); len(got) > 0 {
		t.Errorf("still waits for %v", got)
	}
}

// Guards against the loss of acknowledged commits on a replica behind a partition (review, case 9): a new leader
// takes a server that says nothing off its list after 4 s, and the primary goes on confirming commits with it. One
// that has said that it leaves, or has been silent for longer than partitions last, does not delay the failover.
func TestSilentReplicaCountsAsEndedOnlyBehindAnyPartition(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  bool
		quiet time.Duration
		want  []string
	}{
		{"silent for a moment", false, silenceTimeout - time.Second, nil},
		{"silent for long", false, silenceTimeout + time.Second, []string{"r2"}},
		{"left", true, 2 * time.Second, []string{"r2"}},
	} {
		s := newSynchronousSimulation(t)
		s.in.Servers = []Server{*s.server("p"), *s.server("r2")}
		if c.left {
			s.in.Left = []string{"r1"}
		}
		s.server("r2").Sample.Position.Number = 100
		s.advance(c.quiet, "p", "r2")
		s.in.Reachability.Failing = 11
		s.advance(time.Second, "r2")
		s.server("r2").Sample.PausedTerm = 2
		if got := promotions(s.advance(time.Second, "r2")); !cmp.Equal(got, c.want) {
			t.Errorf("%s: promoted %v, want %v; awaited %v", c.name, got, c.want, s.machine.Awaited())
		}
	}
}
