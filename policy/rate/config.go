package rate

import "time"

// driftBound bounds how much faster or slower the clock of a proxy runs than the
// owner's.
const driftBound = 1.05

// standbyAfter is the silence of the owner after which a proxy goes on by itself: a report
// each 250 ms is answered at once. The owner withholds the proxy's part from staleAfter on,
// so in between a team may be granted up to 0.2 s of its rate more.
const standbyAfter = 300 * time.Millisecond

// Config holds the time limits of an Owner.
type Config struct {
	// Lifetime of a grant, from the send time of the report that it answers.
	Lifetime time.Duration
	// ExpireAfter is the time after granting until the owner may assume that a
	// grant has expired: the lifetime plus the drift bound of 5 %.
	ExpireAfter time.Duration
	// RecoveryLimit bounds the time after an election in which the owner does not
	// call a bucket empty, so that requests that waited for an owner are not refused
	// because they waited.
	RecoveryLimit time.Duration
	// MinRevocationInterval is the least time between recalls of one team's unused tokens.
	MinRevocationInterval time.Duration
	// ReserveFactor is how many times a proxy's wish, its use in 250 ms, it is granted
	// from a bucket that is more than half full.
	ReserveFactor int64
	// SpareTokenPeriod is how long after its last use of a team a proxy wants one token more than it
	// uses, so that rare requests need not wait for the owner.
	SpareTokenPeriod time.Duration
	// InitialRateFraction is the part of a team's rate that a new leader grants before it knows
	// what proxies hold. With 0 the use in any window w is at most rate x w + burst.
	// Above 0 it may exceed that by what proxies held when the earlier leader was lost;
	// the bucket then starts empty.
	InitialRateFraction float64
	// FallbackPeriod is how long a proxy that no owner answers goes on with its part of the
	// rate, which the owner withholds from the others meanwhile; 0 means not at all.
	FallbackPeriod time.Duration
}

// GatewayConfig returns the limits for fleets whose bound on the use of a team leaves
// room beyond its rate and burst: proxies hold more, and go on without an owner.
func GatewayConfig() Config {
	c := DefaultConfig()
	c.Lifetime = 5 * time.Second
	c.ExpireAfter = 5250 * time.Millisecond
	// 3 s of use cover an election and the return of all proxies.
	c.ReserveFactor = 12
	// With many proxies the tokens of a small team would all be spare ones.
	c.SpareTokenPeriod = 0
	c.InitialRateFraction = 1
	// An election, and the return of all proxies to a new leader.
	c.FallbackPeriod = 3 * time.Second
	return c
}

// DefaultConfig returns the limits of the design page, section 3.10.
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
