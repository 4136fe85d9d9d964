package failover

import "time"

// Config holds the time limits of a Machine.
type Config struct {
	// LeaseExpiry is the time after which no proxy can hold a primary lease granted
	// before: the lease of 2,500 ms plus the drift bound of 5 %.
	LeaseExpiry time.Duration
	// SuspectAfter is the silence after which a primary is suspected.
	SuspectAfter time.Duration
	// CandidateTimeout is the silence after which a candidate is given up.
	CandidateTimeout time.Duration
	// RecoveryTimeout bounds the time that an answering candidate may stay in
	// recovery while another replica could be promoted.
	RecoveryTimeout time.Duration
	// RetryInterval is the time after which a proposal or call without a result is
	// repeated. All of them are idempotent.
	RetryInterval time.Duration
	// PositionTimeout bounds the wait for the positions of all answering replicas
	// before one is chosen: a probe under way may need its timeout of 400 ms, and
	// the next one too.
	PositionTimeout time.Duration
	// DrainPeriod is the time that running transactions get to end on a primary that
	// leaves, before its term is fenced. Callers with new transactions wait that
	// long, so it is a quarter of the default deadline of 2,000 ms.
	DrainPeriod time.Duration
	// MaxSwitchoverAge is the age of a replica's data up to which a switchover begins.
	MaxSwitchoverAge time.Duration
	// CatchUpTimeout bounds the wait for a replica to reach the fenced primary's
	// position.
	CatchUpTimeout time.Duration
	// CatchUpProbeInterval is the interval of probes during that wait.
	CatchUpProbeInterval time.Duration
	// SwitchoverRetryInterval is the time from a switchover that was given up to the next.
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
