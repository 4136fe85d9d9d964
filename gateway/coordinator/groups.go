package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
	"github.com/jayloom/jayloom/policy/warmup"
)

const (
	// promoteAnswerTime is the time after which a promotion order without an answer is repeated beside
	// the call under way, because the call may have been lost. A platform that is well answers at once.
	promoteAnswerTime = 500 * time.Millisecond
	// awaitedLogInterval is the time between two log lines on a promotion that waits.
	awaitedLogInterval = 10 * time.Second
	// maxPrimaryViewAge is the age up to which a node's view of the primaries is used.
	maxPrimaryViewAge = time.Second
	// longFailingAfter is the time of failed attempts after which a node counts as
	// partitioned from a primary that other nodes reach.
	longFailingAfter = 1500 * time.Millisecond
	// maxAnswerAge is the age up to which an answer to a node shows that the primary is
	// reachable. The node's report of it arrives up to 250 ms later.
	maxAnswerAge = 600 * time.Millisecond
	// maxAnswerReportAge is the age up to which a report that lists a primary as answering is
	// used. The answer is at most 250 ms older.
	maxAnswerReportAge = maxAnswerAge - 250*time.Millisecond
	// fencesPerTerm is the number of fences reserved for each leader term, so that the
	// fences of a later leader are all higher.
	fencesPerTerm = 1 << 20
)

// group is the leader's state of one service's database group.
type group struct {
	machine      *failover.Machine
	syncReplicas int
	// warmupLimit bounds the requests to an upstream that warms up; without a rate there is no limit. warmupTime is
	// how long an upstream that has started warms up.
	warmupLimit warmup.Limit
	warmupTime  time.Duration
	samples     map[string]failover.Sample
	// endedSince holds when another server first answered at the addresses of upstreams.
	endedSince map[string]time.Duration
	// probers holds the running probe loops by upstream.
	probers map[string]*prober
	// primaryPosition is the newest known position of the primary.
	primaryPosition measuredPosition
	// sentPrimary is the state of the primary last published to proxies.
	sentPrimary primaryState
	// awaited are the servers that a promotion waits for, as last logged at awaitedLoggedAt, and
	// awaitedSince is when it began to wait.
	awaited         string
	awaitedSince    time.Duration
	awaitedLoggedAt time.Duration
	// order is the number of the newest promotion order, and fence its fence.
	order, fence uint64
}

// measuredPosition is the answer to a position query that was sent at measuredAt.
type measuredPosition struct {
	upstream   string
	position   position.Position
	measuredAt time.Duration
}

type primaryState struct {
	id       string
	term     uint64
	changing bool
}

type (
	probeCompleted struct {
		upstream topology.Upstream
		term     uint64
		sample   failover.Sample
	}
	addressReused struct {
		upstream topology.Upstream
		term     uint64
		at       time.Duration
	}
	// replicaResumed reports that a replica has answered an order to resume.
	replicaResumed struct {
		service, upstream string
		term, order       uint64
	}
	promotionAnswered struct {
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
			machine: failover.New(now), samples: map[string]failover.Sample{},
			endedSince: map[string]time.Duration{}, probers: map[string]*prober{},
		}
		l.groups[service] = g
	}
	return g
}

// stepGroups runs the failover state machines of all groups.
func (l *Leader) stepGroups(ctx context.Context, now time.Duration) {
	byService := l.upstreamsByService(now)
	l.probing.Store(intervalsFor(l.registry.Size(), len(l.groups)))
	reports, left := l.primaryReports(now), l.registry.Left()
	longestWait := time.Duration(0)
	for service, g := range l.groups {
		l.syncProbers(ctx, g, byService[service])
		input := failoverInput(g, byService[service], reports.on(service))
		input.Left = left[service]
		l.markPlaceDrains(input.Servers, byService[service])
		for _, action := range g.machine.Step(now, input) {
			l.execute(ctx, service, g, action, byService[service])
		}
		l.logAwaited(now, service, g)
		longestWait = max(longestWait, g.waitTime(now))
		if g.machine.NeedsFrequentProbes() {
			g.probeNow()
		}
		id, term, changing := g.machine.Primary()
		if current := (primaryState{id, term, changing}); current != g.sentPrimary {
			l.log.WithFields(logrus.Fields{
				"event": "primary_changed", "service": service, "primary": id, "term": term,
				"changing": changing, "before": g.sentPrimary.id, "before_term": g.sentPrimary.term,
			}).Info("primary changed")
			g.sentPrimary = current
			l.registry.IncrementRevision()
		}
		for upstream, p := range g.probers {
			p.isPrimary.Store(upstream == id)
		}
	}
	metricLongestPromotionWait.Set(longestWait.Seconds())
}

// upstreamsByService returns the upstreams of each group that may run. In a group with synchronous replicas one whose
// leave is doubted is among them, because it may receive commits.
func (l *Leader) upstreamsByService(now time.Duration) map[string][]*topology.Upstream {
	byService := map[string][]*topology.Upstream{}
	for _, u := range l.registry.Live() {
		byService[u.Service] = append(byService[u.Service], u)
		l.groupOf(now, u.Service)
	}
	for _, u := range l.registry.Doubted() {
		if l.groupOf(now, u.Service).syncReplicas > 0 {
			byService[u.Service] = append(byService[u.Service], u)
		}
	}
	return byService
}

