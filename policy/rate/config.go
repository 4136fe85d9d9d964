package rate

import "time"

// driftBound bounds how much faster or slower the clock of a proxy runs than the
// owner's.
const driftBound = 1.05

// reserveFactor is how many times a proxy's wish, its use in 250 ms, it is granted
// from a bucket that is more than half full. 1.25 s covers most elections.
const reserveFactor = 5

// Config holds the time limits of an Owner.
type Config struct {
	// Lifetime of a grant, from the send time of the report that it answers.
	Lifetime time.Duration
	// LapseAfter is the time after granting until the owner may assume that a
	// grant has expired: the lifetime plus the drift bound of 5 %.
	LapseAfter time.Duration
	// RecoveryLimit bounds the time after an election in which the owner does not
	// call a bucket empty, so that requests that waited for an owner are not refused
	// because they waited.
	RecoveryLimit time.Duration
	// RecallGap is the least time between recalls of one team's unused tokens.
	RecallGap time.Duration
}

// DefaultConfig returns the limits of the design page, section 3.10.
func DefaultConfig() Config {
	return Config{
		Lifetime:      2500 * time.Millisecond,
		LapseAfter:    2625 * time.Millisecond,
		RecoveryLimit: 30 * time.Second,
		RecallGap:     20 * time.Millisecond,
	}
}
