// Package coordinator implements the leader of a fleet of gateway nodes. It stores the
// replicated configuration, receives the announcements of upstreams and the reports of nodes,
// limits teams, and replaces failed primaries.
package coordinator

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/control/replica"
)

// Store holds the replicated state of one member. It never blocks the replica, which must send
// heartbeats while the leader's goroutine is busy.
type Store struct {
	// changed is signalled when there are unseen events.
	changed chan struct{}

	mu    sync.Mutex
	state *controlpb.GatewayState
	// unseen are the events that the leader's goroutine has not taken. Of changes of the state
	// in a row only one is kept.
	unseen []storeEvent
}

// storeEvent notifies the leader's goroutine of a change of the state or of leadership.
type storeEvent struct {
	leadershipChanged bool
	leading           bool
	term              uint64
}

var _ replica.Applier = (*Store)(nil)

func newStore() *Store {
	return &Store{changed: make(chan struct{}, 1), state: &controlpb.GatewayState{}}
}

// notify adds an event. It does not block.
func (s *Store) notify(e storeEvent) {
	s.mu.Lock()
	if n := len(s.unseen); n == 0 || s.unseen[n-1] != e {
		s.unseen = append(s.unseen, e)
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// takeEvents returns the unseen events in their order.
func (s *Store) takeEvents() []storeEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.unseen
	s.unseen = nil
	return events
}

// Apply implements replica.Applier.
func (s *Store) Apply(index uint64, c *controlpb.Command) *controlpb.CommandResult {
	s.mu.Lock()
	result := s.applyCommand(index, c)
	s.mu.Unlock()
	s.notify(storeEvent{})
	return result
}

func (s *Store) applyCommand(index uint64, c *controlpb.Command) *controlpb.CommandResult {
	switch body := c.Change.(type) {
	case *controlpb.Command_PutCatalog:
		// Of two configurations with the same version, the first is kept.
		if body.PutCatalog.Version > s.state.Catalog.GetVersion() {
			s.state = s.withChange(func(next *controlpb.GatewayState) { next.Catalog = body.PutCatalog })
		}
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	case *controlpb.Command_RegisterNode:
		s.registerNode(body.RegisterNode)
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	case *controlpb.Command_PutTopology:
		s.state = s.withChange(func(next *controlpb.GatewayState) { next.Topology = body.PutTopology })
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	case *controlpb.Command_SetPlaceDrain:
		s.setPlaceDrain(index, body.SetPlaceDrain)
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	default:
		return &controlpb.CommandResult{Code: uint32(rescode.InvalidCommand), Message: "command is not supported by gateway nodes"}
	}
}

func (s *Store) registerNode(node *controlpb.NodeMember) {
	for _, known := range s.state.Nodes {
		if known.Name == node.Name {
			return
		}
	}
	nodes := append(append([]*controlpb.NodeMember(nil), s.state.Nodes...), node)
	s.state = s.withChange(func(next *controlpb.GatewayState) { next.Nodes = nodes })
}

// setPlaceDrain starts or ends the drain of a data centre. index is that of the command in the log. A drain in force
// keeps the index of the order that started it.
func (s *Store) setPlaceDrain(index uint64, c *controlpb.SetPlaceDrain) {
	byName := func(p *controlpb.DrainedPlace, name string) int { return strings.Compare(p.Name, name) }
	places := slices.Clone(s.state.DrainedPlaces)
	i, drained := slices.BinarySearchFunc(places, c.Place, byName)
	switch {
	case c.Drained && !drained:
		places = slices.Insert(places, i, &controlpb.DrainedPlace{Name: c.Place, Order: index})
	case !c.Drained && drained:
		places = slices.Delete(places, i, i+1)
	default:
		return
	}
	s.state = s.withChange(func(next *controlpb.GatewayState) { next.DrainedPlaces = places })
}

// withChange returns the state after a change of its fields. The present state is not modified, because it has been
// handed out.
func (s *Store) withChange(change func(next *controlpb.GatewayState)) *controlpb.GatewayState {
	next := &controlpb.GatewayState{
		Catalog: s.state.Catalog, Nodes: s.state.Nodes, Topology: s.state.Topology, DrainedPlaces: s.state.DrainedPlaces,
	}
	change(next)
	return next
}

// Snapshot implements replica.Applier.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.current())
	return data, errors.Wrap(err, "encode the state")
}

// Restore implements replica.Applier.
func (s *Store) Restore(data []byte) error {
	state := &controlpb.GatewayState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return errors.Wrap(err, "decode the state")
	}
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.notify(storeEvent{})
	return nil
}

// LeadershipChanged implements replica.Applier.
func (s *Store) LeadershipChanged(leading bool, term uint64) {
	s.notify(storeEvent{leadershipChanged: true, leading: leading, term: term})
}

// current returns the current state, which must not be modified.
func (s *Store) current() *controlpb.GatewayState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
