package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	// minPositionQueryInterval is the time between two position queries to a primary, and
	// minProbeInterval between two probes of an upstream, in a fleet of the usual size.
	minPositionQueryInterval = 250 * time.Millisecond
	minProbeInterval         = time.Second
	// maxPositionQueryInterval is below the time without an answer after which a primary counts as
	// silent.
	maxPositionQueryInterval = 500 * time.Millisecond
	// positionQuerySpacing and probeSpacing are the least times between the queries to all primaries
	// and between the probes of all upstreams.
	positionQuerySpacing = 800 * time.Microsecond
	probeSpacing         = 2 * time.Millisecond
	// firstProbeSpacing is the average time between the first probes of a new leader, firstPrimarySpacing that between
	// those of primaries in a large fleet.
	firstProbeSpacing   = 300 * time.Microsecond
	firstPrimarySpacing = time.Millisecond
	// maxFirstPrimaryDelay is below the time after which a new leader replaces primaries that have not answered.
	maxFirstPrimaryDelay = time.Second
	// probedTogetherUpTo is the number of upstreams that a new leader probes for the first time without an order.
	probedTogetherUpTo = 600
	// probeTimeout limits one probe or position query, including the time to connect.
	probeTimeout = 500 * time.Millisecond
)

// probeIntervals are the times between two calls of the leader to one upstream.
type probeIntervals struct {
	probe, positionQuery time.Duration
	upstreams, primaries int
}

// intervalsFor returns the intervals for a fleet of the given size.
//
// Load pattern: thousands of upstreams and one leader with half a core. Probes that it cannot send in
// time would look like upstreams that do not answer. A probe that a decision needs is triggered.
func intervalsFor(upstreams, primaries int) *probeIntervals {
	positionQuery := max(minPositionQueryInterval, time.Duration(primaries)*positionQuerySpacing)
	return &probeIntervals{
		probe:         max(minProbeInterval, time.Duration(upstreams)*probeSpacing),
		positionQuery: min(positionQuery, maxPositionQueryInterval),
		upstreams:     upstreams, primaries: primaries,
	}
}

// firstProbeDelay returns how long to wait before the first probe of an upstream.
//
// Load pattern: a new leader opens connections to thousands of upstreams while all nodes reconnect to it. Primaries go
// first, because one that has not answered is replaced. Replicas are probed when a decision needs them.
func (i *probeIntervals) firstProbeDelay(primary bool) time.Duration {
	if i.upstreams <= probedTogetherUpTo {
		return rand.N(time.Duration(i.upstreams)*firstProbeSpacing + 1)
	}
	primariesDone := min(time.Duration(i.primaries)*firstPrimarySpacing, maxFirstPrimaryDelay)
	if primary {
		return rand.N(primariesDone + 1)
	}
	return primariesDone + rand.N(i.probe)
}

// prober probes one upstream repeatedly. Between two rounds it holds a timer and no goroutine, because there may be
// thousands of upstreams.
type prober struct {
	leader    *Leader
	ctx       context.Context
	cancel    context.CancelFunc
	upstream  topology.Upstream
	term      uint64
	isPrimary atomic.Bool

	mu    sync.Mutex
	timer *time.Timer
	// running is set while a round runs, triggered if another one has been asked for.
	running, triggered bool

	// The remaining fields belong to the round that runs.

	status   failover.Sample
	probedAt time.Duration
}

func (g *group) stopProbers() {
	for _, p := range g.probers {
		p.stop()
	}
	g.probers = map[string]*prober{}
}

func (g *group) probeNow() {
	for _, p := range g.probers {
		p.trigger()
	}
}

// syncProbers starts a prober for each upstream that has none, and stops those of upstreams that are gone or have another address.
func (l *Leader) syncProbers(ctx context.Context, g *group, upstreams []*topology.Upstream) {
	present := map[string]string{}
	for _, u := range upstreams {
		present[u.ID] = u.Address
		if g.probers[u.ID] == nil {
			l.startProber(ctx, g, *u)
		}
	}
	for id, p := range g.probers {
		if address, ok := present[id]; !ok || address != p.upstream.Address {
			p.stop()
			delete(g.probers, id)
			delete(g.samples, id)
			delete(g.endedSince, id)
		}
	}
}

