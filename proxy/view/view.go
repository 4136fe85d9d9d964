package view

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// View provides the current snapshot.
type View interface {
	Current() *Snapshot
}

// Lease is a primary lease: the right to acknowledge writes of one term of a group.
type Lease struct {
	Term  uint64
	Until time.Duration
}

// Health is an upstream's health as reported by control.
type Health struct {
	*controlpb.UpstreamHealth
	// At is a time on this proxy's clock that is not after the time that the health
	// describes.
	At time.Duration
}

// Staleness returns an upper bound of the staleness of a replica's data.
func (h Health) Staleness(now time.Duration) time.Duration {
	return time.Duration(h.AgeMs)*time.Millisecond + now - h.At
}

// Snapshot is an immutable copy of the configuration, leases and health that control sent.
type Snapshot struct {
	*Config
	// ServingUntil is when the serving lease expires.
	ServingUntil time.Duration
	// Leases holds the primary leases by group.
	Leases map[string]Lease
	// Health holds the health of upstreams by address.
	Health map[string]Health
	// replaced is closed when a newer snapshot is published.
	replaced chan struct{}
}

// MayServe reports whether the proxy holds the serving lease, without which its snapshot
// may be out of date.
func (s *Snapshot) MayServe(now time.Duration) bool {
	return now < s.ServingUntil
}

// LeaseValid reports whether the proxy holds the primary lease of a group for this term.
func (s *Snapshot) LeaseValid(group string, term uint64, now time.Duration) bool {
	lease, ok := s.Leases[group]
	return ok && lease.Term == term && now < lease.Until
}

// Replaced returns a channel that is closed when a newer snapshot is published.
func (s *Snapshot) Replaced() <-chan struct{} {
	return s.replaced
}

// Store publishes snapshots. Only one goroutine may call Publish; the other methods are safe
// for concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	hooks   []func(old, new *Snapshot)
}

// NewStore returns a store with an empty snapshot, with which no request is served.
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

// OnPublish registers a function that the publishing goroutine calls after each
// publication. The function must return quickly.
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
