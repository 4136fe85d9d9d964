package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// observeInterval is the age of the newest observation at which a group in use asks
	// for itself. The leader spreads one each 500 ms at the latest.
	observeInterval = 750 * time.Millisecond
	// observeWhileUsed is how long after the last read a group is observed.
	observeWhileUsed = 3 * time.Second
	// observeTimeout bounds a question to the primary.
	observeTimeout = 500 * time.Millisecond
	// answerReported is the age up to which the leader is told of an answer.
	answerReported = time.Second
	// reviveInterval is the time between attempts to reach an upstream that failed.
	reviveInterval = 250 * time.Millisecond
)

// group is a node's view of the upstreams of one service.
type group struct {
	service string
	dialer  Dialer
	log     *logrus.Entry

	mu      sync.Mutex
	pools   map[string]*pool
	ordered []*pool
	primary string
	term    uint64
	// lost is set when the primary was found not to lead, until another is known.
	lost     bool
	changing bool
	seen     observations
	usedAt   time.Duration
	asking   bool
	// changedPrimary is closed and replaced when the primary changes.
	changedPrimary chan struct{}
}

func newGroup(service string, dialer Dialer, log *logrus.Entry) *group {
	return &group{
		service: service, dialer: dialer, log: log, pools: map[string]*pool{}, changedPrimary: make(chan struct{}),
	}
}

// update takes over the leader's view.
func (g *group) update(upstreams []*controlpb.TopologyUpstream, primary *controlpb.TopologyPrimary, maxConnections, nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{}
	g.ordered = g.ordered[:0]
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
		p.draining = u.Draining
		p.mu.Unlock()
		p.setShare(maxConnections, nodes)
		g.ordered = append(g.ordered, p)
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
	if primary.Upstream != g.primary || primary.Changing != g.changing || primary.Term != g.term {
		g.lost = false
		g.wake()
	}
	g.primary, g.term, g.changing = primary.Upstream, primary.Term, primary.Changing
}

// wake ends the waits for another primary. The caller holds mu.
func (g *group) wake() {
	close(g.changedPrimary)
	g.changedPrimary = make(chan struct{})
}

// primaryPool returns the primary's pool, or nil, and a channel that is closed when
// there may be another one.
func (g *group) primaryPool() (*pool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[g.primary], g.changedPrimary
}

// lostLead notes that the upstream which was taken for the primary does not lead.
func (g *group) lostLead(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary == id {
		g.lost = true
	}
}

// isLost reports whether the primary was found not to lead.
func (g *group) isLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lost
}

// observed notes a position of an upstream that led when it was asked at the time at.
func (g *group) observed(at time.Duration, id string, p position.Position) {
	if p.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen.add(at, p)
	if p.Term > g.term {
		// The node saw the new primary before the leader told of it.
		g.primary, g.term, g.changing, g.lost = id, p.Term, false, false
		g.wake()
	}
}

// planRead chooses an upstream for a read that may miss commits older than maxStaleness.
// ok is false when only the primary can serve it.
func (g *group) planRead(
	now, maxStaleness time.Duration, place, team string, own position.Position, skip map[string]bool,
) (p *pool, ok bool) {
	g.mu.Lock()
	g.usedAt = now
	floor, ok := readFloor(now, maxStaleness, &g.seen, own)
	primary := g.primary
	pools := g.ordered
	candidates := make([]Candidate, 0, len(pools))
	for _, candidate := range pools {
		candidates = append(candidates, candidate.status(now, team))
	}
	g.mu.Unlock()
	if !ok {
		return nil, false
	}
	i := choose(candidates, place, primary, floor, skip)
	if i < 0 {
		return nil, false
	}
	return pools[i], true
}

// floor returns the position that a read sent now needs.
func (g *group) floor(now, maxStaleness time.Duration, own position.Position) (position.Position, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return readFloor(now, maxStaleness, &g.seen, own)
}

// view tells how the node sees the primary, if it uses the group.
func (g *group) view(now time.Duration) *controlpb.PrimaryView {
	g.mu.Lock()
	primary := g.pools[g.primary]
	g.mu.Unlock()
	if primary == nil {
		return nil
	}
	v := &controlpb.PrimaryView{
		Service: g.service, Upstream: primary.target.ID,
		FailingMs: uint32(primary.failingFor(now).Milliseconds()),
	}
	if age, ok := primary.answerAge(now); ok && age < answerReported {
		v.AnsweredMs = uint32(age.Milliseconds()) + 1
	}
	return v
}

// maintain starts what is due: questions to the primary, and attempts to reach
// upstreams that failed.
func (g *group) maintain(ctx context.Context, now time.Duration) {
	g.mu.Lock()
	primary := g.pools[g.primary]
	newest, ok := g.seen.newest()
	due := primary != nil && !g.asking && g.usedAt != 0 && now-g.usedAt < observeWhileUsed &&
		(!ok || now-newest.at >= observeInterval)
	if due {
		g.asking = true
	}
	pools := append([]*pool(nil), g.ordered...)
	g.mu.Unlock()
	if due {
		go g.observe(ctx, primary)
	}
	for _, p := range pools {
		p.trim(now)
		p.revive(ctx, now)
	}
}

// observe asks the primary for its position: a transaction can begin only at a server
// that leads, and takes none of its slots.
func (g *group) observe(ctx context.Context, p *pool) {
	defer func() {
		g.mu.Lock()
		g.asking = false
		g.mu.Unlock()
	}()
	p.mu.Lock()
	team, failing := p.lastTeam, p.failing
	p.mu.Unlock()
	if team == "" || failing {
		return
	}
	deadline := time.Now().Add(observeTimeout)
	l, refusal := p.acquire(ctx, team, deadline, observeTimeout)
	if refusal != nil {
		return
	}
	defer p.release(l)
	metricObserved.Inc()
	at := clock.Now()
	replies, err := l.ask(deadline, Statement{Kind: Begin}, Statement{Kind: Rollback})
	switch {
	case err != nil:
		p.failed()
	case replies[0].Outcome == Done:
		p.succeeded()
		g.observed(at, p.target.ID, replies[0].Position)
	case replies[0].Outcome == ReadOnly:
		g.lostLead(p.target.ID)
	}
}

// revive tries to reach an upstream that failed, so that no caller has to.
func (p *pool) revive(ctx context.Context, now time.Duration) {
	p.mu.Lock()
	due := p.failing && !p.reviving && !p.closed && now-p.failingAt >= reviveInterval/2 && p.open < p.share.limitNow(now)
	if due {
		p.reviving = true
		p.open++
		p.lent++
	}
	team := p.lastTeam
	p.mu.Unlock()
	if !due {
		return
	}
	go func() {
		l, refusal := p.dial(ctx, team, time.Now().Add(dialTimeout))
		if refusal == nil {
			p.release(l)
		}
		time.Sleep(reviveInterval)
		p.mu.Lock()
		p.reviving = false
		p.mu.Unlock()
	}()
}
