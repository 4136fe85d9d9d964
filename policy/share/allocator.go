package share

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Allocator divides the connections of all upstreams among the proxies. It is not safe
// for concurrent use.
type Allocator struct {
	cfg Config
	// now is the newest time passed in; earlier times count as this one.
	now          time.Duration
	leadingSince time.Duration
	// unreported holds the registered proxies that have not reported to this leader.
	// Until it is empty, or ExpireAfter has passed, a proxy is lent at most what it
	// reports to have.
	unreported map[string]bool
	reconciled bool
	upstreams  map[string]*upstream
	streams    map[string]stream
	// changed holds the upstreams that Reallocate has to recompute.
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

// NewAllocator returns an Allocator that lends nothing before StartLeading.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{
		cfg:       cfg,
		upstreams: map[string]*upstream{},
		streams:   map[string]stream{},
		changed:   map[string]bool{},
	}
}

// StartLeading resets the allocator for a new leader, which must assume the worst case
// of what proxies have. registeredProxies must hold every proxy that an earlier leader
// could have lent to within ExpireAfter, and one name must stand for one running
// process.
func (al *Allocator) StartLeading(now time.Duration, registeredProxies []string) {
	*al = *NewAllocator(al.cfg)
	al.now, al.leadingSince = now, now
	al.unreported = make(map[string]bool, len(registeredProxies))
	for _, name := range registeredProxies {
		al.unreported[name] = true
	}
	al.advanceTime(now)
}

// advanceTime moves the time forward and ends the assumption of the worst case once
// that is possible.
func (al *Allocator) advanceTime(now time.Duration) {
	al.now = max(al.now, now)
	if al.reconciled || (len(al.unreported) > 0 && al.now-al.leadingSince < al.cfg.ExpireAfter) {
		return
	}
	al.reconciled = true
	for address := range al.upstreams {
		al.changed[address] = true
	}
}

// SetUpstream sets the number of connections that an upstream accepts.
func (al *Allocator) SetUpstream(now time.Duration, address string, limit uint32) {
	al.advanceTime(now)
	u, ok := al.upstreams[address]
	if !ok {
		u = &upstream{address: address, proxies: map[string]*proxyShare{}}
		al.upstreams[address] = u
	}
	u.capacity = max(0, int64(limit)-int64(al.cfg.ReservedConnections))
	al.changed[address] = true
}

// RemoveUpstream ends lending for an upstream. Its shares are kept until they have
// expired, in case the upstream is announced again.
func (al *Allocator) RemoveUpstream(now time.Duration, address string) {
	al.advanceTime(now)
	if u, ok := al.upstreams[address]; ok {
		u.capacity = 0
		al.changed[address] = true
	}
}

// ReleaseProxy frees the shares of a process that has closed its connections and is
// exiting. Without this, proxies that are restarted one after another would find all
// connections lent to the earlier processes until those shares expire.
func (al *Allocator) ReleaseProxy(now time.Duration, name string) {
	al.advanceTime(now)
	// Later reports of the stream are ignored.
	al.streams[name] = stream{number: al.streams[name].number + 1}
	for address, u := range al.upstreams {
		delete(u.proxies, name)
		al.changed[address] = true
	}
}

// RemoveProxy ends the stream of a proxy. What was lent to it stays lent until it has
// expired; a proxy that has not reported to this leader may have any share until then.
func (al *Allocator) RemoveProxy(now time.Duration, name string) {
	al.advanceTime(now)
	// Later reports of the stream are ignored.
	al.streams[name] = stream{number: al.streams[name].number + 1}
	for _, u := range al.upstreams {
		u.orphanShare(name, al.now, al.cfg.ExpireAfter)
	}
}

// HandleReport applies a proxy's report and returns its shares. streamNumber grows with
// each stream that the leader accepts; reports of a stream arrive in order, and its
// first report lists every upstream of which the proxy has a share.
func (al *Allocator) HandleReport(
	now time.Duration, proxy, incarnation string, streamNumber uint64, demands []*controlpb.ShareDemand,
) []*controlpb.ShareGrant {
	al.advanceTime(now)
	if !al.acceptStream(proxy, stream{incarnation: incarnation, number: streamNumber}) {
		return nil
	}
	for _, d := range demands {
		if u, ok := al.upstreams[d.Upstream]; ok {
			u.applyReport(proxy, al.now, int64(d.Open), int64(d.Wanted))
			al.changed[d.Upstream] = true
		}
	}
	delete(al.unreported, proxy)
	al.advanceTime(now)
	shares := make([]*controlpb.ShareGrant, 0, len(demands))
	for _, d := range demands {
		if u, ok := al.upstreams[d.Upstream]; ok {
			shares = append(shares, al.renew(u, u.proxies[proxy]))
		}
	}
	return shares
}