func failoverInput(g *group, upstreams []*topology.Upstream, r failover.Reachability) failover.Input {
	in := failover.Input{SyncReplicas: g.syncReplicas, Reachability: r}
	for _, u := range upstreams {
		in.Servers = append(in.Servers, failover.Server{
			ID: u.ID, Draining: u.Draining || u.LeaveDoubted, ClaimsPrimary: u.ClaimsPrimary, Sample: g.samples[u.ID],
			EndedSince: g.endedSinceOf(u),
		})
	}
	return in
}

// endedSinceOf returns since when the process of an upstream is known to have ended, or zero if it has announced itself
// since.
func (g *group) endedSinceOf(u *topology.Upstream) time.Duration {
	since, ok := g.endedSince[u.ID]
	if ok && u.AnnouncedAt() > since {
		delete(g.endedSince, u.ID)
		return 0
	}
	return since
}

// primaryReports summarises the nodes' recent reports on primaries.
type primaryReports struct {
	nodes     int
	byService map[string]*failover.Reachability
}

// on returns the summary for a service's primary.
func (r primaryReports) on(service string) failover.Reachability {
	out := failover.Reachability{}
	if reported := r.byService[service]; reported != nil {
		out = *reported
	}
	out.Nodes = r.nodes
	return out
}

// primaryReports summarises the nodes' recent reports on the present primaries. It reads each report
// once for all groups, because there may be hundreds of nodes and groups.
func (l *Leader) primaryReports(now time.Duration) primaryReports {
	r := primaryReports{byService: map[string]*failover.Reachability{}}
	for s := range l.streams {
		age := now - s.primariesReceivedAt
		if age > maxPrimaryViewAge {
			continue
		}
		r.nodes++
		for service, upstream := range s.answered {
			if age < maxAnswerReportAge && l.isPrimary(service, upstream) {
				r.add(service).Reaching++
			}
		}
		for _, v := range s.primaries {
			if l.isPrimary(v.Service, v.Upstream) {
				addPrimaryView(r.add(v.Service), v, age)
			}
		}
	}
	return r
}

// add returns the summary for a service's primary, to which a report is to be added.
func (r primaryReports) add(service string) *failover.Reachability {
	if r.byService[service] == nil {
		r.byService[service] = &failover.Reachability{}
	}
	return r.byService[service]
}

func (l *Leader) isPrimary(service, upstream string) bool {
	g := l.groups[service]
	if g == nil {
		return false
	}
	primary, _, _ := g.machine.Primary()
	return primary == upstream
}

// addPrimaryView adds a node's view of the primary, reported age ago.
func addPrimaryView(r *failover.Reachability, v *controlpb.PrimaryView, age time.Duration) {
	failing := time.Duration(v.FailingMs) * time.Millisecond
	answered := time.Duration(v.AnsweredMs) * time.Millisecond
	switch {
	case failing > 0:
		r.Failing++
	case v.AnsweredMs > 0 && answered+age < maxAnswerAge:
		r.Reaching++
	}
	if failing >= longFailingAfter {
		r.LongFailing++
	}
}

func (l *Leader) execute(ctx context.Context, service string, g *group, action failover.Action, upstreams []*topology.Upstream) {
	if action.Promote == "" {
		for _, u := range upstreams {
			if u.ID == action.Pause || u.ID == action.Resume || u.ID == action.Demote {
				l.setReplication(ctx, *u, action)
			}
		}
		return
	}
	l.executePromotion(ctx, service, g, action)
}

// executePromotion sends a promotion order to the platform. A repeated order keeps its fence.
func (l *Leader) executePromotion(ctx context.Context, service string, g *group, action failover.Action) {
	repeated := action.Order == g.order
	if !repeated {
		l.fences++
		g.order, g.fence = action.Order, l.term*fencesPerTerm+l.fences
	}
	fence := g.fence
	primary, term, _ := g.machine.Primary()
	l.log.WithFields(logrus.Fields{
		"event": "promotion_ordered", "service": service, "upstream": action.Promote, "reason": string(action.Reason),
		"fence": fence, "repeated": repeated, "replaces": primary, "replaces_term": term, "position": g.samples[action.Promote].Position.String(),
	}).Warn("promotion ordered")
	countPromotion(action.Reason)
	answer := promotionAnswered{service: service, upstream: action.Promote, term: l.term, fence: fence}
	go l.sendPromotion(ctx, answer)
}

