package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Allocator lends the connections of all upstreams. It is owned by one goroutine.
type Allocator struct {
	cfg Config
	// now is the newest time seen; times that arrive out of order count as this.
	now    time.Duration
	leadAt time.Duration
	// unreported holds the registered proxies that have not reported to this leader.
	// Until it is empty, or LapseAfter has passed, only what a proxy reports to have
	// is lent to it again.
	unreported map[string]bool
	settled    bool
	upstreams  map[string]*upstream
	streams    map[string]stream
	// changed holds the upstreams for which Pushes has to look for changes.
	changed map[string]bool
}

// stream identifies the newest stream of a proxy.
type stream struct {
	incarnation string
	number      uint64
}

// Push is an update to send to a proxy at once, without a report.
type Push struct {
	Proxy  string
	Shares []*controlpb.ShareGrant
}

// NewAllocator returns an Owner that lends nothing before Lead.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{
		cfg:       cfg,
		upstreams: map[string]*upstream{},
		streams:   map[string]stream{},
		changed:   map[string]bool{},
	}
}

// StartLeading starts the worst case of a new leader. registeredProxies must hold every
// proxy that an earlier leader could have lent to within LapseAfter, and one name
// must stand for one living process.
func (o *Allocator) StartLeading(now time.Duration, registeredProxies []string) {
	*o = *NewAllocator(o.cfg)
	o.now, o.leadAt = now, now
	o.unreported = make(map[string]bool, len(registeredProxies))
	for _, name := range registeredProxies {
		o.unreported[name] = true
	}
	o.tick(now)
}

// tick takes over a time and the end of the worst case, if that is reached.
func (o *Allocator) tick(now time.Duration) {
	o.now = max(o.now, now)
	if o.settled || (len(o.unreported) > 0 && o.now-o.leadAt < o.cfg.ExpireAfter) {
		return
	}
	o.settled = true
	for address := range o.upstreams {
		o.changed[address] = true
	}
}

// SetUpstream sets the number of connections that an upstream accepts.
func (o *Allocator) SetUpstream(now time.Duration, address string, limit uint32) {
	o.tick(now)
	u, ok := o.upstreams[address]
	if !ok {
		u = &upstream{address: address, loans: map[string]*loan{}}
		o.upstreams[address] = u
	}
	u.capacity = max(0, int64(limit)-int64(o.cfg.ReservedConnections))
	o.changed[address] = true
}

// RemoveUpstream ends lending for an upstream. What is lent is kept until it has
// lapsed, in case the upstream is announced again.
func (o *Allocator) RemoveUpstream(now time.Duration, address string) {
	o.tick(now)
	if u, ok := o.upstreams[address]; ok {
		u.capacity = 0
		o.changed[address] = true
	}
}

// ReleaseProxy frees the shares of a process that has closed its connections and ends.
// Without this, proxies that are restarted one after another would find all
// connections lent to the processes before them until those shares lapse.
func (o *Allocator) ReleaseProxy(now time.Duration, name string) {
	o.tick(now)
	// Later reports of the stream are ignored.
	o.streams[name] = stream{number: o.streams[name].number + 1}
	for address, u := range o.upstreams {
		delete(u.loans, name)
		o.changed[address] = true
	}
}

// RemoveProxy ends the stream of a proxy. What was lent to it stays lent until it has
// lapsed; a proxy that has not reported to this leader may have any share until then.
func (o *Allocator) RemoveProxy(now time.Duration, name string) {
	o.tick(now)
	// Later reports of the stream are ignored.
	o.streams[name] = stream{number: o.streams[name].number + 1}
	for _, u := range o.upstreams {
		u.abandon(name, o.now, o.cfg.ExpireAfter)
	}
}

