// Package probe probes upstreams on behalf of the whole fleet and runs the
// administrative statements of a promotion.
package probe

import (
	"context"
	"time"
)

// Result is the outcome of one probe.
type Result struct {
	Address   string
	Reachable bool
	// SentAt is the base/clock time at which the probe was sent.
	SentAt time.Duration
	// InRecovery, LSN and Timeline are reported by the server.
	InRecovery bool
	LSN        uint64
	Timeline   uint32
	// ReceiverAge is the time since the WAL receiver last heard from the primary,
	// negative if there is no WAL receiver.
	ReceiverAge time.Duration
}

// Server is one upstream.
type Server interface {
	// Probe asks for the role and the position.
	Probe(ctx context.Context) (Result, error)
	// Promote ends recovery and returns once the server accepts writes.
	Promote(ctx context.Context) error
	// Follow makes a replica receive its WAL from the primary at an address.
	Follow(ctx context.Context, primary string) error
	// Close closes the connection.
	Close()
}

// Dialer returns the server at an address, which connects on first use.
type Dialer interface {
	Server(address, service string) Server
}
