// Package watch probes upstreams on behalf of the whole fleet and runs the few
// administrative statements that a promotion needs.
package probe

import (
	"context"
	"time"
)

// Result is the outcome of one probe.
type Result struct {
	Address   string
	Reachable bool
	// SentAt is the time at which the probe was sent, on base/clock.
	SentAt time.Duration
	// InRecovery, LSN and Timeline are as the server reports them.
	InRecovery bool
	LSN        uint64
	Timeline   uint32
	// ReceiverAge is the time since the WAL receiver heard from the primary;
	// negative when there is no WAL receiver.
	ReceiverAge time.Duration
}

// Server is one upstream, as the watcher uses it.
type Server interface {
	// Probe asks for role and position.
	Probe(ctx context.Context) (Result, error)
	// Promote ends recovery and returns once the server takes writes.
	Promote(ctx context.Context) error
	// Follow makes a replica receive its log from the given address.
	Follow(ctx context.Context, primary string) error
	// Close drops the connection.
	Close()
}

// Dialer returns the server at an address; it connects when first used.
type Dialer interface {
	Server(address, service string) Server
}
