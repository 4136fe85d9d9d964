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
}

// DefaultConfig returns the limits of the design page, sections 3.6 and 3.9.
func DefaultConfig() Config {
	return Config{
		LeaseWait:        2625 * time.Millisecond,
		SuspectAfter:     800 * time.Millisecond,
		CandidateSilence: 2 * time.Second,
		CandidateLimit:   10 * time.Second,
		CallRetry:        time.Second,
		ChoiceWait:       900 * time.Millisecond,
	}
}
