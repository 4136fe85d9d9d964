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
	// dialTimeout bounds one attempt to connect, with the upstream's greeting.
	dialTimeout = 600 * time.Millisecond
	// fullFor is how long an upstream that refused a connection is not dialled again.
	fullFor = 500 * time.Millisecond
	// idleLimit closes idle connections.
	idleLimit = 30 * time.Second
	// fairWait is how long a waiter may be overtaken by those whose team has a link.
	fairWait = 120 * time.Millisecond
)

// pool holds a node's connections to one upstream and lends them. Load pattern: all
// nodes press on one upstream, as after a failover or in a burst. Each node lends no more
// connections than its window, which shrinks when the upstream refuses work, lets the
// rest wait in order, and refuses at once what would wait for too long.
type pool struct {
	target Target
	dialer Dialer
	log    *logrus.Entry

	mu   sync.Mutex
	idle []*link
	// open counts connections that are idle, lent or being dialled; lent the latter two.
	open, lent int
	// share bounds open. window bounds lent as of busyAt, and grows from then on.
	share     share
	window    float64
	busyAt    time.Duration
	fullUntil time.Duration
	waiters   []*poolWaiter
	closed    bool
	place     string
	draining  bool

	position   position.Position
	behindAt   time.Duration
	latency    time.Duration
	latencyAt  time.Duration
	failingAt  time.Duration
	failing    bool
	answeredAt time.Duration
	lastTeam   string
	reviving   bool
}

type poolWaiter struct {
	team  string
	since time.Duration
	ready chan handover
}

// handover gives a waiter a link, or the right to dial one if link is nil.
type handover struct {
	link   *link
	closed bool
}

func newPool(t Target, place string, dialer Dialer, log *logrus.Entry) *pool {
	return &pool{target: t, place: place, dialer: dialer, log: log, share: share{limit: 1}, window: 1}
}

// setShare sets how many connections the node may have.
func (p *pool) setShare(maxConnections, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fullAt := p.share.fullAt
	p.share = newShare(maxConnections, nodes)
	p.share.fullAt = fullAt
	if p.busyAt == 0 {
		p.window = float64(p.share.limit)
	}
	p.serve()
}

// acquire lends a link for a team, waiting until deadline. A caller that would wait for
// longer than patience is refused at once.
func (p *pool) acquire(ctx context.Context, team string, deadline time.Time, patience time.Duration) (*link, *Refusal) {
	for {
		h, w, refusal := p.start(team, patience)
		if refusal == nil && w != nil {
			h, refusal = p.await(w, earlier(deadline, patience))
		}
		switch {
		case refusal != nil:
			return nil, refusal
		case h.closed:
			return nil, &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
		case h.link == nil:
			return p.dial(ctx, team, deadline)
		case h.link.conn.Usable():
			return h.link, nil
		}
		h.link.broken = true
		p.release(h.link)
	}
}

// earlier returns the deadline, or the end of a time from now if that is earlier.
func earlier(deadline time.Time, limit time.Duration) time.Time {
	if end := time.Now().Add(limit); end.Before(deadline) {
		return end
	}
	return deadline
}

// start takes a link or the right to dial one, or returns a waiter.
func (p *pool) start(team string, patience time.Duration) (handover, *poolWaiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.lastTeam = team
	if p.closed {
		return handover{closed: true}, nil, nil
	}
	if len(p.waiters) == 0 {
		if h, ok := p.take(now, team); ok {
			return h, nil, nil
		}
	}
	if p.expectedWait(now) > patience {
		return handover{}, nil, &Refusal{Code: rescode.QueueFull, Reason: reasonPoolFull, RetryAfter: p.expectedWait(now)}
	}
	w := &poolWaiter{team: team, since: now, ready: make(chan handover, 1)}
	p.waiters = append(p.waiters, w)
	metricPoolWaits.Inc()
	return handover{}, w, nil
}

// expectedWait is how long one more waiter would wait. The caller holds mu.
func (p *pool) expectedWait(now time.Duration) time.Duration {
	return time.Duration(len(p.waiters)+1) * p.latencyNow(now) / time.Duration(p.windowNow(now))
}

