package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
	"github.com/jayloom/jayloom/policy/rate"
)

const (
	// tickInterval is how often decisions that depend on time are looked at.
	tickInterval = 100 * time.Millisecond
	// eventQueue bounds the events that wait for the leader's goroutine.
	eventQueue = 1024
	// proposalTimeout bounds a command of the leader's own.
	proposalTimeout = 2 * time.Second
	// revisionsPerTerm is the room for topology revisions of one leader.
	revisionsPerTerm = 1 << 32
)

// UpstreamClient asks and orders database servers.
type UpstreamClient interface {
	Probe(ctx context.Context, u topology.Upstream) (failover.Sample, error)
	// QueryPosition asks a server whether it leads, and for its position if it does. It takes
	// none of the server's slots, so it is answered under overload too.
	QueryPosition(ctx context.Context, u topology.Upstream) (p position.Position, leads bool, err error)
	// Pause stops a replica from receiving until it is promoted or told to resume.
	Pause(ctx context.Context, u topology.Upstream, term uint64) error
	// CloseIdleConnections closes the connections that are kept for the next call.
	CloseIdleConnections()
}

// PromotionOutcome is the outcome of an order to promote.
type PromotionOutcome int

// Outcomes of an order to promote.
const (
	PromotionAccepted PromotionOutcome = iota
	// PromotionRefused means that the server cannot lead now or that a newer fence
	// was seen.
	PromotionRefused
	// PromotionUnknown means that the order may still be carried out.
	PromotionUnknown
	// PromotionNotSent means that the order was not accepted and will not be carried out.
	PromotionNotSent
)

// Promoter orders promotions.
type Promoter interface {
	Promote(ctx context.Context, service, upstream string, fence uint64) PromotionOutcome
}

// Config is what a Leader needs to know.
type Config struct {
	Upstreams UpstreamClient
	Promoter  Promoter
	// Voters is the number of voters to keep, as far as there are nodes with disks.
	Voters int
	Log    *logrus.Entry
}

// Leader decides for the fleet while its replica leads. One goroutine owns its state.
type Leader struct {
	config     Config
	log        *logrus.Entry
	store      *Store
	replicator atomic.Pointer[replica.Replicator]
	events     chan event

	// The rest belongs to the goroutine of Run.
	term     uint64
	leading  bool
	leadAt   time.Duration
	registry *topology.Registry
	owner    *rate.Allocator
	teams    map[string]bool
	groups   map[string]*group
	attended map[*attendance]bool
	// lost holds nodes whose stream ended without a last report.
	lost    map[string]time.Duration
	streams uint64
	// topologyChanged is set by announcements since the last tick. At a start all servers
	// announce themselves at once, and each node is told once.
	topologyChanged bool
	// remembering is set while the topology is being committed, rememberedAt is when that was
	// last begun, and remembered the newest revision that is known to be committed.
	remembering  bool
	rememberedAt time.Duration
	remembered   uint64
	members      membership
	fences       uint64
	// catalogs holds the configurations that nodes may have.
	catalogs catalogs
}

// event is handled by the leader's goroutine.
type event any

type (
	announced struct {
		announcement *controlpb.UpstreamAnnouncement
		done         chan<- struct{}
	}
	reportReceived struct {
		from   *attendance
		report *controlpb.NodeReport
	}
	attendanceEnded struct{ of *attendance }
)

// NewLeader returns a Leader. The replica is opened with its Store.
func NewLeader(c Config) *Leader {
	l := &Leader{config: c, log: c.Log, events: make(chan event, eventQueue)}
	l.store = newStore(func(e storeEvent) { l.events <- e })
	return l
}

// Store returns the state that the replica applies commands to.
func (l *Leader) Store() *Store {
	return l.store
}

// SetReplica sets the replica, which may be another one after an error of the disk.
func (l *Leader) SetReplica(r replica.Replicator) {
	l.replicator.Store(&r)
}

// replica returns the replica in use. One must have been set.
func (l *Leader) replica() replica.Replicator {
	return *l.replicator.Load()
}

// mayAct reports whether this process may act alone as leader.
func (l *Leader) mayAct(now time.Duration) bool {
	if l.replicator.Load() == nil {
		return false
	}
	return l.replica().Status().Leading && l.replica().LeaseValid(now)
}

// post hands an event to the leader's goroutine. It returns false when ctx ends first.
func (l *Leader) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run decides until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.follow()
			return
		case e := <-l.events:
			l.handle(ctx, e)
		case <-ticker.C:
			l.tick(ctx)
		}
	}
}

