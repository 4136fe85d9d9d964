package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	// testDrainTime is how long the upstreams of these tests take new work after they announced a drain.
	testDrainTime = 7 * time.Second
	drainingID    = "i-0000000000"
	// betweenLeaders is the time between two leaders.
	betweenLeaders = 20 * time.Millisecond
)

func newDrainLeader(t *testing.T) *Leader {
	l, _ := newTestLeader(t)
	l.config.DrainTime = testDrainTime
	l.startLeading(2)
	return l
}

// drainingNode is what a node knows of drains, as its control client keeps it.
type drainingNode struct {
	t        *testing.T
	stream   *nodeStream
	sentAt   time.Duration
	topology *controlpb.Topology
	ends     map[string]time.Duration
	// told is the number of drains that the node was told.
	told int
}

// connect opens the node's stream to a leader.
func (n *drainingNode) connect(l *Leader) {
	n.sentAt = clock.Now()
	n.stream = startStream(l, "n1", &controlpb.NodeReport{Sequence: 1, TopologyRevision: n.topology.GetRevision()})
	n.receive()
}

// receive applies the updates that the leader has queued.
func (n *drainingNode) receive() {
	for len(n.stream.updates) > 0 {
		u := <-n.stream.updates
		decompress(n.t, u)
		if u.Topology != nil {
			n.topology = u.Topology
		}
		if u.TopologyChange != nil {
			n.topology = applyChange(n.t, n.topology, u.TopologyChange)
		}
		if len(u.Drains) > 0 && u.DrainsSequence != 1 {
			n.t.Errorf("the drains refer to report %d", u.DrainsSequence)
		}
		n.told += len(u.Drains)
		n.ends = topology.NodeDrainEnds(n.ends, n.topology, u.Drains, n.sentAt)
	}
}

// Guards against nodes that are not told when a drain ends, or again with each repetition of the announcement.
func TestNodesReceiveEndOfDrain(t *testing.T) {
	l := newDrainLeader(t)
	n := &drainingNode{t: t}
	n.connect(l)
	announce(l, 0, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	l.tick(context.Background())
	n.receive()
	if len(n.ends) != 0 {
		t.Fatalf("drains before an announcement: %v", n.ends)
	}
	announce(l, 0, 2, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
	acknowledged := clock.Now()
	l.tick(context.Background())
	n.receive()
	end, known := n.ends[drainingID]
	if !known || end > acknowledged+testDrainTime || end < n.sentAt+testDrainTime-time.Second {
		t.Errorf("the drain ends at %s (known: %v), acknowledged at %s", end, known, acknowledged)
	}
	announce(l, 0, 3, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
	announce(l, 1, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	l.tick(context.Background())
	n.receive()
	if n.ends[drainingID] != end || n.told != 1 {
		t.Errorf("the drain ends at %s after a repetition, before at %s; told %d times", n.ends[drainingID], end, n.told)
	}
	restarted := &controlpb.UpstreamAnnouncement{
		Id: drainingID, Service: "wax0", Address: "10.0.0.0:5432", Place: "hafnarfj", Slots: 4, StartedUnixMs: 8, Sequence: 1,
	}
	l.handle(context.Background(), announcementReceived{restarted, make(chan struct{})})
	l.tick(context.Background())
	n.receive()
	if len(n.ends) != 0 {
		t.Errorf("the server has started again and still drains: %v", n.ends)
	}
}

// Guards against a new leader that gives a drain its whole time again with the next announcement: nodes keep
// the end that they know, and a node that has started since does not learn a later one.
func TestNewLeaderKeepsTheEndOfDrain(t *testing.T) {
	l := newDrainLeader(t)
	n := &drainingNode{t: t}
	n.connect(l)
	announce(l, 0, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	announce(l, 0, 2, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
	acknowledged := clock.Now()
	tickUntilSaved(l)
	n.receive()
	ends := n.ends
	if _, known := ends[drainingID]; !known {
		t.Fatal("the node was not told the end of the drain")
	}
	earlier := &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{proto.CloneOf(l.store.current().Topology.Upstreams[0])}}
	earlier.Upstreams[0].Draining = false
	for name, saved := range map[string]*controlpb.Topology{
		"saved topology": l.store.current().Topology, "saved before the drain": earlier, "no topology": nil,
	} {
		time.Sleep(betweenLeaders)
		later := newDrainLeader(t)
		later.adoptTopology(clock.Now(), saved)
		for sequence := range uint64(3) {
			announce(later, 0, 3+sequence, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
		}
		publish(later)
		connected, restarted := *n, &drainingNode{t: t}
		connected.connect(later)
		if diff := cmp.Diff(ends, connected.ends); saved != earlier && diff != "" {
			t.Errorf("%s: the end has changed: %s", name, diff)
		}
		if end, known := connected.ends[drainingID]; !known || end > ends[drainingID] {
			t.Errorf("%s: the drain ends at %s (known: %v), before at %s", name, end, known, ends[drainingID])
		}
		restarted.connect(later)
		if end := restarted.ends[drainingID]; end >= acknowledged+testDrainTime {
			t.Errorf("%s: a node that has started since takes %s as the end, acknowledged at %s", name, end, acknowledged)
		}
	}
}

// Guards against a drain that is told to a node before it has the topology that it belongs to.
func TestDrainComesWithItsTopology(t *testing.T) {
	l := newDrainLeader(t)
	announce(l, 0, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	announce(l, 0, 2, controlpb.UpstreamPhase_UPSTREAM_PHASE_DRAINING)
	publish(l)
	s := &nodeStream{sequence: 1}
	u := &controlpb.NodeUpdate{}
	l.addDrains(clock.Now(), s, u)
	if len(u.Drains) != 0 {
		t.Errorf("told of %v without the topology", u.Drains)
	}
	s.sentTopologyRevision = l.registry.Revision()
	l.addDrains(clock.Now(), s, u)
	if len(u.Drains) != 1 || u.Drains[0].LeftMs > uint32(testDrainTime.Milliseconds()) {
		t.Errorf("told of %v with the topology", u.Drains)
	}
}