// take takes an idle link of the team, or else the right to dial, possibly in place of
// the link that was idle for longest. The caller holds mu.
func (p *pool) take(now time.Duration, team string) (handover, bool) {
	if p.lent >= p.windowNow(now) {
		return handover{}, false
	}
	if i := p.idleOf(team); i >= 0 {
		l := p.idle[i]
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		p.lent++
		return handover{link: l}, true
	}
	limit := p.share.limitNow(now)
	switch {
	case p.open < limit && now >= p.fullUntil:
		p.open++
	case len(p.idle) > 0:
		p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		metricReplaced.Inc()
	case p.open == 0:
		// The upstream was full; one attempt shows whether it still is.
		p.open++
	default:
		return handover{}, false
	}
	p.lent++
	return handover{}, true
}

// idleOf returns the index of the newest idle link of a team, or -1. The caller holds mu.
func (p *pool) idleOf(team string) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].team == team {
			return i
		}
	}
	return -1
}

func (p *pool) await(w *poolWaiter, deadline time.Time) (handover, *Refusal) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case h := <-w.ready:
		return h, nil
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return handover{}, &Refusal{Code: rescode.QueueTimeout, Reason: reasonPoolTimeout}
		}
	}
	return <-w.ready, nil
}

// serve hands out what is free. The caller holds mu.
func (p *pool) serve() {
	now := clock.Now()
	for len(p.waiters) > 0 {
		i := p.nextWaiter(now)
		w := p.waiters[i]
		h, ok := p.take(now, w.team)
		if !ok {
			return
		}
		p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
		w.ready <- h
	}
}

// nextWaiter prefers a waiter whose team has an idle link, which saves the upstream a new
// connection, unless the first has waited for long. The caller holds mu.
func (p *pool) nextWaiter(now time.Duration) int {
	if now-p.waiters[0].since >= fairWait {
		return 0
	}
	for i, w := range p.waiters {
		if p.idleOf(w.team) >= 0 {
			return i
		}
	}
	return 0
}

// dial opens the connection that start or a handover has allowed.
func (p *pool) dial(ctx context.Context, team string, deadline time.Time) (*link, *Refusal) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	conn, pos, err := p.dialer.Dial(ctx, p.target, team)
	if err == nil {
		metricDials.Inc()
		p.succeeded()
		if !pos.IsZero() {
			p.sawPosition(pos)
		}
		return &link{conn: conn, pool: p, team: team}, nil
	}
	metricDialFailures.Inc()
	p.giveUpPlace()
	var refused *DialRefusedError
	if errors.As(err, &refused) {
		return nil, p.dialRefused(refused.Outcome)
	}
	p.failed()
	return nil, &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialFailed}
}

func (p *pool) dialRefused(o Outcome) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch o {
	case TooManyConnections:
		p.fullUntil = clock.Now() + fullFor
		p.share.fullAt = clock.Now()
		return &Refusal{Code: rescode.TooManyConnections, Reason: reasonUpstreamFull}
	case Misdirected:
		// Another server has the address now.
		p.markFailing()
		return &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
	default:
		return &Refusal{Code: rescode.UpstreamConnectFailed, Reason: reasonDialRefused}
	}
}

// giveUpPlace lets somebody else open a connection.
func (p *pool) giveUpPlace() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.lent--
	p.serve()
}

// release takes a link back.
func (p *pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent--
	if l.broken || p.closed {
		l.conn.Close()
		p.open--
	} else {
		l.idleAt = clock.Now()
		p.idle = append(p.idle, l)
	}
	p.serve()
}

// trim closes connections that were idle for too long, and lets waiters profit from a
// window that has grown.
func (p *pool) trim(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, l := range p.idle {
		if now-l.idleAt < p.idleLimit() {
			kept = append(kept, l)
			continue
		}
		l.conn.Close()
		p.open--
	}
	p.idle = kept
	p.serve()
}

// idleLimit is how long the connection that was idle for longest may stay. The caller holds
// mu.
func (p *pool) idleLimit() time.Duration {
	if p.open > p.share.kept {
		return surplusIdle
	}
	return idleLimit
}

// close ends idle connections and refuses further use; lent ones end when they return.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.idle {
		l.conn.Close()
		p.open--
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- handover{closed: true}
	}
	p.waiters = nil
}
