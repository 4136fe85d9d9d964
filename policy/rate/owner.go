package rate

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Allocator divides the tokens of all teams. It is owned by one goroutine.
type Allocator struct {
	cfg Config
	// now is the newest time seen; times that arrive out of order count as this.
	now    time.Duration
	leadAt time.Duration
	// unreported holds the registered proxies that have not reported to this leader.
	// Until it is empty, or LapseAfter has passed, a whole burst of each team may be
	// in their hands, and nothing is granted.
	unreported map[string]bool
	settled    bool
	settledAt  time.Duration
	evidence   evidence
	teams      map[string]*team
	streams    map[string]stream
	// heardAt is when each proxy last reported, whatever the report said.
	heardAt map[string]time.Duration
	recalls map[string][]*controlpb.TokenGrant
}

// stream identifies the newest stream of a proxy.
type stream struct {
	incarnation string
	number      uint64
}

// Revocation is an update to push to a proxy that holds tokens which others need.
type Revocation struct {
	Proxy  string
	Grants []*controlpb.TokenGrant
}

// NewAllocator returns an Owner that grants nothing before Lead.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{
		cfg:     cfg,
		teams:   map[string]*team{},
		streams: map[string]stream{},
		heardAt: map[string]time.Duration{},
		recalls: map[string][]*controlpb.TokenGrant{},
	}
}

// StartLeading starts the worst case of a new leader. registeredProxies must hold every
// proxy that an earlier leader could have granted to within LapseAfter, and one
// name must stand for one living process.
func (o *Allocator) StartLeading(now time.Duration, registeredProxies []string) {
	*o = *NewAllocator(o.cfg)
	o.now, o.leadAt = now, now
	o.unreported = make(map[string]bool, len(registeredProxies))
	for _, name := range registeredProxies {
		o.unreported[name] = true
	}
	o.settle()
}

// tick takes over a time and the end of the worst case, if that is reached.
func (o *Allocator) tick(now time.Duration) {
	o.now = max(o.now, now)
	o.settle()
}

func (o *Allocator) settle() {
	if o.settled {
		return
	}
	if len(o.unreported) > 0 && o.now-o.leadAt < o.cfg.ExpireAfter {
		return
	}
	o.settled = true
	o.settledAt = o.now
	quiet := o.quietTime()
	for _, t := range o.teams {
		if o.cfg.InitialRateFraction == 0 {
			t.bucket = t.refilledWithoutOwner(quiet)
			t.refilledAt = o.now
		}
		t.recovering = true
		// The requests that wait on all proxies have equal claims to it.
		t.fair.refilled(t.bucket, t.unmet)
	}
}

// SetTeam sets a team's rate and burst. A team that this leader has not known is
// either new, or known to an earlier leader only; its bucket holds what has been
// refilled since no grant of an earlier leader can be left.
func (o *Allocator) SetTeam(now time.Duration, name string, rate, burst float64) {
	o.tick(now)
	t, ok := o.teams[name]
	if !ok {
		t = newTeam(name, o.now)
		t.rate, t.burst = rate, burst
		t.bucket = min(burst, rate*max(0, (o.now-o.leadAt-o.cfg.ExpireAfter).Seconds()))
		o.teams[name] = t
	}
	o.refill(t)
	t.rate, t.burst, t.removed = rate, burst, false
	t.clamp()
}

// RemoveTeam ends grants to a team. Its account is kept until it cannot matter any
// more, so that a team that is created again does not get a second burst.
func (o *Allocator) RemoveTeam(now time.Duration, name string) {
	o.tick(now)
	if t, ok := o.teams[name]; ok {
		t.removed = true
	}
}

// RemoveProxy ends the stream of a proxy. What it held stays outstanding until it has
// lapsed; a proxy that has not reported to this leader may hold anything until then.
func (o *Allocator) RemoveProxy(now time.Duration, name string) {
	o.tick(now)
	// Later reports of the stream are ignored.
	o.streams[name] = stream{number: o.streams[name].number + 1}
	delete(o.heardAt, name)
	o.evidence.incomplete = true
	for _, t := range o.teams {
		o.refill(t)
		t.abandon(name, o.now, o.cfg.ExpireAfter, o.cfg.FallbackPeriod)
	}
}

// HandleReport takes a proxy's report and returns its grants. stream grows with each
// stream that the leader accepts; reports of a stream arrive in order, and its
// first report names every team of which the proxy holds tokens.
func (o *Allocator) HandleReport(
	now time.Duration, proxy, incarnation string, streamNumber uint64, demands []*controlpb.TokenDemand,
) []*controlpb.TokenGrant {
	o.tick(now)
	if !o.enterStream(proxy, stream{incarnation: incarnation, number: streamNumber}, demands) {
		return nil
	}
	o.heardAt[proxy] = o.now
	delete(o.unreported, proxy)
	known := demands[:0:0]
	for _, d := range demands {
		if t, ok := o.teams[d.Team]; ok {
			o.refill(t)
			t.report(proxy, o.now, d)
			known = append(known, d)
		} else if d.Team != "" {
			// Its use would be missing if the team is set again before the owner settles.
			o.evidence.incomplete = true
		}
	}
	o.settle()
	grants := make([]*controlpb.TokenGrant, 0, len(known)+1)
	if len(demands) > 0 && demands[0].Team == "" {
		grants = append(grants, &controlpb.TokenGrant{})
	}
	for _, d := range known {
		grants = append(grants, o.grant(o.teams[d.Team], proxy))
	}
	return grants
}

// enterStream makes s the proxy's stream. It returns false for an earlier one.
func (o *Allocator) enterStream(proxy string, s stream, demands []*controlpb.TokenDemand) bool {
	current, ok := o.streams[proxy]
	if ok && s.number < current.number {
		return false
	}
	if ok && s == current {
		return true
	}
	o.streams[proxy] = s
	o.evidence.add(o.now, demands, ok && s.incarnation != current.incarnation)
	for _, t := range o.teams {
		o.refill(t)
		if ok && s.incarnation == current.incarnation {
			// The process reports what it still holds, and takes no grant of its
			// earlier stream any more.
			t.drop(proxy)
		} else {
			t.abandon(proxy, o.now, o.cfg.ExpireAfter, o.cfg.FallbackPeriod)
		}
	}
	return true
}

// TakeRevocations returns, once, which proxies should be told to return unused tokens.
func (o *Allocator) TakeRevocations(now time.Duration) []Revocation {
	o.tick(now)
	recalls := make([]Revocation, 0, len(o.recalls))
	for _, proxy := range slices.Sorted(maps.Keys(o.recalls)) {
		recalls = append(recalls, Revocation{Proxy: proxy, Grants: o.recalls[proxy]})
	}
	clear(o.recalls)
	return recalls
}

// Expire ends what has lapsed. It is due every 100 ms or so.
func (o *Allocator) Expire(now time.Duration) {
	o.tick(now)
	for name, t := range o.teams {
		o.refill(t)
		t.lapse(o.now, o.cfg.ExpireAfter, o.heardAt)
		if o.cfg.FallbackPeriod > 0 {
			t.withhold(o.now, o.cfg.FallbackPeriod, o.heardAt)
		}
		if t.removed && t.outstanding() == 0 && t.bucket >= t.burst {
			delete(o.teams, name)
		}
	}
}
