package share

import "time"

// Config holds the limits of an Owner.
type Config struct {
	// Lifetime of a share, from the send time of the report that it answers.
	Lifetime time.Duration
	// ExpireAfter is the time after lending until the owner may assume that a share
	// has lapsed: the lifetime plus the drift bound of 5 %.
	ExpireAfter time.Duration
	// DemandTimeout is the silence after which a proxy's demand no longer counts.
	DemandTimeout time.Duration
	// ReservedConnections is the number of connections of each upstream that is not lent.
	ReservedConnections uint32
}

// DefaultConfig returns the limits of the design page, section 3.11.
func DefaultConfig() Config {
	return Config{
		Lifetime:            2500 * time.Millisecond,
		ExpireAfter:         2625 * time.Millisecond,
		DemandTimeout:       500 * time.Millisecond,
		ReservedConnections: 2,
	}
}
