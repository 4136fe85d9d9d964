package engine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

const (
	// maxAttempts bounds the attempts for one statement, over all upstreams.
	maxAttempts = 5
	// maxBusyRetries bounds the retries after upstreams reported that they are busy: many of
	// them would keep the upstreams overloaded.
	maxBusyRetries = 2
	// maxFailedRetries bounds the retries of a read that an upstream ran and failed: the read itself may be wrong.
	maxFailedRetries = 1
	// maxQueueRetries bounds the retries after a request could not wait for a connection.
	maxQueueRetries = 1
	// retryBackoff is multiplied by the number of attempts to give the mean pause before an
	// upstream is retried that is read-only, or refused to commit because it is busy.
	retryBackoff = 15 * time.Millisecond
)

// retryCounts counts the retries of one statement.
type retryCounts struct {
	total, busy, queue, failed int
}

// allow counts a retry, unless there were enough already.
func (c *retryCounts) allow(reason retryReason) bool {
	c.total++
	switch reason {
	case retryBusy, retryMisdirected:
		c.busy++
	case retryQueue:
		c.queue++
	case retryFailed:
		c.failed++
	}
	return c.total < maxAttempts && c.busy <= maxBusyRetries && c.queue <= maxQueueRetries && c.failed <= maxFailedRetries
}

// triedUpstreams holds the upstreams that a read has tried, with the reasons for trying another.
type triedUpstreams map[string]retryReason

// record records the result of an attempt on an upstream.
func (t triedUpstreams) record(p *pool, result attemptResult) {
	if result.retryable && result.retryReason != retryPlanExpired {
		t[p.target.ID] = result.retryReason
	}
}

// forgetOverloaded forgets the upstreams that had no room for the read. It reports whether there
// were any.
func (t triedUpstreams) forgetOverloaded() bool {
	found := false
	for id, reason := range t {
		if reason == retryBusy || reason == retryFull {
			delete(t, id)
			found = true
		}
	}
	return found
}

// has reports whether an upstream was tried.
func (t triedUpstreams) has(id string) bool {
	_, ok := t[id]
	return ok
}

// runWithRetries repeats an attempt while its result is retryable and time is left. Before an
// upstream is used again that shed work or had no connection left, the attempt waits in the queue
// of its pool.
func (s *Session) runWithRetries(ctx context.Context, op *operation, st Statement, attempt func() attemptResult) Answer {
	retries := retryCounts{}
	// lost is the refusal of an attempt that may have run, as a read that is repeated.
	var lost *Refusal
	for {
		op.repeated = retries.total > 0
		result := attempt()
		if !result.retryable || s.relay.started {
			return s.withoutFalsePromise(result.answer, lost)
		}
		if ctx.Err() != nil || time.Until(op.deadline) < retryBackoff || !retries.allow(result.retryReason) {
			return s.withoutFalsePromise(result.answer, lost)
		}
		if !result.answer.Refusal.promisesNotRun() {
			lost = result.answer.Refusal
		}
		countRetry(result.retryReason)
		s.engine.log.WithFields(logrus.Fields{
			"event": "retried", "id": LoggedID(st.ID), "reason": string(result.retryReason), "attempt": retries.total,
			"upstream": result.upstream(), "elapsed_ms": (clock.Now() - op.started).Milliseconds(), "service": op.group.service,
		}).Info("retrying request")
		if s.retriesSamePlace(result.retryReason) {
			pause(ctx, time.Duration(float64(retries.total)*(0.5+rand.Float64())*float64(retryBackoff)))
		}
	}
}

// withoutFalsePromise returns the answer to a statement, of which an earlier attempt was lost with the given refusal, if
// any. The answer does not promise then that the statement has not run. What a transaction has lost is its begin.
func (s *Session) withoutFalsePromise(a Answer, lost *Refusal) Answer {
	if lost == nil || s.tx != nil || a.Refusal == nil || !a.Refusal.promisesNotRun() {
		return a
	}
	refusal := *lost
	refusal.RetryAfter = a.Refusal.RetryAfter
	a.Refusal = &refusal
	return a
}

// promisesNotRun reports whether the refusal promises that the statement has not run.
func (r *Refusal) promisesNotRun() bool {
	info, ok := rescode.Lookup(r.Code)
	return ok && info.Execution == rescode.NotRun
}

// retriesSamePlace reports whether a retry goes to the same upstream without waiting in its queue.
func (s *Session) retriesSamePlace(reason retryReason) bool {
	switch reason {
	case retryReadOnly, retryMisdirected:
		return true
	case retryBusy:
		return s.tx != nil && s.tx.conn != nil
	default:
		return false
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
