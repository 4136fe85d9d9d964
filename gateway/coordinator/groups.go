package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	// observeInterval is the time between two questions to a primary, statusInterval
	// that between two probes of any upstream.
	observeInterval = 250 * time.Millisecond
	statusInterval  = time.Second
	// probeTimeout bounds one probe, with its connection.
	probeTimeout = 500 * time.Millisecond
	// promoteTimeout bounds the wait for the answer to an order to promote, which comes at
	// once: the promotion itself takes longer.
	promoteTimeout = 500 * time.Millisecond
	// opinionFresh is the age up to which a node's report counts.
	opinionFresh = time.Second
	// longFailingAfter is the time of failed attempts after which a node counts as cut off
	// from a primary that others reach.
	longFailingAfter = 1500 * time.Millisecond
	// answeredLately is the age up to which an answer to a node shows that a primary lives:
	// the leader hears of it 250 ms later.
	answeredLately = 600 * time.Millisecond
	// fencesPerTerm is the room for fences of one leader, so that a later leader's are
	// all higher.
	fencesPerTerm = 1 << 20
)

// group is the leader's view of one service.
type group struct {
	machine      *failover.Machine
	syncReplicas int
	samples      map[string]failover.Sample
	// probers are the running probe loops by upstream.
	probers map[string]*prober
	// observed is the newest position of the primary.
	observed observation
	// shown is what proxies were told last.
	shown shownPrimary
}

// observation is the position of a primary when it was asked at a time.
type observation struct {
	upstream string
	position position.Position
	at       time.Duration
}

type shownPrimary struct {
	id       string
	term     uint64
	changing bool
}

// prober probes one upstream.
type prober struct {
	cancel  context.CancelFunc
	primary atomic.Bool
	address string
	now     chan struct{}
}

type (
	probed struct {
		upstream topology.Upstream
		term     uint64
		sample   failover.Sample
	}
	promoted struct {
		service, upstream string
		term              uint64
		fence             uint64
		outcome           PromotionOutcome
	}
)

func (l *Leader) groupOf(now time.Duration, service string) *group {
	g := l.groups[service]
	if g == nil {
		g = &group{
			machine: failover.New(now), samples: map[string]failover.Sample{}, probers: map[string]*prober{},
		}
		l.groups[service] = g
	}
	return g
}

func (g *group) stop() {
	for _, p := range g.probers {
		p.cancel()
	}
	g.probers = map[string]*prober{}
}

func (g *group) probeNow() {
	for _, p := range g.probers {
		select {
		case p.now <- struct{}{}:
		default:
		}
	}
}

// stepGroups decides for all groups and reports whether nodes must be told.
func (l *Leader) stepGroups(ctx context.Context, now time.Duration) bool {
	byService := map[string][]*topology.Upstream{}
	for _, u := range l.registry.Live() {
		byService[u.Service] = append(byService[u.Service], u)
		l.groupOf(now, u.Service)
	}
	changed := false
	for service, g := range l.groups {
		l.syncProbers(ctx, g, byService[service])
		for _, o := range g.machine.Step(now, l.input(now, service, g, byService[service])) {
			l.carryOut(ctx, service, g, o, byService[service])
		}
		if g.machine.Pending() {
			g.probeNow()
		}
		id, term, changing := g.machine.Primary()
		if shown := (shownPrimary{id, term, changing}); shown != g.shown {
			l.log.WithFields(logrus.Fields{
				"event": "primary_changed", "service": service, "primary": id, "term": term,
				"changing": changing, "before": g.shown.id, "before_term": g.shown.term,
			}).Info("view of the primary changed")
			g.shown = shown
			l.registry.IncrementRevision()
			changed = true
		}
		for upstream, p := range g.probers {
			p.primary.Store(upstream == id)
		}
	}
	return changed
}

func (l *Leader) input(now time.Duration, service string, g *group, upstreams []*topology.Upstream) failover.Input {
	primary, _, _ := g.machine.Primary()
	in := failover.Input{SyncReplicas: g.syncReplicas, Reachability: l.reach(now, service, primary)}
	for _, u := range upstreams {
		in.Servers = append(in.Servers, failover.Server{
			ID: u.ID, Draining: u.Draining, ClaimsPrimary: u.ClaimsPrimary, LastContact: u.LastContact, Sample: g.samples[u.ID],
		})
	}
	return in
}

// reach counts the nodes that have an opinion on the primary.
func (l *Leader) reach(now time.Duration, service, primary string) failover.Reachability {
	r := failover.Reachability{}
	for a := range l.attended {
		if now-a.viewedAt > opinionFresh {
			continue
		}
		for _, v := range a.primaries {
			if v.Service != service || v.Upstream != primary {
				continue
			}
			r.Nodes++
			failing := time.Duration(v.FailingMs) * time.Millisecond
			answered := time.Duration(v.AnsweredMs) * time.Millisecond
			switch {
			case failing > 0:
				r.Failing++
			case v.AnsweredMs > 0 && answered+now-a.viewedAt < answeredLately:
				r.Reaching++
			}
			if failing >= longFailingAfter {
				r.LongFailing++
			}
		}
	}
	return r
}

