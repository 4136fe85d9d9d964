package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// dialTimeout bounds one attempt to connect, up to the upstream's greeting.
	dialTimeout = 600 * time.Millisecond
	// fullBackoff is how long no connection is opened after the upstream refused one because
	// it had too many.
	fullBackoff = 500 * time.Millisecond
	// idleTimeout is how long a connection may stay idle while no more than share.maxIdle are
	// open.
	idleTimeout = 30 * time.Second
	// overtakeLimit is how long the first waiter may be overtaken by waiters whose team has
	// an idle connection.
	overtakeLimit = 120 * time.Millisecond
)

// pool holds the connections of this node to one upstream. It limits the load when many nodes
// use one upstream at once, as after a failover or in a burst: connections in use are bounded
// by a window, which shrinks when the upstream reports that it is busy. Further callers wait
// in a queue, and are refused at once if their expected wait is too long.
type pool struct {
	target Target
	dialer Dialer
	log    *logrus.Entry

	mu   sync.Mutex
	idle []*upstreamConn
	// open counts connections that are idle, in use or being dialed; inUse counts the latter
	// two.
	open, inUse int
	// share bounds open. window is the bound of inUse at busyAt, and grows from then on.
	share     share
	window    float64
	busyAt    time.Duration
	fullUntil time.Duration
	waiters   []*waiter
	closed    bool
	place     string
	draining  bool
	// drainEndsAt is when the drain ends, or 0 if that is not known.
	drainEndsAt time.Duration

	position     position.Position
	behindAt     time.Duration
	latency      time.Duration
	latencyAt    time.Duration
	failingAt    time.Duration
	failing      bool
	answeredAt   time.Duration
	lastTeam     string
	reconnecting bool

	held heldElsewhere
}

// waiter is a caller that waits in the queue of a pool.
type waiter struct {
	team  string
	since time.Duration
	ready chan handover
}

// handover gives a waiter a connection, or the right to dial one if conn is nil.
type handover struct {
	conn   *upstreamConn
	closed bool
}

func newPool(t Target, place string, dialer Dialer, log *logrus.Entry) *pool {
	return &pool{target: t, place: place, dialer: dialer, log: log, share: share{maxOpen: 1}, window: 1}
}

// setShare sets the node's share of the upstream's connections.
func (p *pool) setShare(maxConnections, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fullAt := p.share.fullAt
	p.share = newShare(maxConnections, nodes)
	if p.isHolder() {
		p.share = newHolderShare(maxConnections, len(p.held.addresses), p.held.slots)
	}
	p.share.fullAt = fullAt
	if p.busyAt == 0 {
		p.window = float64(p.share.maxOpen)
	}
	p.serveWaiters()
}

// acquire returns a connection for a team, waiting until deadline if necessary. It refuses at
// once if the expected wait is longer than maxWait.
func (p *pool) acquire(ctx context.Context, team string, deadline time.Time, maxWait time.Duration) (*upstreamConn, *Refusal) {
	for {
		if ctx.Err() != nil {
			return nil, stoppedWaiting()
		}
		h, w, refusal := p.acquireOrEnqueue(team, maxWait)
		if refusal == nil && w != nil {
			h, refusal = p.await(ctx, w, earlierDeadline(deadline, maxWait))
		}
		switch {
		case refusal != nil:
			return nil, refusal
		case h.closed:
			return nil, &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
		case h.conn == nil:
			return p.dial(ctx, team, deadline)
		case h.conn.conn.Usable():
			return h.conn, nil
		}
		h.conn.broken = true
		p.release(h.conn)
	}
}

// earlierDeadline returns the earlier of deadline and the time that is limit from now.
func earlierDeadline(deadline time.Time, limit time.Duration) time.Time {
	if end := time.Now().Add(limit); end.Before(deadline) {
		return end
	}
	return deadline
}

// acquireOrEnqueue acquires a connection or the right to dial one, or else returns a new
// waiter.
func (p *pool) acquireOrEnqueue(team string, maxWait time.Duration) (handover, *waiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.lastTeam = team
	if p.closed {
		return handover{closed: true}, nil, nil
	}
	if len(p.waiters) == 0 {
		if h, ok := p.tryAcquire(now, team); ok {
			return h, nil, nil
		}
	}
	if p.expectedWait(now) > maxWait {
		return handover{}, nil, &Refusal{Code: rescode.QueueFull, Reason: reasonPoolFull, RetryAfter: p.expectedWait(now)}
	}
	w := &waiter{team: team, since: now, ready: make(chan handover, 1)}
	p.waiters = append(p.waiters, w)
	metricPoolWaits.Inc()
	return handover{}, w, nil
}

// expectedWait returns how long a new waiter would have to wait. The caller holds mu.
func (p *pool) expectedWait(now time.Duration) time.Duration {
	return time.Duration(len(p.waiters)+1) * p.currentLatency(now) / time.Duration(p.currentWindow(now))
}