// acceptStream makes s the proxy's stream. It returns false for an earlier one.
func (al *Allocator) acceptStream(proxy string, s stream) bool {
	current, ok := al.streams[proxy]
	if ok && s.number < current.number {
		return false
	}
	if ok && s == current {
		return true
	}
	al.streams[proxy] = s
	for _, u := range al.upstreams {
		if ok && s.incarnation == current.incarnation {
			// The process reports what it has and ignores shares of its earlier stream.
			delete(u.proxies, proxy)
		} else {
			u.orphanShare(proxy, al.now, al.cfg.ExpireAfter)
		}
	}
	return true
}

// renew recomputes a proxy's share and lends it again.
func (al *Allocator) renew(u *upstream, s *proxyShare) *controlpb.ShareGrant {
	connections := al.allocate(u, s)
	s.addShare(al.now, connections)
	return al.shareGrant(u, connections)
}

func (al *Allocator) shareGrant(u *upstream, connections int64) *controlpb.ShareGrant {
	return &controlpb.ShareGrant{
		Upstream: u.address, Connections: uint32(connections), LifetimeMs: uint32(al.cfg.Lifetime.Milliseconds()),
	}
}

// allocate returns how many connections a proxy may have now.
func (al *Allocator) allocate(u *upstream, s *proxyShare) int64 {
	targets, shortage := u.targets(al.now, al.cfg)
	lent := s.lent(al.now, al.cfg.ExpireAfter)
	limit := lent
	if al.reconciled {
		// Lending what a proxy already has adds nothing, even after the limit of the upstream
		// was lowered; the target brings it down.
		limit = max(lent, u.capacity-u.lentToOthers(s, al.now, al.cfg.ExpireAfter))
	}
	target := targets[s]
	if !shortage && u.capacity > 0 {
		// No proxy is short of connections: taking some away would only cost opening them
		// again.
		target = max(target, min(lent, u.capacity-u.lentToOthers(s, al.now, al.cfg.ExpireAfter)))
	}
	return max(0, min(target, limit))
}

// Reallocate returns shares that changed without a report: smaller ones of proxies that
// have more than their target while others are short, and larger ones of those others.
// They must be sent at once, because their lifetime counts from this call, and on the
// stream whose report was handled last, with the sequence of that report.
func (al *Allocator) Reallocate(now time.Duration) []Push {
	al.advanceTime(now)
	shares := map[string][]*controlpb.ShareGrant{}
	for _, address := range slices.Sorted(maps.Keys(al.changed)) {
		u, ok := al.upstreams[address]
		if !ok {
			continue
		}
		for _, proxy := range slices.Sorted(maps.Keys(u.proxies)) {
			s := u.proxies[proxy]
			connections := al.allocate(u, s)
			if al.now-s.reportedAt >= al.cfg.DemandTimeout || connections == s.newest() {
				continue
			}
			s.addShare(al.now, connections)
			shares[proxy] = append(shares[proxy], al.shareGrant(u, connections))
		}
	}
	clear(al.changed)
	pushes := make([]Push, 0, len(shares))
	for _, proxy := range slices.Sorted(maps.Keys(shares)) {
		pushes = append(pushes, Push{Proxy: proxy, Shares: shares[proxy]})
	}
	return pushes
}

// Expire ends shares that have expired. Call it about every 100 ms.
func (al *Allocator) Expire(now time.Duration) {
	al.advanceTime(now)
	for address, u := range al.upstreams {
		if u.expire(al.now, al.cfg.ExpireAfter) {
			al.changed[address] = true
		}
		if u.capacity == 0 && u.lentToOthers(nil, al.now, al.cfg.ExpireAfter) == 0 {
			delete(al.upstreams, address)
		}
	}
}