func (l *Leader) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case storeEvent:
		l.handleStore(e)
	case announced:
		l.handleAnnounced(e)
	case reportReceived:
		l.handleReport(ctx, e)
	case attendanceEnded:
		l.handleEnded(e.of)
	case probed:
		l.handleProbed(e)
	case promoted:
		l.handlePromoted(e)
	case membershipChanged:
		l.members.changing = false
	case topologyRemembered:
		l.remembering = false
	}
}

func (l *Leader) handleStore(e storeEvent) {
	if e.leadershipChanged && e.leading {
		l.lead(e.term)
		return
	}
	if e.leadershipChanged {
		l.follow()
		return
	}
	// Most changes are of nodes or of the topology.
	if !l.leading || l.store.current().Catalog.GetVersion() == l.catalogs.current.GetVersion() {
		return
	}
	l.syncCatalog(clock.Now())
	l.pushAll()
}

func (l *Leader) lead(term uint64) {
	now := clock.Now()
	l.follow()
	l.leading, l.term, l.fences, l.leadAt = true, term, 0, now
	l.registry = topology.NewRegistry(term * revisionsPerTerm)
	l.groups = map[string]*group{}
	l.attended = map[*attendance]bool{}
	l.teams = map[string]bool{}
	l.lost = map[string]time.Duration{}
	l.members = membership{}
	l.remembering, l.remembered = false, 0
	l.owner = rate.NewAllocator(rate.GatewayConfig())
	names := []string{}
	for _, node := range l.store.current().Nodes {
		names = append(names, node.Name)
	}
	l.owner.StartLeading(now, names)
	l.syncCatalog(now)
	l.adopt(now, l.store.current().Topology)
	l.log.WithFields(logrus.Fields{
		"event": "leadership_gained", "term": term, "nodes": len(names), "catalog": l.store.current().Catalog.GetVersion(),
	}).Info("leads the fleet")
}

func (l *Leader) follow() {
	if !l.leading {
		return
	}
	l.leading = false
	for _, g := range l.groups {
		g.stop()
	}
	for a := range l.attended {
		a.end()
	}
	l.attended = nil
	// The next leader needs the connections that are kept free for one.
	l.config.Upstreams.CloseIdleConnections()
	l.log.WithFields(logrus.Fields{"event": "leadership_lost", "term": l.term}).Warn("no longer leads the fleet")
}

// syncCatalog tells the owner of request tokens and the groups of the configuration.
func (l *Leader) syncCatalog(now time.Duration) {
	c := l.store.current().Catalog
	if c == nil {
		return
	}
	teams := map[string]bool{}
	for _, t := range c.Teams {
		teams[t.Name] = true
		l.owner.SetTeam(now, t.Name, t.Rate, t.Burst)
	}
	for name := range l.teams {
		if !teams[name] {
			l.owner.RemoveTeam(now, name)
		}
	}
	l.teams = teams
	for _, s := range c.Services {
		l.groupOf(now, s.Name).syncReplicas = int(s.SyncReplicas)
	}
}

func (l *Leader) tick(ctx context.Context) {
	if !l.leading {
		return
	}
	now := clock.Now()
	l.owner.Expire(now)
	changed := l.registry.Expire(now)
	changed = l.stepGroups(ctx, now) || changed || l.topologyChanged
	l.topologyChanged = false
	if changed {
		l.pushAll()
	}
	l.stepMembership(ctx, now)
	l.rememberTopology(ctx, now)
}

func (l *Leader) handleAnnounced(e announced) {
	defer close(e.done)
	if !l.leading {
		return
	}
	now := clock.Now()
	if !l.registry.ApplyAnnouncement(now, e.announcement) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"event": "upstream_changed", "upstream": e.announcement.Id, "service": e.announcement.Service,
		"phase": e.announcement.Phase.String(), "primary": e.announcement.Primary,
		"started_ms": e.announcement.StartedUnixMs, "sequence": e.announcement.Sequence,
	}).Info("upstream announced a change")
	l.groupOf(now, e.announcement.Service).probeNow()
	l.topologyChanged = true
}

// putCatalog commits a configuration. One whose version is not above the one in force
// changes nothing and is confirmed.
func (l *Leader) putCatalog(ctx context.Context, in *controlpb.Catalog) (uint64, error) {
	if _, err := catalog.New(in); err != nil {
		return 0, toStatus(err)
	}
	if held := l.store.current().Catalog.GetVersion(); in.Version <= held && l.mayAct(clock.Now()) {
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
