package coordinator

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

const (
	// manyUpstreams is the number of upstreams of a fleet with two database groups for each of
	// 100 nodes.
	manyUpstreams = 600
	// slowLinkBytes is what a node's link of 2 Mbit/s carries in a tick of 100 ms.
	slowLinkBytes = 25_000
	// linkBytesPerTick is what the leader's link of 100 Mbit/s carries in that time.
	linkBytesPerTick = 1_250_000
)

// announce lets an upstream announce itself.
func announce(l *Leader, number int, sequence uint64, phase controlpb.UpstreamPhase) {
	l.handle(context.Background(), announcementReceived{announcement(number, sequence, phase), make(chan struct{})})
}

func announcement(number int, sequence uint64, phase controlpb.UpstreamPhase) *controlpb.UpstreamAnnouncement {
	return &controlpb.UpstreamAnnouncement{
		Id: fmt.Sprintf("i-%010d", number), Service: fmt.Sprintf("wax%d", number/3), Address: fmt.Sprintf("10.0.%d.%d:5432", number/250, number%250),
		Place: "hafnarfj", Slots: 4, StartedUnixMs: 7, Sequence: sequence, Phase: phase,
	}
}

// Load pattern: 600 upstreams, of which one changes in each tick for two seconds. Guards against the
// whole topology for every node with each change: it is more than a node's link carries, the
// leader's queue for the node fills up, all streams end and begin again with the whole topology, and
// nobody reads a configuration (issue 24, the sweep at 100 machines).
func TestChangedUpstreamsFitTheLinksOfNodes(t *testing.T) {
	l, _ := newTestLeader(t)
	for i := range manyUpstreams {
		announce(l, i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	}
	a := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1})
	known := latestUpdate(t, a).Topology
	for i := range 20 {
		announce(l, 7*i, 2, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
		l.tick(context.Background())
		for len(a.updates) > 0 {
			u := <-a.updates
			if size := proto.Size(u); size > slowLinkBytes {
				t.Fatalf("an update for one changed upstream has %d bytes, the link carries %d", size, slowLinkBytes)
			}
			decompress(t, u)
			if u.TopologyChange != nil {
				known = applyChange(t, known, u.TopologyChange)
			}
		}
	}
	if diff := cmp.Diff(l.currentTopology(), known, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a change that a node cannot apply: it has the topology of an earlier leader, or one
// that is no longer kept.
func TestNodeWithoutRecentTopologyReceivesAll(t *testing.T) {
	l, _ := newTestLeader(t)
	announce(l, 0, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	publish(l)
	first := l.currentTopology().Revision
	recent := startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: first})
	latestUpdate(t, recent)
	for i := range maxSentTopologies {
		announce(l, 1+i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
		l.tick(context.Background())
	}
	for name, revision := range map[string]uint64{"earlier leader": first - 1, "not kept": first, "none": 0} {
		u := latestUpdate(t, startStream(l, name, &controlpb.NodeReport{Sequence: 1, TopologyRevision: revision}))
		if got := len(u.GetTopology().GetUpstreams()); got != 1+maxSentTopologies || u.TopologyChange != nil {
			t.Errorf("%s: %d upstreams of %d, and the change %v", name, got, 1+maxSentTopologies, u.TopologyChange)
		}
	}
}

// Load pattern: the fleet starts, and 1,800 upstreams announce themselves within 1.2 s to the leader of
// 300 nodes. Guards against more bytes than the leader's link carries: nodes lost it, began again with
// the whole topology, and no configuration was ever confirmed (sweep at 300 machines).
func TestStartOfManyUpstreamsFitsTheLinkOfTheLeader(t *testing.T) {
	const (
		nodes, upstreams, announceTicks = 300, 1800, 12
		maxTicks                        = 50
	)
	l, _ := newTestLeader(t)
	var streams []*nodeStream
	for i := range nodes {
		streams = append(streams, startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{Sequence: 1}))
	}
	known := map[*nodeStream]*controlpb.Topology{}
	for tick := range maxTicks {
		bytes := 0
		for _, s := range streams {
			for len(s.updates) > 0 {
				u := <-s.updates
				bytes += proto.Size(u)
				decompress(t, u)
				if u.Topology != nil {
					known[s] = u.Topology
				}
				if u.TopologyChange != nil {
					known[s] = applyChange(t, known[s], u.TopologyChange)
				}
			}
		}
		if bytes > linkBytesPerTick {
			t.Fatalf("tick %d: %d bytes, the link carries %d", tick, bytes, linkBytesPerTick)
		}
		for i := range upstreams / announceTicks {
			if tick < announceTicks {
				announce(l, tick*upstreams/announceTicks+i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
			}
		}
		l.tick(context.Background())
	}
	for _, s := range streams {
		if got := len(known[s].GetUpstreams()); got != upstreams {
			t.Fatalf("%s knows %d of %d upstreams after %d ticks", s.node, got, upstreams, maxTicks)
		}
	}
}

// Load pattern: a change of leader in a fleet of 2,700 upstreams. Guards against the whole topology for each of 300
// nodes, which fills the link of the new leader, and against a node that keeps a change of primary for under way.
func TestNewLeaderSendsOnlyTheDifference(t *testing.T) {
	earlier, _ := newTestLeader(t)
	for i := range 2700 {
		announce(earlier, i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	}
	earlier.groupOf(clock.Now(), "wax0").machine.Adopt(clock.Now(), "i-0000000001", 4)
	publish(earlier)
	tickUntilSaved(earlier)
	known := proto.CloneOf(earlier.currentTopology())
	known.Primaries[0].Changing = true
	later, _ := newTestLeader(t)
	later.store.Apply(1, &controlpb.Command{Change: &controlpb.Command_PutTopology{PutTopology: earlier.store.current().Topology}})
	later.startLeading(9)
	u := latestUpdate(t, startStream(later, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: known.Revision}))
	if u.Topology != nil || u.TopologyChange == nil {
		t.Fatalf("sent %d bytes of topology", proto.Size(u))
	}
	if got := len(u.TopologyChange.Changed.Upstreams); got != 0 {
		t.Errorf("%d unchanged upstreams were sent", got)
	}
	if diff := cmp.Diff(later.currentTopology(), applyChange(t, known, u.TopologyChange), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a voter that sends nodes of a small fleet a topology, or those of a large one none.
func TestVotersPreloadTheTopologyOfLargeFleets(t *testing.T) {
	for upstreams, want := range map[int]bool{minPreloadedFleet - 1: false, minPreloadedFleet: true} {
		state := &controlpb.GatewayState{Topology: &controlpb.Topology{Revision: 7}}
		for i := range upstreams {
			state.Topology.Upstreams = append(state.Topology.Upstreams, &controlpb.TopologyUpstream{Id: fmt.Sprintf("i-%010d", i), Service: "wax"})
		}
		p := &preloads{}
		for range 2 {
			if got := len(p.of(state, discardLog()).CompressedTopology) > 0; got != want {
				t.Errorf("%d upstreams: preloaded %v, want %v", upstreams, got, want)
			}
		}
	}
}
