// Package stop decides what a node that is shutting down still begins, and when it gives up
// what has not ended. It has no clock and no I/O: times are those of clock.Now.
package stop

import "time"

const (
	// balancerDelay is the time until the load balancer sends no new callers to this node: it
	// checks every second and stops after two failed checks.
	balancerDelay = 2300 * time.Millisecond
	// transactionFraction is the fraction of the grace period in which open transactions may
	// send statements of any length.
	transactionFraction = 1.0 / 2
	// Statements that have no answer are given up after maxAnswerFraction of the grace period, so
	// that their callers are told before the process is killed. In a short grace period this is
	// endTime before its end, but not before minAnswerFraction of it.
	minAnswerFraction = 5.0 / 6
	maxAnswerFraction = 11.0 / 12
	// endTime is what a full node needs on a busy VM to answer all callers and to end.
	endTime = 400 * time.Millisecond
)

// Plan divides the grace period of a stop. The times are in this order.
type Plan struct {
	// BeganAt is when the stop was requested.
	BeganAt time.Duration
	// ServesUntil is until when callers are accepted and served as before. Later, sessions end
	// as they become idle.
	ServesUntil time.Duration
	// TransactionsUntil is until when open transactions may send statements of any length.
	TransactionsUntil time.Duration
	// AnswersUntil is when statements without an answer are given up.
	AnswersUntil time.Duration
	// ClosesAt is when callers that have not read their answers are disconnected. Half of the time
	// since AnswersUntil is left for the end of the process.
	ClosesAt time.Duration
	// EndsAt is when the process is killed.
	EndsAt time.Duration
}

// NewPlan returns the plan of a stop that was requested at the time now.
func NewPlan(now, grace time.Duration) Plan {
	part := func(fraction float64) time.Duration {
		return now + time.Duration(fraction*float64(grace))
	}
	end := now + grace
	answersUntil := max(part(minAnswerFraction), min(part(maxAnswerFraction), end-endTime))
	return Plan{
		BeganAt:           now,
		ServesUntil:       min(now+balancerDelay, part(transactionFraction)),
		TransactionsUntil: part(transactionFraction),
		AnswersUntil:      answersUntil,
		ClosesAt:          answersUntil + (end-answersUntil)/2,
		EndsAt:            end,
	}
}

// MayBegin reports whether a session, a transaction or a single statement may begin.
func (p Plan) MayBegin(now time.Duration) bool {
	return now < p.ServesUntil
}

// MayRun reports whether a statement that was accepted before may still be sent to an upstream.
func (p Plan) MayRun(now time.Duration) bool {
	return now < p.AnswersUntil
}

// MayContinue reports whether an open transaction may send a statement that may take as long
// as timeout. In the second half of the grace period its answer has to come before statements
// are given up.
func (p Plan) MayContinue(now, timeout time.Duration) bool {
	return now < p.TransactionsUntil || now+timeout <= p.AnswersUntil
}
