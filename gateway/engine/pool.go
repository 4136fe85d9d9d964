package engine

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// dialTimeout bounds one attempt to connect, with the upstream's greeting.
	dialTimeout = 600 * time.Millisecond
	// fullFor is how long an upstream that refused a connection is not dialled again
	// beyond the node's equal part.
	fullFor = 500 * time.Millisecond
	// spareConnections of each upstream stay for the leader's probes.
	spareConnections = 1
	// idleBeyondShare closes idle connections above the equal part.
	idleBeyondShare = 2 * time.Second
	// idleLimit closes all others.
	idleLimit = 30 * time.Second
	// latencyWeight is the weight of a new sample of the latency.
	latencyWeight = 0.2
	// latencyFloor is assumed of an upstream without samples.
	latencyFloor = 5 * time.Millisecond
	// latencyMemory halves the distance of an unused upstream's latency to the floor.
	latencyMemory = 500 * time.Millisecond
	// answeredLately is the time since its last answer in which an upstream does not
	// count as failing.
	answeredLately = 300 * time.Millisecond
	// behindMemory is how long an upstream that lacked a position is passed over.
	behindMemory = 60 * time.Millisecond
)

// pool holds a node's connections to one upstream.
type pool struct {
	target Target
	dialer Dialer

	mu   sync.Mutex
	idle []*link
	// open counts connections that are idle, lent or being dialled.
	open      int
	limit     int
	share     int
	fullUntil time.Duration
	waiters   []*poolWaiter
	closed    bool
	place     string
	draining  bool

	position   position.Position
	behindAt   time.Duration
	inFlight   int
	latency    time.Duration
	latencyAt  time.Duration
	failingAt  time.Duration
	failing    bool
	lastTeam   string
	answeredAt time.Duration
	reviving   bool
}

type poolWaiter struct {
	team  string
	ready chan handover
}

// handover gives a waiter a link, or the right to dial one.
type handover struct {
	link *link
	dial bool
}

func newPool(t Target, place string, dialer Dialer) *pool {
	return &pool{target: t, place: place, dialer: dialer, limit: 1, share: 1}
}

// setShare sets how many connections the node may keep.
func (p *pool) setShare(maxConnections, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maxConnections <= 0 {
		maxConnections = math.MaxInt32
	}
	p.share = max(1, (maxConnections-spareConnections)/max(1, nodes))
	p.limit = p.share
}

// allowed is how many connections may be open now. The caller holds mu.
func (p *pool) allowed(now time.Duration) int {
	if now < p.fullUntil {
		return min(p.limit, max(p.share, p.open))
	}
	return p.limit
}

// acquire lends a link for a team, waiting until deadline.
func (p *pool) acquire(ctx context.Context, team string, deadline time.Time) (*link, *Refusal) {
	for {
		l, w, refusal := p.start(team)
		switch {
		case refusal != nil:
			return nil, refusal
		case l != nil && l.conn != nil:
			if l.conn.Quiet() {
				return l, nil
			}
			l.broken = true
			p.release(l)
			continue
		case w == nil:
			return p.dial(ctx, team, deadline)
		}
		got, refusal := p.await(w, deadline)
		switch {
		case refusal != nil:
			return nil, refusal
		case got.dial:
			return p.dial(ctx, team, deadline)
		case got.link.conn.Quiet():
			return got.link, nil
		default:
			got.link.broken = true
			p.release(got.link)
		}
	}
}

// start returns an idle link, or nothing when the caller may dial, or a waiter.
func (p *pool) start(team string) (*link, *poolWaiter, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
	}
	p.lastTeam = team
	for i := len(p.idle) - 1; i >= 0; i-- {
		if l := p.idle[i]; l.team == team {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return l, nil, nil
		}
	}
	if p.open < p.allowed(clock.Now()) {
		p.open++
		return nil, nil, nil
	}
	if len(p.idle) > 0 {
		// The connection that was idle for longest gives its place to another team.
		p.idle[0].conn.Close()
		p.idle = p.idle[1:]
		metricReplaced.Inc()
		return nil, nil, nil
	}
	w := &poolWaiter{team: team, ready: make(chan handover, 1)}
	p.waiters = append(p.waiters, w)
	metricPoolWaits.Inc()
	return nil, w, nil
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
	var refused *DialRefused
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
	case TooMany:
		p.fullUntil = clock.Now() + fullFor
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
	p.passPlace()
}

