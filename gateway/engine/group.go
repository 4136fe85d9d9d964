package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
)

const (
	// maxObservationAge is the age of the newest observation at which a group in use queries
	// the primary itself. The control leader distributes an observation about every 500 ms,
	// which may be 300 ms old.
	maxObservationAge = 950 * time.Millisecond
	// positionQueryPeriod is how long after the last planned read a group keeps querying the
	// position of its primary.
	positionQueryPeriod = 3 * time.Second
	// positionInterest is how long after the last planned read the leader keeps telling the node
	// the group's positions.
	positionInterest = 10 * time.Second
	// positionQueryTimeout bounds one position query.
	positionQueryTimeout = 500 * time.Millisecond
	// maxReportedAnswerAge is the age up to which the last answer of a primary is reported to
	// the control leader.
	maxReportedAnswerAge = time.Second
	// reconnectInterval is the pause after an attempt to connect to a failing upstream.
	reconnectInterval = 250 * time.Millisecond
)

// group holds the upstreams of one service, as this node sees them.
type group struct {
	service string
	dialer  Dialer
	permits Permits
	log     *logrus.Entry
	// forwarder may be nil. address is that of this node.
	forwarder Forwarder
	address   string

	mu    sync.Mutex
	pools map[string]*pool
	// poolList holds the pools in the order of the topology. It is replaced, never modified, because
	// it is read without mu.
	poolList []*pool
	// drainEnds holds when the drains of upstreams end, by ID, as far as that is known.
	drainEnds map[string]time.Duration
	// placeDrains holds the drains of data centres, by place.
	placeDrains map[string]topology.PlaceDrain
	primary     string
	term        uint64
	// primaryLost is set when the primary refused to act as one, until another primary is
	// known.
	primaryLost      bool
	primaryChanging  bool
	observations     observations
	lastReadAt       time.Duration
	queryingPosition bool
	// primaryChanged is closed and replaced when the primary changes.
	primaryChanged chan struct{}
}

func newGroup(service string, dialer Dialer, permits Permits, log *logrus.Entry) *group {
	return &group{
		service: service, dialer: dialer, permits: permits, log: log, pools: map[string]*pool{}, primaryChanged: make(chan struct{}),
	}
}

// update applies the upstreams and the primary of a new topology.
func (g *group) update(
	upstreams []*controlpb.TopologyUpstream, primary *controlpb.TopologyPrimary, service *catalog.Service, nodes int,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{}
	g.poolList = make([]*pool, 0, len(upstreams))
	for _, u := range upstreams {
		present[u.Id] = true
		p := g.pools[u.Id]
		if p != nil && p.target.Address != u.Address {
			p.close()
			p = nil
		}
		if p == nil {
			p = newPool(Target{ID: u.Id, Service: g.service, Address: u.Address}, u.Place, g.dialer, g.log)
			g.pools[u.Id] = p
		}
		p.mu.Lock()
		p.draining, p.drainEndsAt = u.Draining, g.drainEnds[u.Id]
		wasDrained := p.placeDrained
		p.setPlace(u.Place, g.placeDrains)
		p.updateWarmup(clock.Now(), u.Warming, service.WarmupRate > 0, wasDrained)
		p.mu.Unlock()
		p.setHolders(g.forwarder, g.address, u.Holders, int(u.Slots))
		p.setShare(service.MaxConnections, nodes)
		g.poolList = append(g.poolList, p)
	}
	for id, p := range g.pools {
		if !present[id] {
			p.close()
			delete(g.pools, id)
		}
	}
	if primary == nil || primary.Term < g.term {
		return
	}
	if primary.Upstream != g.primary || primary.Changing != g.primaryChanging || primary.Term != g.term {
		g.primaryLost = false
		g.notifyPrimaryChange()
	}
	g.primary, g.term, g.primaryChanging = primary.Upstream, primary.Term, primary.Changing
}

// setDrains sets when the drains of upstreams end and which data centres are drained, for the topology that is passed
// to update next.
func (g *group) setDrains(ends map[string]time.Duration, places map[string]topology.PlaceDrain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drainEnds, g.placeDrains = ends, places
}

// notifyPrimaryChange wakes those that wait for a new primary. The caller holds mu.
func (g *group) notifyPrimaryChange() {
	close(g.primaryChanged)
	g.primaryChanged = make(chan struct{})
}

// primaryPool returns the pool of the primary, or nil, and a channel that is closed when the
// primary changes.
func (g *group) primaryPool() (*pool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[g.primary], g.primaryChanged
}

// currentPools returns the pools of all upstreams.
func (g *group) currentPools() []*pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poolList
}

// markPrimaryLost records that the upstream refused to act as the primary.
func (g *group) markPrimaryLost(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == id {
		g.primaryLost = true
	}
}

// isPrimaryLost reports whether the known primary refused to act as one.
func (g *group) isPrimaryLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLost
}

// recordPosition records a position that an upstream had reached, as the primary, when it was
// queried at the time at.
func (g *group) recordPosition(at time.Duration, id string, p position.Position) {
	if p.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observations.add(at, p)
	if p.Term > g.term {
		// The new primary was observed before the control leader announced it.
		g.primary, g.term, g.primaryChanging, g.primaryLost = id, p.Term, false, false
		g.notifyPrimaryChange()
	}
}

