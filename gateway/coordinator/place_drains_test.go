package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	testPlaceDrainTime = 5 * time.Second
	// manyNodes is the size of a large fleet.
	manyNodes = 300
)

func drainCommand(place string, drained bool) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_SetPlaceDrain{SetPlaceDrain: &controlpb.SetPlaceDrain{Place: place, Drained: drained}}}
}

// Guards against an order that is lost with another change of the state or in a snapshot, against a repeated order
// that counts as another one, and against an order after an end that cannot be told from the earlier one.
func TestStoreKeepsPlaceDrains(t *testing.T) {
	s := newStore()
	for i, c := range []*controlpb.Command{
		drainCommand("b", true), drainCommand("a", true), drainCommand("b", true), putCommand(5, "x"),
		{Change: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.NodeMember{Name: "n"}}},
		{Change: &controlpb.Command_PutTopology{PutTopology: &controlpb.Topology{Revision: 1}}},
		drainCommand("a", false), drainCommand("c", false), drainCommand("a", true),
	} {
		if got := s.Apply(uint64(i+1), c); got.Code != 0 {
			t.Fatalf("command %d: %v", i+1, got)
		}
	}
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newStore()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	want := []*controlpb.DrainedPlace{{Name: "a", Order: 9}, {Name: "b", Order: 1}}
	if diff := cmp.Diff(want, restored.current().DrainedPlaces, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	if restored.current().Catalog.GetVersion() != 5 || len(restored.current().Nodes) != 1 {
		t.Error("an order has removed other state")
	}
}

// placeNode is what a node knows of drained data centres, as its control client keeps it.
type placeNode struct {
	name   string
	sentAt time.Duration
	stream *nodeStream
	drains map[string]topology.PlaceDrain
}

func (n *placeNode) connect(l *Leader) {
	n.sentAt = clock.Now()
	n.stream = startStream(l, n.name, &controlpb.NodeReport{Sequence: 1})
	n.receive()
}

func (n *placeNode) receive() {
	for len(n.stream.updates) > 0 {
		if u := <-n.stream.updates; u.PlaceDrains != nil {
			n.drains = topology.NodePlaceDrains(n.drains, u.PlaceDrains, n.sentAt)
		}
	}
}

// isDrainedBy reports whether the node sends nothing to a data centre from a time on.
func (n *placeNode) isDrainedBy(place string, end time.Duration) bool {
	d, drained := n.drains[place]
	return drained && d.EndsAt <= end
}

func newPlaceLeader(t *testing.T, state []byte) (*Leader, *replica.Fake) {
	l := NewLeader(Config{
		Upstreams: fakeUpstreams{}, Voters: 3, PlaceDrainTime: testPlaceDrainTime, Places: []string{"a", "b"}, Log: discardLog(),
	})
	if state != nil {
		if err := l.store.Restore(state); err != nil {
			t.Fatal(err)
		}
	}
	fake := replica.NewFake(l.Store())
	l.SetReplica(fake)
	drainEvents(l)
	return l, fake
}

// orderDrain makes the call of an operator and handles its event as Run does.
func orderDrain(l *Leader, in *controlpb.SetPlaceDrain) error {
	answered := make(chan error)
	go func() { answered <- l.drainPlace(context.Background(), in) }()
	select {
	case e := <-l.events:
		l.handleStoreEvents()
		l.handle(context.Background(), e)
		return <-answered
	case err := <-answered:
		return err
	}
}

// Load pattern: an order for a fleet of 300 nodes whose leader ends at each step of it; a part of the nodes starts
// again, as after a loss of power. Guards against an acknowledged order that is lost or that a node learns with a
// later end than the bound from its acknowledgement, and against a later leader that gives it the whole time again.
func TestPlaceDrainSurvivesLeaderAtEachStep(t *testing.T) {
	for _, step := range []string{"committed", "handled", "acknowledged", "told", "all restarted"} {
		l, fake := newPlaceLeader(t, nil)
		nodes := make([]*placeNode, manyNodes)
		for i := range nodes {
			nodes[i] = &placeNode{name: fmt.Sprintf("n%d", i)}
			nodes[i].connect(l)
		}
		if step == "committed" {
			if _, err := fake.Propose(context.Background(), drainCommand("a", true)); err != nil {
				t.Fatal(err)
			}
		} else if err := orderDrain(l, &controlpb.SetPlaceDrain{Place: "a", Drained: true}); err != nil {
			t.Fatal(err)
		}
		acknowledged := clock.Now()
		for i, n := range nodes {
			if step == "told" || step == "all restarted" || step == "acknowledged" && i%2 == 0 {
				n.receive()
			}
		}
		state, err := l.store.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		later, _ := newPlaceLeader(t, state)
		for i, n := range nodes {
			if step == "all restarted" || i%10 == 0 {
				nodes[i] = &placeNode{name: n.name}
			}
			nodes[i].connect(later)
			if !nodes[i].isDrainedBy("a", acknowledged+testPlaceDrainTime) {
				t.Fatalf("%s: node %d knows the drains %v, acknowledged at %s", step, i, nodes[i].drains, acknowledged)
			}
		}
		if err := orderDrain(later, &controlpb.SetPlaceDrain{Place: "a"}); err != nil {
			t.Fatal(err)
		}
		for i, n := range nodes {
			if n.receive(); len(n.drains) > 0 {
				t.Fatalf("%s: node %d still knows %v after the end", step, i, n.drains)
			}
		}
	}
}

