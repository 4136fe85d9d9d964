package rate

import "time"

// maxClockDrift bounds how much faster or slower a proxy's clock runs than the
// allocator's.
const maxClockDrift = 1.05

// fallbackDelay is how long the allocator must be silent before a proxy uses its
// fallback rate; normally a report every 250 ms is answered at once. The allocator
// withholds the fallback rate from demandTimeout on, so in between a team may be granted
// up to 0.2 s of its rate more.
const fallbackDelay = 300 * time.Millisecond

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
	// InitialRateFraction is the fraction of a team's rate that a new leader grants
	// before it knows what proxies hold. With 0 the use in any window w is at most
	// rate x w + burst. Above 0 the use may exceed that by what proxies held when the
	// earlier leader was lost; the bucket then starts empty.
	InitialRateFraction float64
	// FallbackPeriod is how long a proxy that no allocator answers may use its fallback
	// rate, which the allocator withholds from the others meanwhile; 0 disables the
	// fallback.
	FallbackPeriod time.Duration
}

// GatewayConfig returns the limits for fleets whose bound on a team's use leaves room
// beyond its rate and burst: proxies hold more tokens and continue without an allocator.
func GatewayConfig() Config {
	c := DefaultConfig()
	c.Lifetime = 5 * time.Second
	c.ExpireAfter = 5250 * time.Millisecond
	// 3 s of use cover an election and the return of all proxies.
	c.ReserveFactor = 12
	// With many proxies a small team's tokens would all be spare tokens.
	c.SpareTokenPeriod = 0
	c.InitialRateFraction = 1
	// Covers an election and the return of all proxies to a new leader.
	c.FallbackPeriod = 3 * time.Second
	return c
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
