package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
	"github.com/jayloom/jayloom/policy/throttle"
)

const (
	// tickInterval is the interval of decisions that depend on time.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the leader's goroutine.
	eventQueueSize = 1024
	// proposalTimeout limits a proposal that the leader itself makes.
	proposalTimeout = 2 * time.Second
	// maxLeaseLapse is how long updates to nodes wait for the lease of a leader that has not been replaced. It is below
	// the time after which nodes take the leader for silent; leaseCheckInterval is the time between two checks.
	maxLeaseLapse      = 400 * time.Millisecond
	leaseCheckInterval = 20 * time.Millisecond
	// revisionsPerTerm is the number of topology revisions reserved for each leader term.
	revisionsPerTerm = 1 << 32
)

// UpstreamClient sends requests to database servers.
type UpstreamClient interface {
	// Probe asks a server for its role, term and position.
	Probe(ctx context.Context, u topology.Upstream) (failover.Sample, error)
	// QueryPosition asks a server whether it is the primary, and for its position if it is. It
	// takes none of the server's slots, so it is also answered under overload.
	QueryPosition(ctx context.Context, u topology.Upstream) (p position.Position, leads bool, err error)
	// Pause pauses replication on a replica until it is promoted or resumed.
	Pause(ctx context.Context, u topology.Upstream, term uint64) error
	// Resume resumes replication on a paused replica.
	Resume(ctx context.Context, u topology.Upstream) error
	// Demote makes a primary of an earlier term than the given one a replica.
	Demote(ctx context.Context, u topology.Upstream, term uint64) error
	// CloseIdleConnections closes the connections that are kept open for the next call.
	CloseIdleConnections()
}

// PromotionOutcome is the outcome of a promotion order.
type PromotionOutcome int

// Outcomes of a promotion order.
const (
	PromotionAccepted PromotionOutcome = iota
	// PromotionRefused means that the server cannot become primary now or that a newer
	// fence has been used.
	PromotionRefused
	// PromotionUnknown means that the order may still be executed.
	PromotionUnknown
	// PromotionNotSent means that the order was not accepted and will not be executed.
	PromotionNotSent
)

// Promoter sends promotion orders to the platform.
type Promoter interface {
	Promote(ctx context.Context, service, upstream string, fence uint64) PromotionOutcome
}

// Config configures a Leader.
type Config struct {
	Upstreams UpstreamClient
	Promoter  Promoter
	// Voters is the target number of voters. There are fewer if too few nodes have a data
	// folder.
	Voters int
	// DrainTime is how long an upstream takes new work after the acknowledgement that it drains.
	DrainTime time.Duration
	// PlaceDrainTime is the time after the acknowledgement of an order to drain a data centre in which work there
	// ends.
	PlaceDrainTime time.Duration
	// Places are the data centres in the settings.
	Places []string
	// WarmupExcess and WarmupSlack bound the requests that an upstream which warms up may receive in any second: the
	// rate that it can take times WarmupExcess, plus WarmupSlack.
	WarmupExcess, WarmupSlack float64
	Log                       *logrus.Entry
}