// Guards against an order that is acknowledged before nodes can be told of it, by a leader that has lost its
// leadership, and against orders for data centres that do not exist.
func TestPlaceDrainOrders(t *testing.T) {
	l, fake := newPlaceLeader(t, nil)
	n := &placeNode{name: "n"}
	n.connect(l)
	for _, c := range []struct {
		order *controlpb.SetPlaceDrain
		code  codes.Code
		want  []string
	}{
		{&controlpb.SetPlaceDrain{Place: "nowhere", Drained: true}, codes.InvalidArgument, nil},
		{&controlpb.SetPlaceDrain{Place: "bad name", Drained: true, Known: true}, codes.InvalidArgument, nil},
		{&controlpb.SetPlaceDrain{Place: "a", Drained: true}, codes.OK, []string{"a"}},
		{&controlpb.SetPlaceDrain{Place: "a", Drained: true}, codes.OK, []string{"a"}},
		{&controlpb.SetPlaceDrain{Place: "new", Drained: true, Known: true}, codes.OK, []string{"a", "new"}},
		{&controlpb.SetPlaceDrain{Place: "new"}, codes.OK, []string{"a"}},
		{&controlpb.SetPlaceDrain{Place: "b"}, codes.OK, []string{"a"}},
		{&controlpb.SetPlaceDrain{Place: `odd"{}`, Drained: true, Known: true}, codes.OK, []string{"a", `odd"{}`}},
		{&controlpb.SetPlaceDrain{Place: `odd"{}`}, codes.OK, []string{"a"}},
	} {
		before := n.drains["a"]
		if err := orderDrain(l, c.order); status.Code(err) != c.code {
			t.Errorf("%v: %v, want %s", c.order, err, c.code)
		}
		n.receive()
		var got []string
		for _, place := range l.placeList(clock.Now()).Places {
			if _, known := n.drains[place.Name]; known != place.Drained {
				t.Errorf("%v: the node knows %v, the list says %v", c.order, n.drains, place)
			}
			if place.Drained {
				got = append(got, place.Name)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%v: %s", c.order, diff)
		}
		// Messages tell the time that is left in whole milliseconds, rounded down.
		after := n.drains["a"]
		if shortened := before.EndsAt - after.EndsAt; before.Order != 0 && (after.Order != before.Order || shortened < 0 || shortened > time.Millisecond) {
			t.Errorf("%v: the drain of a has changed from %v to %v", c.order, before, after)
		}
	}
	go func() {
		e := <-l.events
		fake.SetLeading(false)
		l.handleStoreEvents()
		l.handle(context.Background(), e)
	}()
	if err := l.drainPlace(context.Background(), &controlpb.SetPlaceDrain{Place: "b", Drained: true}); status.Code(err) != codes.Unavailable {
		t.Errorf("acknowledged without leadership: %v", err)
	}
}

// Guards against a lease that an update extends without the drains that it was to bring: a large topology waits for
// the leader's link, the drains must not.
func TestFirstUpdateBringsPlaceDrains(t *testing.T) {
	l, _ := newPlaceLeader(t, nil)
	if err := orderDrain(l, &controlpb.SetPlaceDrain{Place: "a", Drained: true}); err != nil {
		t.Fatal(err)
	}
	s := startStream(l, "n", &controlpb.NodeReport{Sequence: 4})
	u := <-s.updates
	if len(u.PlaceDrains.GetDrains()) != 1 || u.PlaceDrains.ReportSequence != 4 || u.Sequence != 4 {
		t.Errorf("first update: %v", u)
	}
	l.push(s)
	if u := <-s.updates; u.PlaceDrains != nil {
		t.Errorf("told again: %v", u.PlaceDrains)
	}
}

// Guards against a primary that stays in a drained data centre, and a candidate there.
func TestServersInDrainedPlaceCountAsDraining(t *testing.T) {
	l, _ := newPlaceLeader(t, nil)
	if err := orderDrain(l, &controlpb.SetPlaceDrain{Place: "a", Drained: true}); err != nil {
		t.Fatal(err)
	}
	servers := []failover.Server{{ID: "1"}, {ID: "2"}, {ID: "3", Draining: true}}
	l.markPlaceDrains(servers, []*topology.Upstream{{ID: "1", Place: "a"}, {ID: "2", Place: "b"}, {ID: "3", Place: "b"}})
	if !servers[0].Draining || servers[1].Draining || !servers[2].Draining {
		t.Errorf("%+v", servers)
	}
}
