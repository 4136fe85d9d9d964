// Package balance weighs servers whose state a node knows from the answers to its own statements only. It has no
// clock and no I/O.
package balance

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one statement in the success rate.
	outcomeWeight = 0.2
	// failureTime is the time constant with which failures fade while nothing is sent to a server. A node of a large fleet
	// sends a server one statement in a second or two.
	failureTime = 3 * time.Second
	// minSuccess is the least success rate that is assumed, so that a server that failed all is tried again.
	minSuccess = 0.05
)

// SuccessRate estimates which part of the statements a server runs. The zero value expects all. It is not safe for
// concurrent use.
//
// Load pattern: a server fails or sheds a part of what it is sent while its health checks succeed. It answers these
// statements sooner than others run theirs, so that by its latency alone it would be sent the most.
type SuccessRate struct {
	failures   float64
	recordedAt time.Duration
}

// Record records whether the server ran a statement.
func (s *SuccessRate) Record(now time.Duration, ran bool) {
	failed := 1.0
	if ran {
		failed = 0
	}
	current := s.failureRate(now)
	s.failures, s.recordedAt = current+outcomeWeight*(failed-current), now
}

// Rate returns the part of statements that the server is expected to run.
func (s *SuccessRate) Rate(now time.Duration) float64 {
	return max(minSuccess, 1-s.failureRate(now))
}

func (s *SuccessRate) failureRate(now time.Duration) float64 {
	return s.failures * math.Exp(-float64(now-s.recordedAt)/float64(failureTime))
}
