package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/warmup"
)

const testWarmupTime = 8 * time.Second

// newWarmupLeader returns a leader with the upstreams i-0 to i-2 of one service, which limits its warm-up to rate.
func newWarmupLeader(t *testing.T, rate float64) *Leader {
	l, _ := newPlaceLeader(t, nil)
	l.config.WarmupExcess, l.config.WarmupSlack = 1.5, 5
	c := waxCatalog(3)
	c.Services[0].Name, c.Services[0].WarmupRate, c.Services[0].WarmupMs = "wax0", rate, uint32(testWarmupTime.Milliseconds())
	c.Routes[0].Service = "wax0"
	if _, err := l.putCatalog(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	l.handleStoreEvents()
	return l
}

// announceWarmup lets an upstream in the data centre a announce for how long it still warms up.
func announceWarmup(l *Leader, sequence uint64, left time.Duration) {
	l.handle(context.Background(), announcementReceived{&controlpb.UpstreamAnnouncement{
		Id: drainingID, Service: "wax0", Address: "10.0.0.1:5432", Place: "a", Slots: 4, StartedUnixMs: 7, Sequence: sequence,
		WarmupLeftMs: uint32(left.Milliseconds()),
	}, make(chan struct{})})
}

// expectWarming checks whether the topology that nodes are sent says that the upstream warms up.
func expectWarming(t *testing.T, l *Leader, when string, want bool) {
	t.Helper()
	l.publishChanges(clock.Now())
	if got := l.currentTopology().Upstreams[0].Warming; got != want {
		t.Errorf("%s: warming %v, want %v", when, got, want)
	}
}

// Guards against nodes that are not told that an upstream is cold, or that it no longer is.
func TestNodesLearnOfWarmups(t *testing.T) {
	l := newWarmupLeader(t, 10)
	announceWarmup(l, 1, time.Minute)
	expectWarming(t, l, "cold", true)
	announceWarmup(l, 2, 0)
	expectWarming(t, l, "warm", false)
	announceWarmup(l, 3, time.Minute)
	announceWarmup(l, 2, 0)
	expectWarming(t, l, "late announcement", true)
	l.registry.RecordContact(clock.Now()+2*time.Minute, drainingID)
	l.stepWarmups(clock.Now() + 2*time.Minute)
	expectWarming(t, l, "after its time", false)

	l.stepWarmups(clock.Now())
	expectWarming(t, l, "in contact", false)
	l.registry.Get(drainingID).LastContact = clock.Now() - restartSuspectedAfter - time.Second
	l.stepWarmups(clock.Now())
	expectWarming(t, l, "silent", true)

	l = newWarmupLeader(t, 0)
	announceWarmup(l, 1, time.Minute)
	expectWarming(t, l, "no warm rate", false)
}

// Guards against a data centre that is used again as if its upstreams were warm, also by an announcement that was
// under way when its drain ended, and against a later leader that forgets that.
func TestUpstreamsAreColdAfterPlaceDrain(t *testing.T) {
	l := newWarmupLeader(t, 10)
	announceWarmup(l, 1, 0)
	for _, drained := range []bool{true, false} {
		if err := orderDrain(l, &controlpb.SetPlaceDrain{Place: "a", Drained: drained}); err != nil {
			t.Fatal(err)
		}
	}
	announceWarmup(l, 2, 0)
	expectWarming(t, l, "after the drain", true)

	later := newWarmupLeader(t, 10)
	later.adoptTopology(clock.Now(), l.currentTopology())
	expectWarming(t, later, "later leader", true)
	announceWarmup(later, 3, 0)
	expectWarming(t, later, "announced to the later leader", false)
}

// Guards against permits beyond the limit, for upstreams that need none, and in an update that answers no report.
func TestLeaderGrantsPermits(t *testing.T) {
	l := newWarmupLeader(t, 10)
	announceWarmup(l, 1, time.Minute)
	s := startStream(l, "n", &controlpb.NodeReport{Sequence: 1})
	latestUpdate(t, s)
	l.warmups.allocator = warmup.NewAllocator()
	l.warmups.allocator.Start(clock.Now()-time.Minute, drainingID, l.groups["wax0"].warmupLimit)
	demands := []*controlpb.WarmupDemand{{Upstream: drainingID, Requests: 1000}, {Upstream: "unknown", Requests: 5}}
	l.handle(context.Background(), reportReceived{s, &controlpb.NodeReport{Sequence: 2, WarmupDemands: demands}})
	u := <-s.updates
	if len(u.WarmupGrants) != 1 || u.Sequence != 2 {
		t.Fatalf("grants %v", u.WarmupGrants)
	}
	if g := u.WarmupGrants[0]; g.Requests == 0 || float64(g.Requests) > l.groups["wax0"].warmupLimit.MaxPerSecond ||
		g.LifetimeMs != uint32(warmup.Lifetime.Milliseconds()) {
		t.Errorf("grant %v", g)
	}
	l.push(s)
	if u := <-s.updates; len(u.WarmupGrants) > 0 {
		t.Errorf("pushed %v", u.WarmupGrants)
	}
}
