package failover

import "time"

// Config holds the time limits of a Machine.
type Config struct {
	// LeaseExpiry is the time after which a granted primary lease is no longer valid
	// at any proxy: the lease of 2,500 ms plus a bound of 5 % on clock drift.
	LeaseExpiry time.Duration
	// SuspectAfter is the time without an answer after which a primary is suspected
	// to have failed.
	SuspectAfter time.Duration
	// CandidateTimeout is the time without an answer after which a candidate is
	// abandoned.
	CandidateTimeout time.Duration
	// RecoveryTimeout bounds how long a candidate that answers may stay in recovery
	// while another replica could be promoted.
	RecoveryTimeout time.Duration
	// RetryInterval is the time after which a proposal or call without a result is
	// repeated. All proposals and calls are idempotent.
	RetryInterval time.Duration
	// PositionTimeout bounds the wait for the positions of all answering replicas
	// before a candidate is selected. It allows for two probes that each run into
	// their timeout of 400 ms: the one in flight and the next one.
	PositionTimeout time.Duration
	// DrainPeriod is how long running transactions may still finish on a leaving
	// primary before its term is fenced. New transactions wait that long, so it is
	// a quarter of the default deadline of 2,000 ms.
	DrainPeriod time.Duration
	// MaxSwitchoverAge is the highest age of a replica's data at which a switchover
	// begins.
	MaxSwitchoverAge time.Duration
	// CatchUpTimeout bounds how long a switchover waits for a replica to reach the
	// fenced primary's position.
	CatchUpTimeout time.Duration
	// CatchUpProbeInterval is the interval of probes during that wait.
	CatchUpProbeInterval time.Duration
	// SwitchoverRetryInterval is the time from an abandoned switchover to the next
	// attempt.
	SwitchoverRetryInterval time.Duration
}

// DefaultConfig returns the limits of the design page, sections 3.6, 3.9 and 3.14.
func DefaultConfig() Config {
	return Config{
		LeaseExpiry:             2625 * time.Millisecond,
		SuspectAfter:            800 * time.Millisecond,
		CandidateTimeout:        2 * time.Second,
		RecoveryTimeout:         10 * time.Second,
		RetryInterval:           time.Second,
		PositionTimeout:         900 * time.Millisecond,
		DrainPeriod:             500 * time.Millisecond,
		MaxSwitchoverAge:        2 * time.Second,
		CatchUpTimeout:          5 * time.Second,
		CatchUpProbeInterval:    50 * time.Millisecond,
		SwitchoverRetryInterval: 10 * time.Second,
	}
}
