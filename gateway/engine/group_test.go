package engine

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/warmup"
)

// Guards against a read that goes to another upstream than the one chosen for it, because the
// topology changes between the choice and its use.
func TestTopologyChangeKeepsListInUse(t *testing.T) {
	g := newGroup("wax", fakeDialer{}, warmup.NewPermits(), discardLog())
	a := &controlpb.TopologyUpstream{Id: "a", Address: "10.0.0.1:80"}
	b := &controlpb.TopologyUpstream{Id: "b", Address: "10.0.0.2:80"}
	g.update([]*controlpb.TopologyUpstream{a, b}, nil, &catalog.Service{MaxConnections: 10}, 1)
	inUse := g.poolList
	before := slices.Clone(inUse)
	g.update([]*controlpb.TopologyUpstream{b, a}, nil, &catalog.Service{MaxConnections: 10}, 1)
	if !slices.Equal(inUse, before) {
		t.Errorf("the list in use is now %s, %s", inUse[0].target.ID, inUse[1].target.ID)
	}
}

// Guards against a node that is told no positions of a group that it reads from, so that all its reads
// go to the primary, and against one that is told those of all groups for ever.
func TestReadsAreReportedForAWhile(t *testing.T) {
	g := newGroup("wax", fakeDialer{}, warmup.NewPermits(), discardLog())
	g.update([]*controlpb.TopologyUpstream{{Id: "a"}}, &controlpb.TopologyPrimary{Service: "wax", Upstream: "a", Term: 1}, &catalog.Service{MaxConnections: 10}, 1)
	const readAt = time.Hour
	if v := g.primaryView(readAt); v.ReadMs != 0 {
		t.Errorf("a read is reported %d ms ago, there was none", v.ReadMs)
	}
	op := &operation{team: "team", route: &catalog.Route{MaxStaleness: time.Second}}
	g.planRead(readAt, op, "here", position.Position{}, nil)
	for age, want := range map[time.Duration]uint32{0: 1, positionInterest - time.Millisecond: 10_000, positionInterest: 0} {
		if v := g.primaryView(readAt + age); v.ReadMs != want {
			t.Errorf("after %s: %d, want %d", age, v.ReadMs, want)
		}
	}
}

// BenchmarkMaintainIdle measures what a node spends ten times a second on each database group that
// it does not use.
func BenchmarkMaintainIdle(b *testing.B) {
	g := newGroup("wax", fakeDialer{}, warmup.NewPermits(), discardLog())
	var upstreams []*controlpb.TopologyUpstream
	for _, id := range []string{"a", "b", "c"} {
		upstreams = append(upstreams, &controlpb.TopologyUpstream{Id: id, Address: "10.0.0.1:" + id})
	}
	g.update(upstreams, &controlpb.TopologyPrimary{Service: "wax", Upstream: "a", Term: 1}, &catalog.Service{MaxConnections: 10}, 1)
	now := clock.Now()
	for b.Loop() {
		g.maintain(context.Background(), now)
	}
}