func (l *Leader) startProber(ctx context.Context, g *group, u topology.Upstream) {
	p := &prober{leader: l, upstream: u, term: l.term}
	p.ctx, p.cancel = context.WithCancel(ctx)
	g.probers[u.ID] = p
	p.mu.Lock()
	defer p.mu.Unlock()
	primary, _, _ := g.machine.Primary()
	p.timer = time.AfterFunc(l.probing.Load().firstProbeDelay(u.ClaimsPrimary || u.ID == primary), p.run)
}

func (p *prober) stop() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Stop()
}

// trigger starts a probe before the next interval, or after the round that runs.
func (p *prober) trigger() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.triggered = true
	if !p.running && p.ctx.Err() == nil {
		p.timer.Reset(0)
	}
}

// run makes a round and starts the timer for the next one. The timer calls it.
func (p *prober) run() {
	if p.begin() {
		p.finish(p.round())
	}
}

// begin reports whether a round is to run now.
func (p *prober) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || p.ctx.Err() != nil {
		return false
	}
	if p.triggered {
		p.probedAt = 0
	}
	p.running, p.triggered = true, false
	return true
}

// finish ends a round. The next one comes after wait, or at once if it was asked for.
func (p *prober) finish(wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = false
	if p.ctx.Err() != nil {
		return
	}
	if p.triggered {
		wait = 0
	}
	p.timer.Reset(wait)
}

// round probes the upstream if that is due, and sends a position query to a primary. It returns the time until the
// next round.
func (p *prober) round() time.Duration {
	l := p.leader
	now, intervals := clock.Now(), l.probing.Load()
	if p.probedAt == 0 || now-p.probedAt >= intervals.probe || !p.status.Primary {
		switch s, result := l.probe(p.ctx, p.upstream); result {
		case probeAnswered:
			p.status, p.probedAt = s, now
			l.post(p.ctx, probeCompleted{p.upstream, p.term, s})
		case probeMisdirected:
			l.post(p.ctx, addressReused{p.upstream, p.term, clock.Now()})
		}
	}
	if !p.status.Primary && !p.isPrimary.Load() {
		return intervals.probe
	}
	l.queryPosition(p.ctx, p.upstream, p.term, &p.status)
	if !p.status.Primary && !p.isPrimary.Load() {
		return intervals.probe
	}
	return intervals.positionQuery
}

// probeResult is the result of a probe.
type probeResult int

const (
	probeFailed probeResult = iota
	probeAnswered
	// probeMisdirected means that another server answers at the upstream's address.
	probeMisdirected
)

func (l *Leader) probe(ctx context.Context, u topology.Upstream) (failover.Sample, probeResult) {
	defer guard.Recover(l.log, "probe of an upstream")
	at := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sample, err := l.config.Upstreams.Probe(ctx, u)
	if err != nil {
		metricProbeFailures.Inc()
		if isMisdirected(err) {
			return failover.Sample{}, probeMisdirected
		}
		return failover.Sample{}, probeFailed
	}
	sample.At = at
	return sample, probeAnswered
}

// isMisdirected reports whether a failed call shows that another server answers at the upstream's address, so that the
// upstream's process has ended. A refused connection does not show that: a partition may refuse connections too.
func isMisdirected(err error) bool {
	var refused *engine.DialRefusedError
	return errors.As(err, &refused) && refused.Outcome == engine.Misdirected
}

// queryPosition sends a position query and updates status from the answer. The position may
// still be of the previous term, so the term is at least that of the newest probe.
func (l *Leader) queryPosition(ctx context.Context, u topology.Upstream, term uint64, status *failover.Sample) {
	defer guard.Recover(l.log, "position query to an upstream")
	at := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	pos, leads, err := l.config.Upstreams.QueryPosition(callCtx, u)
	if err != nil {
		metricProbeFailures.Inc()
		return
	}
	if !leads {
		status.Primary = false
		return
	}
	if !status.Primary {
		// The next probe returns the term of this primary.
		return
	}
	status.At, status.Position = at, pos
	status.Term = max(status.Term, pos.Term)
	status.PositionAsPrimary = true
	l.post(ctx, probeCompleted{u, term, *status})
}