// Leader coordinates the fleet while its replica is the leader. The goroutine of Run owns its
// state.
type Leader struct {
	config     Config
	log        *logrus.Entry
	store      *Store
	replicator atomic.Pointer[replica.Replicator]
	events     chan event
	// probing holds the intervals at which upstreams are probed.
	probing atomic.Pointer[probeIntervals]

	// The remaining fields belong to the goroutine of Run.

	term         uint64
	leading      bool
	leadingSince time.Duration
	registry     *topology.Registry
	limiter      *throttle.Limiter
	// syncedVersion is the version of the configuration whose teams the limiter has. Nodes may have
	// been sent a newer one, whose store event has not been handled yet.
	syncedVersion uint64
	teams         map[string]bool
	groups        map[string]*group
	streams       map[*nodeStream]bool
	// streamOf holds the stream of each connected node.
	streamOf map[string]*nodeStream
	// lostNodes holds nodes whose stream ended without a last report.
	lostNodes    map[string]time.Duration
	lastStreamID uint64
	// savingTopology is set while the topology is being committed, topologySaveStartedAt is when
	// the last commit was started, and savedRevision is the newest revision known to be
	// committed.
	savingTopology        bool
	topologySaveStartedAt time.Duration
	savedRevision         uint64
	// adoptedRevision is the newest revision of an earlier leader's topology that was adopted;
	// topologyAskedAt is when a node was last asked for one.
	adoptedRevision uint64
	topologyAskedAt time.Duration
	// pushedFall is the revision of the newest sharp limit of a team that all nodes were sent.
	pushedFall    uint64
	fallsPushedAt time.Duration
	// sentTopologies holds the newest topologies that nodes were sent.
	sentTopologies topologyHistory
	publication    publication
	// drains are those of the newest topology that nodes were sent.
	drains      drainList
	placeDrains placeDrains
	warmups     warmups
	membership  membership
	holders     holderState
	// fences is the number of fences used in this term.
	fences uint64
	// catalogHistory holds the configurations that nodes may still have.
	catalogHistory catalogHistory
	pacer          pacer
}

// event is a message to the leader's goroutine.
type event any

type (
	announcementReceived struct {
		announcement *controlpb.UpstreamAnnouncement
		done         chan<- struct{}
	}
	reportReceived struct {
		stream *nodeStream
		report *controlpb.NodeReport
	}
	streamEnded struct{ stream *nodeStream }
)

// NewLeader returns a Leader. The replica passed to SetReplica must apply commands to the
// Leader's Store.
func NewLeader(c Config) *Leader {
	l := &Leader{
		config: c, log: c.Log, store: newStore(), events: make(chan event, eventQueueSize),
		catalogHistory: catalogHistory{log: c.Log},
	}
	l.probing.Store(intervalsFor(0, 0))
	return l
}

// Store returns the store that the replica applies commands to.
func (l *Leader) Store() *Store {
	return l.store
}

// SetReplica sets the replica. It is called again with a new replica after a disk error.
func (l *Leader) SetReplica(r replica.Replicator) {
	l.replicator.Store(&r)
}

// replica returns the current replica. SetReplica must have been called.
func (l *Leader) replica() replica.Replicator {
	return *l.replicator.Load()
}

// holdsLease reports whether this process is the leader and its leader lease is valid, so that no
// other process acts as leader.
func (l *Leader) holdsLease(now time.Duration) bool {
	if l.replicator.Load() == nil {
		return false
	}
	return l.replica().Status().Leading && l.replica().LeaseValid(now)
}

// awaitLease waits until this process holds the leader lease, and returns false if it is not the leader any more or
// the wait takes too long.
//
// Load pattern: a configuration goes to hundreds of nodes and a topology to all voters, and the lease lapses for some
// hundredths of a second. If the streams of all nodes ended then, each would begin again with a first report, and the
// leader would have more to do than before.
func (l *Leader) awaitLease(ctx context.Context) bool {
	if l.holdsLease(clock.Now()) {
		return true
	}
	metricLeaseWaits.Inc()
	ctx, cancel := context.WithTimeout(ctx, maxLeaseLapse)
	defer cancel()
	for l.replicator.Load() != nil && l.replica().Status().Leading {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leaseCheckInterval):
		}
		if l.holdsLease(clock.Now()) {
			return true
		}
	}
	return false
}

// post sends an event to the leader's goroutine. It returns false if ctx ends first.
func (l *Leader) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles events and makes the time-dependent decisions until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stopLeading()
			return
		case <-l.store.changed:
			l.handleStoreEvents()
		case e := <-l.events:
			// A node reports only to a leader, so that its leadership has to be known first.
			l.handleStoreEvents()
			l.handleGuarded(ctx, e)
		case <-ticker.C:
			l.tickGuarded(ctx)
		}
	}
}

