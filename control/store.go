package control

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
)

// maxRetainedChanges bounds the applied changes that are retained for proxies that lag
// slightly. A proxy that lags further gets a full copy.
const maxRetainedChanges = 4096

// Store holds the fleet state of this control VM. The replica applies commands to it
// in log order; other goroutines read copies.
type Store struct {
	// notify is called by the replica's goroutine after each applied command, restored
	// snapshot and change of leadership.
	notify func(StoreEvent)

	mu struct {
		sync.Mutex
		state *fleet.State
		// changes are the newest applied changes, with consecutive revisions.
		changes []*controlpb.Change
		// view caches a copy of the current state; nil if the state has changed since.
		view *controlpb.FleetState
	}
}

// StoreEvent describes a change of the store.
type StoreEvent struct {
	// LeadershipChanged is true if Leading and Term are set.
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
	if len(s.mu.changes) > maxRetainedChanges {
		s.mu.changes = append([]*controlpb.Change(nil), s.mu.changes[maxRetainedChanges/2:]...)
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

// View returns a shared copy of the state, which must not be modified.
func (s *Store) View() *controlpb.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.view == nil {
		s.mu.view = s.mu.state.Clone().Proto()
	}
	return s.mu.view
}

// CopyForOperators returns a copy of the state without secrets.
func (s *Store) CopyForOperators() *controlpb.FleetState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.CopyForOperators()
}

// ChangesSince returns what a proxy needs to get from revision to the newest one:
// either the changes in between or, if they are no longer retained, a full copy.
// Revision 0 always gets a full copy: a proxy that could not apply a change reports it,
// and would skip changes up to the revision that it has.
func (s *Store) ChangesSince(revision uint64) (changes []*controlpb.Change, full *controlpb.FleetState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.mu.state.Revision()
	if revision == newest {
		return nil, nil
	}
	retained := s.mu.changes
	if revision == 0 || revision > newest || len(retained) == 0 || retained[0].Revision > revision+1 {
		return nil, s.mu.state.CopyForProxies()
	}
	first := revision + 1 - retained[0].Revision
	return append([]*controlpb.Change(nil), retained[first:]...), nil
}

// Revision returns the revision of the state.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.state.Revision()
}