// passPlace gives the place of a closed connection to a waiter. The caller holds mu.
func (p *pool) passPlace() {
	if len(p.waiters) > 0 && !p.closed {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.ready <- handover{dial: true}
		return
	}
	p.open--
}

// release takes a link back.
func (p *pool) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.broken || p.closed {
		l.conn.Close()
		p.passPlace()
		return
	}
	for i, w := range p.waiters {
		if w.team == l.team {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			w.ready <- handover{link: l}
			return
		}
	}
	if len(p.waiters) > 0 {
		l.conn.Close()
		metricReplaced.Inc()
		p.passPlace()
		return
	}
	l.idleAt = clock.Now()
	p.idle = append(p.idle, l)
}

// trim closes connections that were idle for too long.
func (p *pool) trim(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, l := range p.idle {
		limit := idleLimit
		if p.open > p.share {
			limit = idleBeyondShare
		}
		if now-l.idleAt < limit {
			kept = append(kept, l)
			continue
		}
		l.conn.Close()
		p.open--
	}
	p.idle = kept
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
		w.ready <- handover{dial: true}
	}
	p.waiters = nil
}

func (p *pool) sawPosition(pos position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = pos
}

// wasBehind notes that the upstream lacked a position.
func (p *pool) wasBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindAt = clock.Now()
}

func (p *pool) started() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight++
}

// finished notes the end of a statement and its latency, if it was answered.
func (p *pool) finished(latency time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	if !answered {
		return
	}
	p.failing = false
	now := clock.Now()
	p.answeredAt = now
	current := p.latencyNow(now)
	p.latency = current + time.Duration(latencyWeight*float64(latency-current))
	p.latencyAt = now
}

// patience is how long an answer of the upstream is worth waiting for.
func (p *pool) patience(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return latencyFactor * p.latencyNow(now)
}

// latencyNow returns the latency, forgotten as time passes. The caller holds mu.
func (p *pool) latencyNow(now time.Duration) time.Duration {
	if p.latencyAt == 0 {
		return latencyFloor
	}
	kept := math.Exp2(-float64(now-p.latencyAt) / float64(latencyMemory))
	return latencyFloor + time.Duration(kept*float64(p.latency-latencyFloor))
}

func (p *pool) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = false
	p.answeredAt = clock.Now()
}

// failed notes that the upstream did not answer. One that answered others lately is
// overloaded, or loses answers, and stays in use.
func (p *pool) failed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answeredAt != 0 && clock.Now()-p.answeredAt < answeredLately {
		return
	}
	p.markFailing()
}

func (p *pool) markFailing() {
	if !p.failing {
		p.failing, p.failingAt = true, clock.Now()
	}
}

// failingFor returns for how long every attempt has failed, or 0.
func (p *pool) failingFor(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return 0
	}
	return max(time.Millisecond, now-p.failingAt)
}

// connected reports whether an idle connection of the team is at hand. The caller
// holds mu.
func (p *pool) connected(team string) bool {
	for _, l := range p.idle {
		if l.team == team {
			return true
		}
	}
	return false
}

// status is what the choice of an upstream for a team depends on.
func (p *pool) status(now time.Duration, team string) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining, Failing: p.failing || p.closed,
		Connected: p.connected(team),
		Full:      p.open >= p.allowed(now) && len(p.idle) == 0,
		InFlight:  p.inFlight + len(p.waiters), Latency: p.latencyNow(now),
		Position: p.position, LatelyBehind: p.behindAt != 0 && now-p.behindAt < behindMemory,
	}
}
