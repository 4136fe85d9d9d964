package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/policy/admission"
	"github.com/jayloom/jayloom/policy/balance"
)

const (
	// dialTimeout bounds one attempt to connect, up to the upstream's greeting.
	dialTimeout = 600 * time.Millisecond
	// idleTimeout is how long a connection may stay idle while no more than share.maxIdle are
	// open.
	idleTimeout = 30 * time.Second
)

// pool holds the connections of this node to one upstream. It limits the load when many nodes
// use one upstream at once, as after a failover or in a burst: connections in use are bounded
// by a window, which shrinks when the upstream reports that it is busy. Further callers wait
// in a queue or are refused, as package admission decides.
type pool struct {
	target Target
	dialer Dialer
	log    *logrus.Entry

	mu   sync.Mutex
	idle []*upstreamConn
	// open counts connections that are idle, in use or being dialed; inUse counts the latter
	// two.
	open, inUse int
	// parked counts those in use inside transactions whose callers pause.
	parked int
	// inUseByTeam divides inUse by team.
	inUseByTeam map[string]int
	// share bounds open. window is the bound of inUse at busyAt, and grows from then on.
	share  share
	window float64
	busyAt time.Duration
	// shed pauses all use after the upstream shed work, full the opening of connections after
	// it had none left.
	shed    admission.Backoff
	full    admission.Pause
	waiters admission.Queue[chan handover]
	// wakeAt is when waiters are served again after a pause, or 0 if that is not scheduled.
	wakeAt time.Duration
	// holdTime is the average time for which a connection is in use, as of heldAt.
	holdTime time.Duration
	heldAt   time.Duration
	closed   bool
	place    string
	draining bool
	// drainEndsAt is when the drain ends, or 0 if that is not known.
	drainEndsAt time.Duration
	// placeDrained is set while the data centre of the upstream is drained; placeDrainEndsAt is when that ends, or
	// 0 if it is not known.
	placeDrained     bool
	placeDrainEndsAt time.Duration
	// warming is set while the upstream warms up by the topology, and before coldUntil it may do so. Statements then
	// need permits if warmupLimited is set.
	warming, warmupLimited bool
	coldUntil              time.Duration

	position position.Position
	// Until behindUntil reads avoid the upstream, which was behind; behindPause is how long that is.
	behindUntil  time.Duration
	behindPause  time.Duration
	latency      time.Duration
	latencyAt    time.Duration
	failingAt    time.Duration
	failing      bool
	answeredAt   time.Duration
	lastTeam     string
	reconnecting bool
	// outcomes holds which part of the statements the upstream runs.
	outcomes balance.SuccessRate

	held heldElsewhere
}

func newPool(t Target, place string, dialer Dialer, log *logrus.Entry) *pool {
	return &pool{
		target: t, place: place, dialer: dialer, log: log, share: share{maxOpen: 1}, window: 1, inUseByTeam: map[string]int{},
	}
}

// setShare sets the node's share of the upstream's connections.
func (p *pool) setShare(maxConnections, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fullAt, scarceUntil := p.share.fullAt, p.share.scarceUntil
	p.share = newShare(maxConnections, nodes)
	if p.isHolder() {
		p.share = newHolderShare(maxConnections, len(p.held.addresses), p.held.slots)
	}
	p.share.fullAt, p.share.scarceUntil = fullAt, scarceUntil
	if p.busyAt == 0 {
		p.window = float64(p.share.maxOpen)
	}
	p.serveWaiters()
}

// tryAcquire acquires an idle connection of the team, or else the right to dial one. To dial,
// it may close the connection that has been idle for the longest time. The caller holds mu.
func (p *pool) tryAcquire(now time.Duration, team string) (handover, bool) {
	if p.inUse >= p.currentWindow(now) || !p.hasSlot() {
		return handover{}, false
	}
	if i := p.idleIndex(team); i >= 0 {
		c := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		p.use(team)
		c.acquiredAt = now
		return handover{conn: c}, true
	}
	switch {
	case p.open < p.share.currentMaxOpen(now) && now >= p.full.Until():
		p.open++
	case len(p.idle) > 0:
		p.idle[0].close()
		p.idle = p.idle[1:]
		metricReplacedForTeam.Inc()
	default:
		return handover{}, false
	}
	p.use(team)
	return handover{}, true
}

// use counts a connection that a team begins to use. The caller holds mu.
func (p *pool) use(team string) {
	p.inUse++
	p.inUseByTeam[team]++
}

// unuse counts a connection that a team no longer uses. The caller holds mu.
func (p *pool) unuse(team string) {
	p.inUse--
	p.inUseByTeam[team]--
	if p.inUseByTeam[team] <= 0 {
		delete(p.inUseByTeam, team)
	}
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

// dial opens a connection. The caller has acquired the right to do so.
func (p *pool) dial(parent context.Context, team string, priority uint32, deadline time.Time) (*upstreamConn, *Refusal) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(parent, limit)
	defer cancel()
	began := clock.Now()
	conn, pos, err := p.dialer.Dial(ctx, p.target, team)
	if err == nil {
		metricDials.Inc()
		p.recordDial()
		if !pos.IsZero() {
			p.setPosition(pos)
		}
		return &upstreamConn{conn: conn, pool: p, team: team, priority: priority, acquiredAt: began}, nil
	}
	metricDialFailures.Inc()
	defer p.cancelDial(team)
	var refused *DialRefusedError
	if errors.As(err, &refused) {
		return nil, p.recordDialRefusal(refused.Outcome, priority)
	}
	if parent.Err() != nil {
		return nil, stoppedWaiting()
	}
	p.recordFailure()
	return nil, &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialFailed}
}

// recordDialRefusal records an upstream's refusal of a connection and maps it to a refusal
// for the caller.
func (p *pool) recordDialRefusal(o Outcome, priority uint32) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o {
	case TooManyConnections:
		now := clock.Now()
		p.full.Refused(now, rand.Float64())
		p.share.fullAt = now
		return &Refusal{Code: rescode.TooManyConnections, Reason: reasonUpstreamFull, RetryAfter: p.retryAfter(now, priority)}
	case Busy:
		p.shedWork(priority)
		return &Refusal{Code: rescode.QueueFull, Reason: reasonUpstreamBusy, RetryAfter: p.retryAfter(clock.Now(), priority)}
	case Misdirected:
		// Another server uses the address now.
		p.markFailing()
		return &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
	default:
		return &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialRefused}
	}
}

// cancelDial gives up the right to dial a connection.
func (p *pool) cancelDial(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.unuse(team)
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
	p.endParking(c)
	p.unuse(c.team)
	now := clock.Now()
	p.recordHold(now, now-c.acquiredAt)
	if !c.reusable() || p.closed {
		c.close()
		p.open--
	} else {
		c.idleAt = now
		p.idle = append(p.idle, c)
	}
	p.serveWaiters()
	p.closeIdleIfScarce(now)
}

// expectScarcity makes the pool keep few idle connections until a time.
func (p *pool) expectScarcity(until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share.scarceUntil = until
}

// closeIdleIfScarce closes idle connections beyond maxIdle while the upstream may have none left
// for other nodes. The caller holds mu.
func (p *pool) closeIdleIfScarce(now time.Duration) {
	if !p.share.isScarce(now) {
		return
	}
	for len(p.idle) > 0 && p.open > p.share.maxIdle {
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.open--
	}
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
	for _, w := range p.waiters.Clear() {
		w.Value <- handover{closed: true}
	}
}
