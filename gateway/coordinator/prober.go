package coordinator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
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
	// firstProbeSpacing is the average time between the first probes of a new leader.
	firstProbeSpacing = 300 * time.Microsecond
	// probeTimeout limits one probe or position query, including the time to connect.
	probeTimeout = 500 * time.Millisecond
)

// probeIntervals are the times between two calls of the leader to one upstream.
type probeIntervals struct {
	probe, positionQuery time.Duration
	upstreams            int
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
		upstreams:     upstreams,
	}
}

// firstProbeDelay returns how long to wait before the first probe of an upstream. A new leader starts to
// probe all of them at the same time, while all nodes reconnect to it.
func (i *probeIntervals) firstProbeDelay() time.Duration {
	return rand.N(time.Duration(i.upstreams)*firstProbeSpacing + 1)
}

// prober is the probe loop of one upstream.
type prober struct {
	cancel    context.CancelFunc
	isPrimary atomic.Bool
	address   string
	// trigger starts a probe before the next interval.
	trigger chan struct{}
}

func (g *group) stopProbers() {
	for _, p := range g.probers {
		p.cancel()
	}
	g.probers = map[string]*prober{}
}

func (g *group) probeNow() {
	for _, p := range g.probers {
		select {
		case p.trigger <- struct{}{}:
		default:
		}
	}
}

// syncProbers starts a probe loop for each upstream that has none, and stops the loops of
// upstreams that are gone or have another address.
func (l *Leader) syncProbers(ctx context.Context, g *group, upstreams []*topology.Upstream) {
	present := map[string]string{}
	for _, u := range upstreams {
		present[u.ID] = u.Address
		if g.probers[u.ID] == nil {
			l.startProber(ctx, g, *u)
		}
	}
	for id, p := range g.probers {
		if address, ok := present[id]; !ok || address != p.address {
			p.cancel()
			delete(g.probers, id)
			delete(g.samples, id)
			delete(g.refusedSince, id)
		}
	}
}

func (l *Leader) startProber(ctx context.Context, g *group, u topology.Upstream) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prober{cancel: cancel, address: u.Address, trigger: make(chan struct{}, 1)}
	g.probers[u.ID] = p
	term := l.term
	go func() { l.runProber(ctx, p, u, term) }()
}

// runProber probes an upstream until ctx ends. Between probes, it sends position queries to a
// primary.
func (l *Leader) runProber(ctx context.Context, p *prober, u topology.Upstream, term uint64) {
	var status failover.Sample
	probedAt := time.Duration(0)
	if _, ok := p.waitFor(ctx, l.probing.Load().firstProbeDelay()); !ok {
		return
	}
	for {
		now, intervals := clock.Now(), l.probing.Load()
		if probedAt == 0 || now-probedAt >= intervals.probe || !status.Primary {
			switch s, result := l.probe(ctx, u); result {
			case probeAnswered:
				status, probedAt = s, now
				l.post(ctx, probeCompleted{u, term, s})
			case probeRefused:
				l.post(ctx, connectionRefused{u, term, clock.Now()})
			}
		}
		if status.Primary || p.isPrimary.Load() {
			l.queryPosition(ctx, u, term, &status)
		}
		wait := intervals.probe
		if status.Primary || p.isPrimary.Load() {
			wait = intervals.positionQuery
		}
		triggered, ok := p.waitFor(ctx, wait)
		if !ok {
			return
		}
		if triggered {
			probedAt = 0
		}
	}
}

// waitFor waits until a probe is triggered or the given time has passed. ok is false if ctx has ended.
func (p *prober) waitFor(ctx context.Context, d time.Duration) (triggered, ok bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-p.trigger:
		return true, true
	case <-timer.C:
		return false, true
	}
}

// probeResult is the result of a probe.
type probeResult int

const (
	probeFailed probeResult = iota
	probeAnswered
	// probeRefused means that the upstream's process does not run at its address.
	probeRefused
)

func (l *Leader) probe(ctx context.Context, u topology.Upstream) (failover.Sample, probeResult) {
	defer guard.Recover(l.log, "probe of an upstream")
	at := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sample, err := l.config.Upstreams.Probe(ctx, u)
	if err != nil {
		metricProbeFailures.Inc()
		if provesNotRunning(err) {
			return failover.Sample{}, probeRefused
		}
		return failover.Sample{}, probeFailed
	}
	sample.At = at
	return sample, probeAnswered
}

// provesNotRunning reports whether a failed call shows that the upstream's process does not run: nothing
// listens at its address, or another server does.
func provesNotRunning(err error) bool {
	var refused *engine.DialRefusedError
	if errors.As(err, &refused) {
		return refused.Outcome == engine.Misdirected
	}
	return errors.Is(err, syscall.ECONNREFUSED)
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
