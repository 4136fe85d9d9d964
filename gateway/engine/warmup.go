package engine

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

const (
	// permitPollInterval is the time between two checks for a permit that a statement waits for.
	permitPollInterval = 5 * time.Millisecond
	// permitRepeatInterval is the time after which a statement that waits asks for a permit again.
	permitRepeatInterval = 50 * time.Millisecond
	// afterDrainTime is how long an upstream counts as cold after the drain of its data centre: two announcements, and
	// the way of the topology.
	afterDrainTime = 3 * time.Second
)

// Permits are the permits of this node for upstreams that warm up.
type Permits interface {
	// Has reports whether there is a permit for an upstream, and Take uses one.
	Has(now time.Duration, upstream string) bool
	Take(now time.Duration, upstream string) bool
	// Want records that a request lacks a permit, and whether it waits for one.
	Want(upstream string, waits bool)
}

// updateWarmup sets whether the upstream warms up by a topology. After the drain of its data centre it counts as cold
// for a while, if its service limits that: the end of the drain may arrive before the topology, or come from a leader
// that does not know of it. The caller holds mu.
func (p *pool) updateWarmup(now time.Duration, warming, limited, wasDrained bool) {
	if wasDrained && !p.placeDrained {
		p.coldUntil = now + afterDrainTime
	}
	p.warmupLimited, p.warming = limited, warming
}

// needsPermit reports whether a statement needs a permit for the upstream.
func (p *pool) needsPermit(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mayBeCold(now)
}

// mayBeCold reports whether the upstream warms up, or may do so, and its service limits that. The caller holds mu.
func (p *pool) mayBeCold(now time.Duration) bool {
	return p.warmupLimited && (p.warming || now < p.coldUntil)
}

// lacksPermit reports whether there is no permit for a read on an upstream, and asks for one with the next report.
func (g *group) lacksPermit(now time.Duration, upstream string) bool {
	if g.permits.Has(now, upstream) {
		return false
	}
	g.permits.Want(upstream, false)
	return true
}

// takePermit returns a result if the statement needs a permit for its upstream and there is none. Statements that can
// run on another upstream do not wait for one.
func (s *Session) takePermit(ctx context.Context, op *operation, c *upstreamConn, st Statement) *attemptResult {
	if st.ID == "" || !c.pool.needsPermit(clock.Now()) || s.engine.opts.Permits.Take(clock.Now(), c.pool.target.ID) {
		return nil
	}
	primary, _ := op.group.primaryPool()
	inTransaction := s.tx != nil && s.tx.conn == c
	if !inTransaction && c.pool != primary {
		s.engine.opts.Permits.Want(c.pool.target.ID, false)
		result := retryResult(retryWarmup, Refusal{Code: rescode.NoUpstream, Reason: reasonWarmup, RetryAfter: shortRetryAfter})
		return &result
	}
	if s.awaitPermit(ctx, op, c.pool) {
		// The wait may have taken a while.
		return s.refuseDrained(c)
	}
	refusal := &Refusal{Code: rescode.QueueTimeout, Reason: reasonWarmup, RetryAfter: shortRetryAfter}
	if inTransaction {
		// The connection is inside the caller's transaction.
		c.broken = true
		refusal.Code = rescode.TransactionAborted
	}
	result := finalResult(Answer{Refusal: refusal})
	return &result
}

// awaitPermit waits for a permit, for no longer than the operation may wait for a connection.
func (s *Session) awaitPermit(ctx context.Context, op *operation, p *pool) bool {
	limit := earlierDeadline(op.deadline, maxConnectionWait(clock.Now(), op.objectiveEnd))
	wantedAt := time.Duration(0)
	for time.Now().Before(limit) && ctx.Err() == nil {
		now := clock.Now()
		if !p.needsPermit(now) || s.engine.opts.Permits.Take(now, p.target.ID) {
			return true
		}
		if now-wantedAt >= permitRepeatInterval {
			s.engine.opts.Permits.Want(p.target.ID, true)
			s.engine.opts.RequestReport()
			wantedAt = now
		}
		pause(ctx, permitPollInterval)
	}
	return false
}

// earlierDeadline returns the earlier of deadline and the time that is limit from now.
func earlierDeadline(deadline time.Time, limit time.Duration) time.Time {
	if end := time.Now().Add(limit); end.Before(deadline) {
		return end
	}
	return deadline
}
