package failover

import "time"

// Config holds the time limits of a Machine.
type Config struct {
	// LeaseWait is the time after which no proxy can hold a primary lease granted
	// before: the lease of 2,500 ms plus the drift bound of 5 %.
	LeaseWait time.Duration
	// SuspectAfter is the silence after which a primary is suspected.
	SuspectAfter time.Duration
	// CandidateSilence is the silence after which a candidate is given up.
	CandidateSilence time.Duration
	// CandidateLimit bounds the time that an answering candidate may stay in
	// recovery while another replica could be promoted.
	CandidateLimit time.Duration
	// CallRetry is the time after which a proposal or call without a result is
	// repeated. All of them are idempotent.
	CallRetry time.Duration
	// ChoiceWait bounds the wait for the positions of all answering replicas
	// before one is chosen: a probe under way may need its timeout of 400 ms, and
	// the next one too.
	ChoiceWait time.Duration
	// DrainWait is the time that running transactions get to end on a primary that
	// leaves, before its term is fenced. Callers with new transactions wait that
	// long, so it is a quarter of the default deadline of 2,000 ms.
	DrainWait time.Duration
	// SwitchoverAge is the age of a replica's data up to which a switchover begins.
	SwitchoverAge time.Duration
	// CatchUpLimit bounds the wait for a replica to reach the fenced primary's
	// position.
	CatchUpLimit time.Duration
	// CatchUpProbe is the interval of probes during that wait.
	CatchUpProbe time.Duration
	// SwitchoverRetry is the time from a switchover that was given up to the next.
	SwitchoverRetry time.Duration
}

// DefaultConfig returns the limits of the design page, sections 3.6, 3.9 and 3.14.
func DefaultConfig() Config {
	return Config{
		LeaseWait:        2625 * time.Millisecond,
		SuspectAfter:     800 * time.Millisecond,
		CandidateSilence: 2 * time.Second,
		CandidateLimit:   10 * time.Second,
		CallRetry:        time.Second,
		ChoiceWait:       900 * time.Millisecond,
		DrainWait:        500 * time.Millisecond,
		SwitchoverAge:    2 * time.Second,
		CatchUpLimit:     5 * time.Second,
		CatchUpProbe:     50 * time.Millisecond,
		SwitchoverRetry:  10 * time.Second,
	}
}
