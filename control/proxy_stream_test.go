package control

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
)

func hasLease(u *controlpb.Update) bool {
	return u.AttendanceLeaseMs > 0
}

// Guards against a lease of a proxy that the next leader would not know of: it
// could then promote without waiting for that lease.
func TestProxyGetsNoLeaseBeforeItIsRegistered(t *testing.T) {
	h := newHarness(t)
	a := h.attend("p1")
	if hasLease(a.first) {
		t.Error("the first update of an unknown proxy carries a lease")
	}
	a.until(hasLease)
	if _, ok := h.store.View().Proxies["p1"]; !ok {
		t.Error("a lease was granted to a proxy that is not in the replicated state")
	}
}

// Guards against a push that prolongs a lease without a report of the proxy.
func TestPushCarriesTheChangeAndNoLease(t *testing.T) {
	h := newHarness(t)
	a := h.attend("p1")
	a.until(hasLease)
	result := h.propose(putTeam("t1"))
	for {
		u := a.next()
		if len(u.Changes) == 0 {
			continue
		}
		if hasLease(u) || len(u.PrimaryLeases) > 0 {
			t.Error("a push carries a lease")
		}
		if a.applied >= result.Revision {
			return
		}
	}
}

// Guards against a leader that goes on granting after its own lease has ended.
func TestLeaderWithoutLeaseAnswersNoReport(t *testing.T) {
	h := newHarness(t)
	a := h.attend("p1")
	a.until(hasLease)
	h.replica.SetLease(false)
	a.report()
	for {
		u, err := a.stream.Recv()
		if err == nil {
			if u.Sequence == a.sequence {
				t.Fatal("a report was answered without a leader lease")
			}
			continue
		}
		if status.Code(err) != codes.Unavailable {
			t.Errorf("the stream ended with %v, want Unavailable", err)
		}
		return
	}
}

// Guards against a proxy that goes on with a state into which a change did not fit.
func TestProxyThatAsksForAFullCopyGetsOne(t *testing.T) {
	h := newHarness(t)
	a := h.attend("p1")
	a.until(hasLease)
	a.applied = 0
	u := a.until(func(u *controlpb.Update) bool { return u.Full != nil })
	if u.Full.Revision != h.store.Revision() {
		t.Errorf("the full copy has revision %d, want %d", u.Full.Revision, h.store.Revision())
	}
}

// Guards against a proxy that gets no second full copy because it never reported the
// first one: a change that did not fit followed at once.
func TestProxyThatLostItsFirstCopyGetsAnother(t *testing.T) {
	h := newHarness(t)
	h.propose(putTeam("t1"))
	a := h.attend("p1")
	for copies := 0; copies < 2; {
		a.applied = 0
		u := a.until(func(u *controlpb.Update) bool { a.applied = 0; return u.Full != nil })
		if u.Full != nil {
			copies++
		}
	}
}

// Guards against a promotion before every holder of a lease has put the fence in
// force, and against one that waits although all have.
func TestFenceIsPushedAndPromotionFollowsItsAcknowledgement(t *testing.T) {
	h := newHarness(t)
	h.upstream.Update("127.0.0.1:1", func(s *probe.FakeServer) { s.LSN = 100 })
	h.upstream.Update("127.0.0.1:2", func(s *probe.FakeServer) { s.InRecovery, s.LSN = true, 90 })
	h.announce("127.0.0.1:1", "joining")
	h.announce("127.0.0.1:2", "joining")
	a := h.attend("p1")
	a.until(func(u *controlpb.Update) bool { return len(u.PrimaryLeases) == 1 })

	h.upstream.Update("127.0.0.1:1", func(s *probe.FakeServer) { s.Down = true })
	h.upstream.Update("127.0.0.1:2", func(s *probe.FakeServer) { s.ReceiverAge = testLimit })
	fenced := func(u *controlpb.Update) bool {
		for _, c := range u.Changes {
			if c.Command.GetFenceGroup() != nil {
				return true
			}
		}
		return false
	}
	a.until(fenced)
	if h.upstream.Get("127.0.0.1:2").Timeline != 1 {
		t.Fatal("the replica was promoted while a proxy could hold a lease")
	}
	a.fences = []*controlpb.GroupTerm{{Group: "g1", Term: 1}}
	u := a.until(func(u *controlpb.Update) bool {
		return len(u.PrimaryLeases) == 1 && u.PrimaryLeases[0].Term == 2
	})
	group := h.store.View().Groups["g1"]
	if group.Primary != "127.0.0.1:2" || u.PrimaryLeases[0].Group != "g1" {
		t.Errorf("group after the promotion: %v", group)
	}
	if state := h.store.View().Upstreams["127.0.0.1:1"].State; state != controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		t.Errorf("the replaced primary has state %s", state)
	}
}

// follower knows a leader that it has lost, and from the second look a new one.
type follower struct {
	replica.Replicator
	looks int
}

func (f *follower) Status() *replica.Status {
	f.looks++
	if f.looks == 1 {
		return &replica.Status{Address: "follower", LeaderAddress: "lost", LeaderLastContact: clock.Now() - time.Second}
	}
	return &replica.Status{Address: "follower", LeaderAddress: "new", LeaderLastContact: clock.Now() + time.Hour}
}

// Guards against proxies that are sent back to a lost leader during an election, and
// come back only after their backoff.
func TestProxyWaitsForTheNewLeader(t *testing.T) {
	server := &Server{leader: NewLeader(LeaderConfig{}), replicator: &follower{}}
	if server.awaitLeader(context.Background()) {
		t.Error("a follower accepted the stream")
	}
	refusal := status.Convert(server.notLeader())
	if named := refusal.Details()[0].(*controlpb.NotLeader).LeaderAddress; named != "new" {
		t.Errorf("the proxy is sent to %q", named)
	}
}
