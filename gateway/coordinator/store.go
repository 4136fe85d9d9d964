// Package coordinator is the leader's side of a fleet of gateway nodes: it keeps the
// replicated configuration, hears upstreams and nodes, divides request tokens and
// replaces primaries.
package coordinator

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/control/replica"
)

// Store holds the replicated state on one voter.
type Store struct {
	// notify is called by the replica's goroutine after each change.
	notify func(storeEvent)

	mu    sync.Mutex
	state *controlpb.GatewayState
}

// storeEvent tells the leader's goroutine what happened to the store.
type storeEvent struct {
	leadershipChanged bool
	leading           bool
	term              uint64
}

var _ replica.Applier = (*Store)(nil)

func newStore(notify func(storeEvent)) *Store {
	return &Store{notify: notify, state: &controlpb.GatewayState{}}
}

// Apply implements replica.Applier.
func (s *Store) Apply(_ uint64, c *controlpb.Command) *controlpb.CommandResult {
	s.mu.Lock()
	result := s.change(c)
	s.mu.Unlock()
	s.notify(storeEvent{})
	return result
}

func (s *Store) change(c *controlpb.Command) *controlpb.CommandResult {
	switch body := c.Change.(type) {
	case *controlpb.Command_PutCatalog:
		// Of two configurations with the same version the first is kept.
		if body.PutCatalog.Version > s.state.Catalog.GetVersion() {
			s.state = &controlpb.GatewayState{Catalog: body.PutCatalog, Nodes: s.state.Nodes, Topology: s.state.Topology}
		}
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	case *controlpb.Command_RegisterNode:
		s.register(body.RegisterNode)
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	case *controlpb.Command_PutTopology:
		s.state = &controlpb.GatewayState{Catalog: s.state.Catalog, Nodes: s.state.Nodes, Topology: body.PutTopology}
		return &controlpb.CommandResult{Revision: s.state.Catalog.GetVersion()}
	default:
		return &controlpb.CommandResult{Code: uint32(rescode.InvalidCommand), Message: "not a command of gateway nodes"}
	}
}

func (s *Store) register(node *controlpb.NodeMember) {
	for _, known := range s.state.Nodes {
		if known.Name == node.Name {
			return
		}
	}
	nodes := append(append([]*controlpb.NodeMember(nil), s.state.Nodes...), node)
	s.state = &controlpb.GatewayState{Catalog: s.state.Catalog, Nodes: nodes, Topology: s.state.Topology}
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

// current returns the state, which must not be changed.
func (s *Store) current() *controlpb.GatewayState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
