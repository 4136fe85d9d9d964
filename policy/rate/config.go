package rate

import "time"

// maxClockDrift bounds how much faster or slower a proxy's clock runs than the
// allocator's.
const maxClockDrift = 1.05

// Config holds the time limits and factors of an Allocator and its Holders.
type Config struct {
	// Lifetime of a grant, counted from the send time of the report that it answers.
	Lifetime time.Duration
	// ExpireAfter is the time after granting until the allocator may assume that a
	// grant has expired: the lifetime plus the clock drift bound of 5 %.
	ExpireAfter time.Duration
	// RecoveryLimit bounds the time after an election in which the allocator does not
	// report a bucket as empty, so that requests that waited for an allocator are not
	// refused because they waited.
	RecoveryLimit time.Duration
	// MinRevocationInterval is the least time between revocations of one team's unused
	// tokens.
	MinRevocationInterval time.Duration
	// ReserveFactor is the multiple of its demand, which is its use in 250 ms, that a
	// proxy is granted from a bucket that is more than half full.
	ReserveFactor int64
	// SpareTokenPeriod is how long after its last use of a team a proxy wants one token
	// more than it uses, so that rare requests need not wait for the allocator.
	SpareTokenPeriod time.Duration
}

// DefaultConfig returns limits under which the use of a team never exceeds its rate and
// burst, see section 3.10 of the design page.
func DefaultConfig() Config {
	return Config{
		Lifetime:              2500 * time.Millisecond,
		ExpireAfter:           2625 * time.Millisecond,
		RecoveryLimit:         30 * time.Second,
		MinRevocationInterval: 20 * time.Millisecond,
		// 1.25 s covers most elections.
		ReserveFactor:    5,
		SpareTokenPeriod: 2500 * time.Millisecond,
	}
}