// handleGuarded handles an event. A panic ends the stream that the event came from, not the process: the
// node would send the same to the next leader too.
func (l *Leader) handleGuarded(ctx context.Context, e event) {
	handled := false
	defer func() {
		if report, ok := e.(reportReceived); ok && !handled {
			report.stream.cancel()
		}
	}()
	defer guard.Recover(l.log, "event of the leader")
	l.handle(ctx, e)
	handled = true
}

func (l *Leader) tickGuarded(ctx context.Context) {
	defer guard.Recover(l.log, "tick of the leader")
	l.tick(ctx)
}

func (l *Leader) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case announcementReceived:
		l.handleAnnouncement(e)
	case reportReceived:
		l.handleReport(ctx, e)
	case streamEnded:
		l.handleStreamEnded(e.stream)
	case probeCompleted:
		l.handleProbe(e)
	case addressReused:
		l.handleReusedAddress(e)
	case replicaResumed:
		l.handleResumed(e)
	case promotionAnswered:
		l.handlePromotionOutcome(e)
	case placesListed:
		e.list <- l.placeList(clock.Now())
	case placeDrainProposed:
		// Run has handled the store's event before this one.
		e.handled <- l.leading
	case membershipChangeDone:
		l.membership.inProgress = false
		l.continueRepair(ctx, e)
	case topologySaved:
		l.savingTopology = false
	}
}

func (l *Leader) handleStoreEvents() {
	for _, e := range l.store.takeEvents() {
		l.handleStoreEvent(e)
	}
}

func (l *Leader) handleStoreEvent(e storeEvent) {
	if e.leadershipChanged && e.leading {
		l.startLeading(e.term)
		return
	}
	if e.leadershipChanged {
		l.stopLeading()
		return
	}
	// Most commands change the nodes or the topology, not the configuration.
	if !l.leading {
		return
	}
	l.syncPlaceDrains(clock.Now())
	if l.store.current().Catalog.GetVersion() == l.syncedVersion {
		return
	}
	l.syncCatalog(clock.Now())
	l.pushAll()
}

func (l *Leader) startLeading(term uint64) {
	now := clock.Now()
	l.stopLeading()
	l.leading, l.term, l.fences, l.leadingSince = true, term, 0, now
	l.registry = topology.NewRegistry(term * revisionsPerTerm)
	l.registry.SetDrainTime(l.config.DrainTime)
	l.adoptPlaceDrains()
	l.warmups = newWarmups()
	l.holders = holderState{chosen: map[string][]string{}, steppedAt: now}
	l.groups = map[string]*group{}
	l.streams, l.streamOf = map[*nodeStream]bool{}, map[string]*nodeStream{}
	l.teams = map[string]bool{}
	l.lostNodes = map[string]time.Duration{}
	l.membership = l.newMembership()
	l.sentTopologies = topologyHistory{log: l.log}
	l.savingTopology, l.savedRevision = false, 0
	l.adoptedRevision, l.topologyAskedAt = 0, now-topologyAnswerTime
	l.pushedFall, l.fallsPushedAt = 0, now-fallPushInterval
	l.limiter, l.syncedVersion = throttle.NewLimiter(now), 0
	l.syncCatalog(now)
	if saved := l.store.current().Topology; saved != nil {
		l.adoptTopology(now, saved)
		l.sentTopologies.add(earlierTopology(saved))
	}
	l.publishTopology(now)
	l.log.WithFields(logrus.Fields{
		"event": "leadership_gained", "term": term, "nodes": len(l.store.current().Nodes), "catalog": l.store.current().Catalog.GetVersion(),
	}).Info("became leader of the fleet")
}

func (l *Leader) stopLeading() {
	if !l.leading {
		return
	}
	l.leading = false
	for _, g := range l.groups {
		g.stopProbers()
	}
	for s := range l.streams {
		s.cancel()
	}
	l.streams, l.streamOf = nil, nil
	metricConnectedNodes.Set(0)
	metricLongestPromotionWait.Set(0)
	l.removePlaceMetrics()
	// The next leader needs the connections that are reserved for the leader.
	l.config.Upstreams.CloseIdleConnections()
	l.log.WithFields(logrus.Fields{"event": "leadership_lost", "term": l.term}).Warn("no longer leader of the fleet")
}

