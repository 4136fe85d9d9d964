package engine

import (
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// drainMargin is the time that a statement may take from the check to its upstream: it must arrive there
// before the end of the drain, not be sent before it.
const drainMargin = 300 * time.Millisecond

// drainIsOver reports whether nothing may be begun on an upstream any more because its drain is about to end,
// or may have ended: endsAt is 0 if that is not known.
func drainIsOver(now time.Duration, draining bool, endsAt time.Duration) bool {
	return draining && now+drainMargin >= endsAt
}

// isDrained reports whether nothing may be begun on the upstream any more.
func (p *pool) isDrained(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return drainIsOver(now, p.draining, p.drainEndsAt) || drainIsOver(now, p.placeDrained, p.placeDrainEndsAt)
}

// drainedRefusal is the refusal of work that only an upstream could run whose drain is over. Nothing was sent.
func (p *pool) drainedRefusal(now time.Duration) *Refusal {
	reason := reasonDrained
	if p.isPlaceDrained(now) {
		reason = reasonPlaceDrained
	}
	return &Refusal{Code: rescode.GroupFenced, Reason: reason, RetryAfter: failoverRetryAfter, Upstream: p.target.ID}
}

// refuseDrained returns a result if the next statement on a connection would begin work on an upstream whose
// drain is over. A transaction that has run a statement may go on, unless the data centre of the upstream is drained.
func (s *Session) refuseDrained(c *upstreamConn) *attemptResult {
	now := clock.Now()
	if s.tx != nil && s.tx.ran {
		return c.refusePlaceDrained(now)
	}
	if !c.pool.isDrained(now) {
		return nil
	}
	// The connection may be inside a transaction that was begun for the statement.
	c.broken = true
	result := retryResult(retryDrained, *c.pool.drainedRefusal(now))
	return &result
}