func (l *Leader) carryOut(ctx context.Context, service string, g *group, o failover.Action, upstreams []*topology.Upstream) {
	if o.Pause != "" {
		for _, u := range upstreams {
			if u.ID == o.Pause {
				l.pause(ctx, *u, o.Term)
			}
		}
		return
	}
	l.fences++
	fence := l.term*fencesPerTerm + l.fences
	primary, term, _ := g.machine.Primary()
	l.log.WithFields(logrus.Fields{
		"event": "promotion_ordered", "service": service, "upstream": o.Promote, "reason": string(o.Reason),
		"fence": fence, "replaces": primary, "replaces_term": term, "position": g.samples[o.Promote].Position.String(),
	}).Warn("orders a promotion")
	countPromotion(o.Reason)
	leaderTerm := l.term
	go func() {
		ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		defer cancel()
		if !l.mayAct(clock.Now()) {
			return
		}
		outcome := l.config.Promoter.Promote(ctx, service, o.Promote, fence)
		l.post(context.Background(), promoted{service, o.Promote, leaderTerm, fence, outcome})
	}()
}

func (l *Leader) pause(ctx context.Context, u topology.Upstream, term uint64) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := l.config.Upstreams.Pause(ctx, u, term); err != nil {
			l.log.WithError(err).WithField("upstream", u.ID).Warn("replica was not paused; the next step tries again")
		}
	}()
}

func (l *Leader) handlePromoted(e promoted) {
	if !l.leading || e.term != l.term {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "promotion_answered", "service": e.service, "upstream": e.upstream, "fence": e.fence, "outcome": int(e.outcome),
	}).Info("order to promote was answered")
	g := l.groups[e.service]
	if g == nil {
		return
	}
	switch e.outcome {
	case PromotionRefused:
		g.machine.HandleRefused(clock.Now(), e.upstream)
	case PromotionNotSent:
		g.machine.HandleNotSent()
	case PromotionUnknown:
		g.machine.HandleUnknownOutcome(clock.Now())
	}
	g.probeNow()
}

func (l *Leader) handleProbed(e probed) {
	if !l.leading || e.term != l.term {
		return
	}
	g := l.groups[e.upstream.Service]
	if g == nil {
		return
	}
	g.samples[e.upstream.ID] = e.sample
	if e.sample.PositionAsPrimary {
		g.observed = observation{e.upstream.ID, e.sample.Position, e.sample.At}
	}
}

// syncProbers runs one probe loop for each upstream.
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
		}
	}
}

func (l *Leader) startProber(ctx context.Context, g *group, u topology.Upstream) {
	ctx, cancel := context.WithCancel(ctx)
	p := &prober{cancel: cancel, address: u.Address, now: make(chan struct{}, 1)}
	g.probers[u.ID] = p
	term := l.term
	go func() { l.runProber(ctx, p, u, term) }()
}

// runProber probes an upstream. Between probes a primary is asked for its position.
func (l *Leader) runProber(ctx context.Context, p *prober, u topology.Upstream, term uint64) {
	var status failover.Sample
	probedAt := -statusInterval
	for {
		now := clock.Now()
		if now-probedAt >= statusInterval || !status.Primary {
			if s, ok := l.probe(ctx, u); ok {
				status, probedAt = s, now
				l.post(ctx, probed{u, term, s})
			}
		}
		if status.Primary || p.primary.Load() {
			l.observe(ctx, u, term, &status)
		}
		wait := statusInterval
		if status.Primary || p.primary.Load() {
			wait = observeInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-p.now:
			probedAt = -statusInterval
		case <-time.After(wait):
		}
	}
}

func (l *Leader) probe(ctx context.Context, u topology.Upstream) (failover.Sample, bool) {
	at := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sample, err := l.config.Upstreams.Probe(ctx, u)
	if err != nil {
		metricProbeFailures.Inc()
		return failover.Sample{}, false
	}
	sample.At = at
	return sample, true
}

// observe updates what is known of a primary. A position may still be of the term
// before, so the term is that of the newest probe.
func (l *Leader) observe(ctx context.Context, u topology.Upstream, term uint64, status *failover.Sample) {
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
		// The next probe tells the term in which it leads.
		return
	}
	status.At, status.Position = at, pos
	status.Term = max(status.Term, pos.Term)
	status.PositionAsPrimary = true
	l.post(ctx, probed{u, term, *status})
}

// voterAddresses returns where nodes find the leader, or who names it.
func (l *Leader) voterAddresses() []string {
	addresses := []string{}
	for _, m := range l.replica().Status().Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}