// tryAcquire acquires an idle connection of the team, or else the right to dial one. To dial,
// it may close the connection that has been idle for the longest time. The caller holds mu.
func (p *pool) tryAcquire(now time.Duration, team string) (handover, bool) {
	if p.inUse >= p.currentWindow(now) {
		return handover{}, false
	}
	if i := p.idleIndex(team); i >= 0 {
		c := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		p.inUse++
		return handover{conn: c}, true
	}
	limit := p.share.currentMaxOpen(now)
	switch {
	case p.open < limit && now >= p.fullUntil:
		p.open++
	case len(p.idle) > 0:
		p.idle[0].close()
		p.idle = p.idle[1:]
		metricReplacedForTeam.Inc()
	case p.open == 0:
		// The upstream was full; one attempt shows whether it still is.
		p.open++
	default:
		return handover{}, false
	}
	p.inUse++
	return handover{}, true
}

// idleIndex returns the index of the most recently used idle connection of a team, or -1. The
// caller holds mu.
func (p *pool) idleIndex(team string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].team == team {
			return i
		}
	}
	return -1
}

// await waits until w is served, but no longer than until deadline or the end of ctx.
func (p *pool) await(ctx context.Context, w *waiter, deadline time.Time) (handover, *Refusal) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	refusal := &Refusal{Code: rescode.QueueTimeout, Reason: reasonPoolTimeout}
	select {
	case h := <-w.ready:
		return h, nil
	case <-timer.C:
	case <-ctx.Done():
		refusal = stoppedWaiting()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return handover{}, refusal
		}
	}
	return <-w.ready, nil
}

// serveWaiters hands available connections to waiters. The caller holds mu.
func (p *pool) serveWaiters() {
	if len(p.waiters) == 0 {
		return
	}
	now := clock.Now()
	for len(p.waiters) > 0 {
		i := p.nextWaiter(now)
		w := p.waiters[i]
		h, ok := p.tryAcquire(now, w.team)
		if !ok {
			return
		}
		p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
		w.ready <- h
	}
}

// nextWaiter returns the index of the waiter to serve next. It prefers one whose team has an
// idle connection, which saves the upstream a new connection, unless the first has waited for
// overtakeLimit. The caller holds mu.
func (p *pool) nextWaiter(now time.Duration) int {
	if now-p.waiters[0].since >= overtakeLimit {
		return 0
	}
	for i, w := range p.waiters {
		if p.idleIndex(w.team) >= 0 {
			return i
		}
	}
	return 0
}

// dial opens a connection. The caller has acquired the right to do so.
func (p *pool) dial(parent context.Context, team string, deadline time.Time) (*upstreamConn, *Refusal) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(parent, limit)
	defer cancel()
	conn, pos, err := p.dialer.Dial(ctx, p.target, team)
	if err == nil {
		metricDials.Inc()
		p.recordSuccess()
		if !pos.IsZero() {
			p.setPosition(pos)
		}
		return &upstreamConn{conn: conn, pool: p, team: team}, nil
	}
	metricDialFailures.Inc()
	p.cancelDial()
	var refused *DialRefusedError
	if errors.As(err, &refused) {
		return nil, p.recordDialRefusal(refused.Outcome)
	}
	if parent.Err() != nil {
		return nil, stoppedWaiting()
	}
	p.recordFailure()
	return nil, &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialFailed}
}

// recordDialRefusal records an upstream's refusal of a connection and maps it to a refusal
// for the caller.
func (p *pool) recordDialRefusal(o Outcome) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o {
	case TooManyConnections:
		p.fullUntil = clock.Now() + fullBackoff
		p.share.fullAt = clock.Now()
		return &Refusal{Code: rescode.TooManyConnections, Reason: reasonUpstreamFull}
	case Misdirected:
		// Another server uses the address now.
		p.markFailing()
		return &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
	default:
		return &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialRefused}
	}
}

// cancelDial gives up the right to dial a connection.
func (p *pool) cancelDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.inUse--
	p.serveWaiters()
}

// release returns a connection to the pool, or closes it if it is broken or inside a transaction, which closing
// rolls back.
func (p *pool) release(c *upstreamConn) {
	if c.forwarded {
		p.releaseForwarded(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if !c.reusable() || p.closed {
		c.close()
		p.open--
	} else {
		c.idleAt = clock.Now()
		p.idle = append(p.idle, c)
	}
	p.serveWaiters()
}

// closeExpiredIdle closes connections that have been idle for too long. It also serves
// waiters, because the window may have grown.
func (p *pool) closeExpiredIdle(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now-c.idleAt < p.currentIdleTimeout() {
			kept = append(kept, c)
			continue
		}
		c.close()
		p.open--
	}
	p.idle = kept
	p.serveWaiters()
}

// currentIdleTimeout returns how long the connection that has been idle for the longest time
// may stay open. The caller holds mu.
func (p *pool) currentIdleTimeout() time.Duration {
	if p.open > p.share.maxIdle {
		return surplusIdleTimeout
	}
	return idleTimeout
}

// close closes idle connections and refuses further use. Connections in use are closed when
// they are released.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
		p.open--
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- handover{closed: true}
	}
	p.waiters = nil
}
