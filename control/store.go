package control

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
)

// maxChanges bounds the applied changes kept for proxies that are a little
// behind; a proxy further behind gets a full copy.
const maxChanges = 4096

// Store is the fleet state of this control VM. The replica applies commands to it
// in log order; everybody else reads copies.
type Store struct {
	// notify is called after each applied change, restored snapshot and change of
	// leadership, by the replica's goroutine.
	notify func(StoreEvent)

	mu struct {
		sync.Mutex
		state *fleet.State
		// changes are the newest applied changes with consecutive revisions.
		changes []*controlpb.Change
		// view caches a copy of the state for its revision.
		view *controlpb.FleetState
	}
}

// StoreEvent tells the leader's goroutine what happened to the store.
type StoreEvent struct {
	// LeadershipChanged is set when Leading and Term are new.
	LeadershipChanged bool
	Leading           bool
	Term              uint64
}

// NewStore returns an empty store.
func NewStore(notify func(StoreEvent)) *Store {
	s := &Store{notify: notify}
	s.mu.state = fleet.New()
	return s
}

// Apply implements replica.Applier.
func (s *Store) Apply(index uint64, c *controlpb.Command) *controlpb.CommandResult {
	result := s.applyLocked(index, c)
	s.notify(StoreEvent{})
	return result
}

func (s *Store) applyLocked(index uint64, c *controlpb.Command) *controlpb.CommandResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mu.state.Revision()
	result := s.mu.state.Apply(index, c)
	if s.mu.state.Revision() == before {
		return result
	}
	s.mu.view = nil
	s.mu.changes = append(s.mu.changes, &controlpb.Change{Revision: result.Revision, Command: c})
	if len(s.mu.changes) > maxChanges {
		s.mu.changes = append([]*controlpb.Change(nil), s.mu.changes[maxChanges/2:]...)
	}
	return result
}

// Snapshot implements replica.Applier.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.mu.state.Proto())
	return data, errors.Wrap(err, "marshal fleet state")
}

// Restore implements replica.Applier.
func (s *Store) Restore(data []byte) error {
	var pb controlpb.FleetState
	if err := proto.Unmarshal(data, &pb); err != nil {
		return errors.Wrap(err, "unmarshal fleet state")
	}
	s.mu.Lock()
	s.mu.state = fleet.FromProto(&pb)
	s.mu.changes = nil
	s.mu.view = nil
	s.mu.Unlock()
	s.notify(StoreEvent{})
	return nil
}

// LeadershipChanged implements replica.Applier.
func (s *Store) LeadershipChanged(leading bool, term uint64) {
	s.notify(StoreEvent{LeadershipChanged: true, Leading: leading, Term: term})
}

// View returns a copy of the state that the caller must not change.
func (s *Store) View() *controlpb.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.view == nil {
		s.mu.view = s.mu.state.Clone().Proto()
	}
	return s.mu.view
}

// CopyForOperators returns a copy without secrets.
func (s *Store) CopyForOperators() *controlpb.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.CopyForOperators()
}

// ChangesSince returns what brings a proxy from revision to the newest one: either the
// changes in between or, when those are no longer kept, a full copy. Revision 0
// always gets a full copy, because a proxy whose state a change did not fit asks
// with it and would skip changes up to the revision that it has.
func (s *Store) ChangesSince(revision uint64) (changes []*controlpb.Change, full *controlpb.FleetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.mu.state.Revision()
	if revision == newest {
		return nil, nil
	}
	kept := s.mu.changes
	if revision == 0 || revision > newest || len(kept) == 0 || kept[0].Revision > revision+1 {
		return nil, s.mu.state.CopyForProxies()
	}
	first := revision + 1 - kept[0].Revision
	return append([]*controlpb.Change(nil), kept[first:]...), nil
}

// Revision returns the newest revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.Revision()
}