// planRead chooses an upstream for a read that may miss commits no older than maxStaleness.
// ok is false when only the primary can serve it.
func (g *group) planRead(
	now time.Duration, op *operation, place string, own position.Position, tried triedUpstreams,
) (p *pool, ok bool) {
	g.mu.Lock()
	g.lastReadAt = now
	minPosition, ok := minReadPosition(now, op.route.MaxStaleness, &g.observations, own)
	primary := g.primary
	pools := g.poolList
	candidates := make([]Candidate, 0, len(pools))
	for _, u := range pools {
		c := u.candidate(now, op.team, op.route.Priority)
		if c.NeedsPermit && !c.Draining && !c.Failing && !tried.has(c.ID) {
			c.NoPermit = g.lacksPermit(now, c.ID)
		}
		candidates = append(candidates, c)
	}
	g.mu.Unlock()
	if !ok {
		return nil, false
	}
	i := chooseCandidate(candidates, place, primary, minPosition, tried)
	if i < 0 {
		return nil, false
	}
	return pools[i], true
}

// minReadPosition returns the minimum position for a read that is sent now.
func (g *group) minReadPosition(now, maxStaleness time.Duration, own position.Position) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return minReadPosition(now, maxStaleness, &g.observations, own)
}

// primaryView returns how this node sees the primary, or nil if no primary is known.
func (g *group) primaryView(now time.Duration) *controlpb.PrimaryView {
	g.mu.Lock()
	primary, lastReadAt := g.pools[g.primary], g.lastReadAt
	g.mu.Unlock()
	if primary == nil {
		return nil
	}
	v := &controlpb.PrimaryView{
		Service: g.service, Upstream: primary.target.ID,
		FailingMs: uint32(primary.failingFor(now).Milliseconds()),
	}
	if age, ok := primary.answerAge(now); ok && age < maxReportedAnswerAge {
		v.AnsweredMs = uint32(age.Milliseconds()) + 1
	}
	if age := now - lastReadAt; lastReadAt != 0 && age < positionInterest {
		v.ReadMs = uint32(age.Milliseconds()) + 1
	}
	return v
}

// maintain closes idle connections, and starts position queries and attempts to reconnect
// that are due.
func (g *group) maintain(ctx context.Context, now time.Duration) {
	g.mu.Lock()
	primary := g.pools[g.primary]
	newest, ok := g.observations.newest()
	due := primary != nil && !g.queryingPosition && g.lastReadAt != 0 && now-g.lastReadAt < positionQueryPeriod &&
		(!ok || now-newest.at >= maxObservationAge)
	if due {
		g.queryingPosition = true
	}
	pools := g.poolList
	g.mu.Unlock()
	if due {
		go g.queryPosition(ctx, primary)
	}
	for _, p := range pools {
		p.closeExpiredIdle(now)
		p.reconnect(ctx, now)
	}
}

// queryPosition asks the primary for its position by beginning a transaction. Only a primary
// can begin one, and an empty transaction occupies none of its slots.
func (g *group) queryPosition(ctx context.Context, p *pool) {
	defer func() {
		g.mu.Lock()
		g.queryingPosition = false
		g.mu.Unlock()
	}()
	p.mu.Lock()
	team, failing := p.lastTeam, p.failing
	p.mu.Unlock()
	if team == "" || failing || p.isPlaceDrained(clock.Now()) {
		return
	}
	deadline := time.Now().Add(positionQueryTimeout)
	c := p.openForwarded(ctx, ForwardedUnit{Team: team, ObjectiveLeft: positionQueryTimeout, StatementTimeout: positionQueryTimeout})
	if c == nil {
		var refusal *Refusal
		c, refusal = p.acquire(ctx, connRequest{team: team, objectiveEnd: clock.Now() + positionQueryTimeout, deadline: deadline})
		if refusal != nil {
			return
		}
	}
	defer p.release(c)
	if p.isPlaceDrained(clock.Now()) {
		// The wait for the connection was too long.
		c.broken = true
		return
	}
	metricPositionQueries.Inc()
	at := clock.Now()
	replies, err := c.roundTrip(deadline, Statement{Kind: Begin}, Statement{Kind: Rollback})
	switch {
	case err != nil && concernsOtherNode(err):
	case err != nil:
		p.recordFailure()
	case replies[0].Outcome == Done:
		p.recordSuccess()
		g.recordPosition(at, p.target.ID, replies[0].Position)
	case replies[0].Outcome == ReadOnly:
		g.markPrimaryLost(p.target.ID)
	}
}

// reconnect tries to connect to a failing upstream in the background, so that no caller has
// to.
func (p *pool) reconnect(ctx context.Context, now time.Duration) {
	p.mu.Lock()
	due := p.failing && !p.reconnecting && !p.closed && !drainIsOver(now, p.placeDrained, p.placeDrainEndsAt) && now-p.failingAt >= reconnectInterval/2 && p.open < p.share.currentMaxOpen(now)
	if due {
		p.reconnecting = true
		p.open++
		p.use(p.lastTeam)
	}
	team := p.lastTeam
	p.mu.Unlock()
	if !due {
		return
	}
	go func() {
		c, refusal := p.dial(ctx, team, 0, time.Now().Add(dialTimeout))
		if refusal == nil {
			p.release(c)
		}
		time.Sleep(reconnectInterval)
		p.mu.Lock()
		p.reconnecting = false
		p.mu.Unlock()
	}()
}
