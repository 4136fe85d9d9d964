package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// View gives the current snapshot.
type View interface {
	Current() *Snapshot
}

// Lease is the right to acknowledge writes of one term.
type Lease struct {
	Term  uint64
	Until time.Duration
}

// Health is what control knows of an upstream.
type Health struct {
	*controlpb.UpstreamHealth
	// At is a time at or before the one that the health describes, on this proxy's clock.
	At time.Duration
}

// Staleness bounds the age of a replica's data.
func (h Health) Staleness(now time.Duration) time.Duration {
	return time.Duration(h.AgeMs)*time.Millisecond + now - h.At
}

// Snapshot is an immutable state of the control view.
type Snapshot struct {
	*Config
	// ServingUntil is the end of the attendance lease.
	ServingUntil time.Duration
	// Leases are the primary leases by group.
	Leases map[string]Lease
	// Health is by upstream address.
	Health map[string]Health
	// replaced is closed when a newer snapshot is published.
	replaced chan struct{}
}

// MayServe reports whether the attendance lease is valid.
func (s *Snapshot) MayServe(now time.Duration) bool {
	return now < s.ServingUntil
}

// LeaseValid reports whether the primary lease of a group's term is valid.
func (s *Snapshot) LeaseValid(group string, term uint64, now time.Duration) bool {
	lease, ok := s.Leases[group]
	return ok && lease.Term == term && now < lease.Until
}

// Replaced is closed when a newer snapshot is published.
func (s *Snapshot) Replaced() <-chan struct{} {
	return s.replaced
}

// Store publishes snapshots. One goroutine publishes; any may read.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	hooks   []func(old, new *Snapshot)
}

// NewStore returns a store with an empty snapshot, in which nothing is served.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(&Snapshot{
		Config:   Compile(&controlpb.FleetState{}, ""),
		replaced: make(chan struct{}),
	})
	return s
}

// Current implements View.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// OnPublish adds a function that the publishing goroutine calls after each
// publication. It must return quickly.
func (s *Store) OnPublish(hook func(old, new *Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks = append(s.hooks, hook)
}

// Publish makes next the current snapshot. Leases of groups that are fenced or in
// another term are dropped.
func (s *Store) Publish(next *Snapshot) {
	for group, lease := range next.Leases {
		g, ok := next.Groups[group]
		if !ok || !g.Healthy || g.Term != lease.Term {
			delete(next.Leases, group)
		}
	}
	next.replaced = make(chan struct{})
	old := s.current.Swap(next)
	close(old.replaced)
	s.mu.Lock()
	hooks := s.hooks
	s.mu.Unlock()
	for _, hook := range hooks {
		hook(old, next)
	}
}