// sendPromotion calls the platform and posts the outcome. After promoteAnswerTime it posts that the
// outcome is not known yet, and goes on waiting: a slow call may still tell that the order was accepted
// or refused.
func (l *Leader) sendPromotion(ctx context.Context, answer promotionAnswered) {
	ctx, cancel := context.WithTimeout(ctx, failover.OrderTimeout)
	defer cancel()
	if !l.holdsLease(clock.Now()) {
		return
	}
	unanswered := answer
	unanswered.outcome = PromotionUnknown
	repeat := time.AfterFunc(promoteAnswerTime, func() { l.post(context.Background(), unanswered) })
	answer.outcome = l.config.Promoter.Promote(ctx, answer.service, answer.upstream, answer.fence)
	wasRepeated := !repeat.Stop()
	if wasRepeated && (answer.outcome == PromotionUnknown || answer.outcome == PromotionNotSent) {
		// The order is being repeated already.
		return
	}
	l.post(context.Background(), answer)
}

// waitTime returns how long a promotion has been waiting for servers that do not answer.
func (g *group) waitTime(now time.Duration) time.Duration {
	if g.awaited == "" {
		return 0
	}
	return now - g.awaitedSince
}

// logAwaited logs the servers that a promotion waits for, because they may have acknowledged commits that
// the candidate lacks: when they change, and regularly while it waits.
func (l *Leader) logAwaited(now time.Duration, service string, g *group) {
	awaited := strings.Join(g.machine.Awaited(), " ")
	if awaited == g.awaited && (awaited == "" || now-g.awaitedLoggedAt < awaitedLogInterval) {
		return
	}
	if g.awaited == "" {
		g.awaitedSince = now
	}
	g.awaited, g.awaitedLoggedAt = awaited, now
	l.log.WithFields(logrus.Fields{
		"event": "promotion_waits", "service": service, "upstreams": awaited,
		"waited_ms": (now - g.awaitedSince).Milliseconds(),
	}).Warn("servers that may have acknowledged commits which the candidate for a promotion lacks")
}

// setReplication pauses or resumes replication on a replica, or demotes a primary.
func (l *Leader) setReplication(ctx context.Context, u topology.Upstream, action failover.Action) {
	term := l.term
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if !l.holdsLease(clock.Now()) {
			return
		}
		event, err := l.callForReplication(ctx, u, action)
		entry := l.log.WithFields(logrus.Fields{"event": event, "service": u.Service, "upstream": u.ID})
		if err != nil {
			entry.WithError(err).Warn("failed to change the role or replication of an upstream; will retry")
			return
		}
		entry.Info("role or replication of an upstream changed")
		if action.Resume != "" {
			l.post(context.Background(), replicaResumed{u.Service, u.ID, term, action.Order})
		}
	}()
}

// callForReplication sends the command of an action to the upstream, and returns the event to log.
func (l *Leader) callForReplication(ctx context.Context, u topology.Upstream, action failover.Action) (event string, err error) {
	switch u.ID {
	case action.Resume:
		return "replica_resumed", l.config.Upstreams.Resume(ctx, u)
	case action.Demote:
		metricDemotions.Inc()
		return "primary_demoted", l.config.Upstreams.Demote(ctx, u, action.Term)
	default:
		return "replica_paused", l.config.Upstreams.Pause(ctx, u, action.Term)
	}
}

func (l *Leader) handleResumed(e replicaResumed) {
	if !l.leading || e.term != l.term {
		return
	}
	if g := l.groups[e.service]; g != nil {
		g.machine.HandleResumed(clock.Now(), e.upstream, e.order)
	}
}

func (l *Leader) handlePromotionOutcome(e promotionAnswered) {
	if !l.leading || e.term != l.term {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "promotion_answered", "service": e.service, "upstream": e.upstream, "fence": e.fence, "outcome": int(e.outcome),
	}).Info("promotion order answered")
	g := l.groups[e.service]
	if g == nil || e.fence != g.fence {
		// A newer order has replaced this one.
		return
	}
	switch e.outcome {
	case PromotionAccepted:
		g.machine.HandleAccepted()
	case PromotionRefused:
		g.machine.HandleRefused(clock.Now(), e.upstream)
	case PromotionNotSent:
		g.machine.HandleNotSent()
	case PromotionUnknown:
		g.machine.HandleUnknownOutcome(clock.Now())
	}
	g.probeNow()
}

func (l *Leader) handleProbe(e probeCompleted) {
	if !l.leading || e.term != l.term {
		return
	}
	g := l.groups[e.upstream.Service]
	if g == nil {
		return
	}
	g.samples[e.upstream.ID] = e.sample
	delete(g.endedSince, e.upstream.ID)
	l.registry.RecordContact(clock.Now(), e.upstream.ID)
	if e.sample.PositionAsPrimary {
		g.primaryPosition = measuredPosition{e.upstream.ID, e.sample.Position, e.sample.At}
	}
}

func (l *Leader) handleReusedAddress(e addressReused) {
	if !l.leading || e.term != l.term {
		return
	}
	g := l.groups[e.upstream.Service]
	if g == nil || g.probers[e.upstream.ID] == nil || g.endedSince[e.upstream.ID] != 0 {
		return
	}
	g.endedSince[e.upstream.ID] = e.at
	l.log.WithFields(logrus.Fields{
		"event": "upstream_address_reused", "service": e.upstream.Service, "upstream": e.upstream.ID,
	}).Warn("another server answers at the address of an upstream: its process has ended")
}