// HandleReport takes a proxy's report and returns its shares. stream grows with each
// stream that the leader accepts; reports of a stream arrive in order, and its
// first report names every upstream of which the proxy has a share.
func (o *Allocator) HandleReport(
	now time.Duration, proxy, incarnation string, streamNumber uint64, demands []*controlpb.ShareDemand,
) []*controlpb.ShareGrant {
	o.tick(now)
	if !o.enterStream(proxy, stream{incarnation: incarnation, number: streamNumber}) {
		return nil
	}
	for _, d := range demands {
		if u, ok := o.upstreams[d.Upstream]; ok {
			u.report(proxy, o.now, int64(d.Open), int64(d.Wanted))
			o.changed[d.Upstream] = true
		}
	}
	delete(o.unreported, proxy)
	o.tick(now)
	shares := make([]*controlpb.ShareGrant, 0, len(demands))
	for _, d := range demands {
		if u, ok := o.upstreams[d.Upstream]; ok {
			shares = append(shares, o.renew(u, u.loans[proxy]))
		}
	}
	return shares
}

// enterStream makes s the proxy's stream. It returns false for an earlier one.
func (o *Allocator) enterStream(proxy string, s stream) bool {
	current, ok := o.streams[proxy]
	if ok && s.number < current.number {
		return false
	}
	if ok && s == current {
		return true
	}
	o.streams[proxy] = s
	for _, u := range o.upstreams {
		if ok && s.incarnation == current.incarnation {
			// The process reports what it has, and takes no share of its earlier
			// stream any more.
			delete(u.loans, proxy)
		} else {
			u.abandon(proxy, o.now, o.cfg.ExpireAfter)
		}
	}
	return true
}

// renew lends a proxy its share anew.
func (o *Allocator) renew(u *upstream, l *loan) *controlpb.ShareGrant {
	connections := o.allot(u, l)
	l.lend(o.now, connections)
	return o.message(u, connections)
}

func (o *Allocator) message(u *upstream, connections int64) *controlpb.ShareGrant {
	return &controlpb.ShareGrant{
		Upstream: u.address, Connections: uint32(connections), LifetimeMs: uint32(o.cfg.Lifetime.Milliseconds()),
	}
}

// allot decides how much a proxy may have now.
func (o *Allocator) allot(u *upstream, l *loan) int64 {
	targets, short := u.targets(o.now, o.cfg)
	lent := l.lent(o.now, o.cfg.ExpireAfter)
	limit := lent
	if o.settled {
		// Lending what a proxy has already raises nothing, even after the limit of the
		// upstream was lowered; the target brings it down.
		limit = max(lent, u.capacity-u.lentExcept(l, o.now, o.cfg.ExpireAfter))
	}
	target := targets[l]
	if !short && u.capacity > 0 {
		// Nobody lacks anything: taking connections away would only cost opening them
		// again.
		target = max(target, min(lent, u.capacity-u.lentExcept(l, o.now, o.cfg.ExpireAfter)))
	}
	return max(0, min(target, limit))
}

// Reallocate returns shares that changed without a report: smaller ones of proxies that
// have more than their part while others lack some, and larger ones of those others.
// They must be sent at once, because their time counts from this call, and on the
// stream whose report was handled last, with the sequence of that report.
func (o *Allocator) Reallocate(now time.Duration) []Push {
	o.tick(now)
	shares := map[string][]*controlpb.ShareGrant{}
	for _, address := range slices.Sorted(maps.Keys(o.changed)) {
		u, ok := o.upstreams[address]
		if !ok {
			continue
		}
		for _, proxy := range slices.Sorted(maps.Keys(u.loans)) {
			l := u.loans[proxy]
			connections := o.allot(u, l)
			if o.now-l.reportedAt >= o.cfg.DemandTimeout || connections == l.newest() {
				continue
			}
			l.lend(o.now, connections)
			shares[proxy] = append(shares[proxy], o.message(u, connections))
		}
	}
	clear(o.changed)
	pushes := make([]Push, 0, len(shares))
	for _, proxy := range slices.Sorted(maps.Keys(shares)) {
		pushes = append(pushes, Push{Proxy: proxy, Shares: shares[proxy]})
	}
	return pushes
}

// Expire ends what has lapsed. It is due every 100 ms or so.
func (o *Allocator) Expire(now time.Duration) {
	o.tick(now)
	for address, u := range o.upstreams {
		if u.expire(o.now, o.cfg.ExpireAfter) {
			o.changed[address] = true
		}
		if u.capacity == 0 && u.lentExcept(nil, o.now, o.cfg.ExpireAfter) == 0 {
			delete(o.upstreams, address)
		}
	}
}
