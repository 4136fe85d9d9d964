package share

import "time"

// Config holds the limits of an Allocator.
type Config struct {
	// Lifetime of a share, counted from the send time of the report that it answers.
	Lifetime time.Duration
	// ExpireAfter is the time after lending until the allocator may assume that a share
	// has expired: the lifetime plus the clock drift bound of 5 %.
	ExpireAfter time.Duration
	// DemandTimeout is the silence after which a proxy's demand no longer counts.
	DemandTimeout time.Duration
	// ReservedConnections is the number of connections of each upstream that are not lent.
	ReservedConnections uint32
}

// DefaultConfig returns the limits described in section 3.11 of the design page.
func DefaultConfig() Config {
	return Config{
		Lifetime:            2500 * time.Millisecond,
		ExpireAfter:         2625 * time.Millisecond,
		DemandTimeout:       500 * time.Millisecond,
		ReservedConnections: 2,
	}
}