// syncCatalog passes the teams and services of the current configuration to the limiter and the
// groups.
func (l *Leader) syncCatalog(now time.Duration) {
	c := l.store.current().Catalog
	if c == nil {
		return
	}
	teams := map[string]bool{}
	for _, t := range c.Teams {
		teams[t.Name] = true
		l.limiter.SetTeam(now, t.Name, t.Rate, t.Burst)
	}
	for name := range l.teams {
		if !teams[name] {
			l.limiter.RemoveTeam(name)
		}
	}
	l.teams, l.syncedVersion = teams, c.Version
	for _, s := range c.Services {
		l.groupOf(now, s.Name).syncReplicas = int(s.SyncReplicas)
		l.setWarmupLimit(l.groupOf(now, s.Name), s)
	}
}

func (l *Leader) tick(ctx context.Context) {
	if !l.leading {
		return
	}
	now := clock.Now()
	metricConnectedNodes.Set(float64(len(l.streams)))
	l.limiter.Step(now)
	l.pushDelayed()
	l.pushFalls(now)
	l.logEndedPlaceDrains(now)
	l.stepWarmups(now)
	l.registry.Expire(now)
	l.stepGroups(ctx, now)
	l.stepHolders(now)
	if l.publishChanges(now) {
		l.pushAll()
	}
	l.stepMembership(ctx, now)
	l.saveTopology(ctx, now)
}

func (l *Leader) handleAnnouncement(e announcementReceived) {
	defer close(e.done)
	if !l.leading {
		return
	}
	now, revision := clock.Now(), l.registry.Revision()
	before := l.registry.Get(e.announcement.Id)
	changed := l.registry.ApplyAnnouncement(now, e.announcement)
	l.recordWarmup(now, e.announcement)
	if !changed {
		return
	}
	after := l.registry.Get(e.announcement.Id)
	g := l.groupOf(now, after.Service)
	if l.registry.Revision() == revision && l.confirmsEarlier(g, before, e.announcement) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "upstream_changed", "upstream": e.announcement.Id, "service": after.Service,
		"phase": e.announcement.Phase.String(), "primary": e.announcement.Primary,
		"started_ms": e.announcement.StartedUnixMs, "sequence": e.announcement.Sequence, "leave_doubted": after.LeaveDoubted,
	}).Info("upstream announced a change")
	if after.LeaveDoubted {
		metricDoubtedLeaves.Inc()
	}
	if before != nil && before.AnnouncedAt() != 0 && after.StartedUnixMs() != before.StartedUnixMs() {
		// The samples are of an earlier process.
		delete(g.samples, e.announcement.Id)
	}
	g.probeNow()
}

// confirmsEarlier reports whether the first announcement of an upstream to this leader says what the earlier leader
// knew. It needs no probe: after a change of leader, thousands of upstreams announce themselves within a second.
func (l *Leader) confirmsEarlier(g *group, before *topology.Upstream, a *controlpb.UpstreamAnnouncement) bool {
	primary, _, _ := g.machine.Primary()
	return before != nil && before.AnnouncedAt() == 0 && a.Primary == (primary == a.Id)
}

// putCatalog commits a configuration and returns the version in force. A configuration whose
// version is not higher than that changes nothing and is confirmed.
func (l *Leader) putCatalog(ctx context.Context, in *controlpb.Catalog) (uint64, error) {
	if _, err := catalog.New(in); err != nil {
		return 0, toStatus(err)
	}
	if held := l.store.current().Catalog.GetVersion(); in.Version <= held && l.holdsLease(clock.Now()) {
		return held, nil
	}
	result, err := l.replica().Propose(ctx, &controlpb.Command{
		Change: &controlpb.Command_PutCatalog{PutCatalog: in},
	})
	if err != nil {
		return 0, toStatus(err)
	}
	if result.Code != uint32(rescode.OK) {
		return 0, toStatus(rescode.New(rescode.Code(result.Code), "%s", result.Message))
	}
	return result.Revision, nil
}
