package engine

import (
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/topology"
)

// The drain of a data centre differs from the drain of an upstream in that no statement at all may reach the upstream
// after its end, also not of a transaction that is open there.

// setPlace sets the data centre of the upstream, and its drain if there is one. The caller holds mu.
func (p *pool) setPlace(place string, drains map[string]topology.PlaceDrain) {
	drain, drained := drains[place]
	p.place, p.placeDrained, p.placeDrainEndsAt = place, drained, drain.EndsAt
}

// isPlaceDrained reports whether nothing may be sent to the upstream any more because its data centre is drained.
func (p *pool) isPlaceDrained(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return drainIsOver(now, p.placeDrained, p.placeDrainEndsAt)
}

// refusePlaceDrained returns a result if an open transaction may not go on because the data centre of its upstream is
// drained. The connection is closed, which rolls the transaction back.
func (c *upstreamConn) refusePlaceDrained(now time.Duration) *attemptResult {
	if !c.pool.isPlaceDrained(now) {
		return nil
	}
	c.broken = true
	result := finalResult(Answer{Refusal: &Refusal{
		Code: rescode.TransactionAborted, Reason: reasonPlaceDrained, RetryAfter: shortRetryAfter, Upstream: c.pool.target.ID,
	}})
	return &result
}
