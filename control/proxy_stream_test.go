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

func hasServingLease(u *controlpb.Update) bool {
	return u.AttendanceLeaseMs > 0
}

// Guards against a lease for a proxy that the next leader would not know of: it could
// then promote an upstream without waiting for that lease.
func TestUnregisteredProxyGetsNoLease(t *testing.T) {
	h := newHarness(t)
	p := h.connectProxy("p1")
	if hasServingLease(p.first) {
		t.Error("the first update of an unknown proxy carries a lease")
	}
	p.reportUntil(hasServingLease)
	if _, ok := h.store.View().Proxies["p1"]; !ok {
		t.Error("a lease was granted to a proxy that is not in the replicated state")
	}
}

// Guards against a push that extends a lease without a report of the proxy.
func TestPushCarriesNoLease(t *testing.T) {
	h := newHarness(t)
	p := h.connectProxy("p1")
	p.reportUntil(hasServingLease)
	result := h.propose(putTeam("t1"))
	for {
		u := p.receive()
		if len(u.Changes) == 0 {
			continue
		}
		if hasServingLease(u) || len(u.PrimaryLeases) > 0 {
			t.Error("a push carries a lease")
		}
		if p.applied >= result.Revision {
			return
		}
	}
}

// Guards against a leader that continues to grant leases after its own has ended.
func TestLeaderWithoutLeaseRejectsReport(t *testing.T) {
	h := newHarness(t)
	p := h.connectProxy("p1")
	p.reportUntil(hasServingLease)
	h.replica.SetLease(false)
	p.report()
	for {
		u, err := p.stream.Recv()
		if err == nil {
			if u.Sequence == p.sequence {
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

// Guards against a proxy that continues with a state to which it could not apply a
// change.
func TestFullCopyOnRequest(t *testing.T) {
	h := newHarness(t)
	p := h.connectProxy("p1")
	p.reportUntil(hasServingLease)
	p.applied = 0
	u := p.reportUntil(func(u *controlpb.Update) bool { return u.Full != nil })
	if u.Full.Revision != h.store.Revision() {
		t.Errorf("the full copy has revision %d, want %d", u.Full.Revision, h.store.Revision())
	}
}

// Guards against a proxy that gets no second full copy because it never reported the
// first one as applied: a change that it could not apply followed at once.
func TestSecondFullCopyOnRequest(t *testing.T) {
	h := newHarness(t)
	h.propose(putTeam("t1"))
	p := h.connectProxy("p1")
	for copies := 0; copies < 2; {
		p.applied = 0
		u := p.reportUntil(func(u *controlpb.Update) bool { p.applied = 0; return u.Full != nil })
		if u.Full != nil {
			copies++
		}
	}
}

// Guards against a promotion before every holder of a lease has acknowledged the fence,
// and against one that still waits when all have.
func TestPromotionWaitsForFenceAcknowledgement(t *testing.T) {
	h := newHarness(t)
	h.upstreams.Update("127.0.0.1:1", func(s *probe.FakeServer) { s.LSN = 100 })
	h.upstreams.Update("127.0.0.1:2", func(s *probe.FakeServer) { s.InRecovery, s.LSN = true, 90 })
	h.announce("127.0.0.1:1", "joining")
	h.announce("127.0.0.1:2", "joining")
	p := h.connectProxy("p1")
	p.reportUntil(func(u *controlpb.Update) bool { return len(u.PrimaryLeases) == 1 })

	h.upstreams.Update("127.0.0.1:1", func(s *probe.FakeServer) { s.Down = true })
	h.upstreams.Update("127.0.0.1:2", func(s *probe.FakeServer) { s.ReceiverAge = testTimeout })
	hasFence := func(u *controlpb.Update) bool {
		for _, c := range u.Changes {
			if c.Command.GetFenceGroup() != nil {
				return true
			}
		}
		return false
	}
	p.reportUntil(hasFence)
	if h.upstreams.Get("127.0.0.1:2").Timeline != 1 {
		t.Fatal("the replica was promoted while a proxy could hold a lease")
	}
	p.fences = []*controlpb.GroupTerm{{Group: "g1", Term: 1}}
	u := p.reportUntil(func(u *controlpb.Update) bool {
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

// fakeFollower is a follower that reports a lost leader in its first status and a new
// leader in all later ones.
type fakeFollower struct {
	replica.Replicator
	statusCalls int
}

func (f *fakeFollower) Status() *replica.Status {
	f.statusCalls++
	if f.statusCalls == 1 {
		return &replica.Status{Address: "follower", LeaderAddress: "lost", LeaderLastContact: clock.Now() - time.Second}
	}
	return &replica.Status{Address: "follower", LeaderAddress: "new", LeaderLastContact: clock.Now() + time.Hour}
}

// Guards against proxies that are redirected to a lost leader during an election and
// then reconnect only after their backoff.
func TestProxyWaitsForNewLeader(t *testing.T) {
	server := &Server{leader: NewLeader(LeaderConfig{}), replicator: &fakeFollower{}}
	if server.awaitLeader(context.Background()) {
		t.Error("a follower accepted the stream")
	}
	refusal := status.Convert(server.notLeaderError())
	if named := refusal.Details()[0].(*controlpb.NotLeader).LeaderAddress; named != "new" {
		t.Errorf("the proxy is redirected to %q, want the new leader", named)
	}
}
