package share

import (
	"cmp"
	"slices"
	"time"
)

// upstream tracks the shares of one upstream.
type upstream struct {
	address  string
	capacity int64
	proxies  map[string]*proxyShare
	// orphaned holds what processes that no longer report may still have.
	orphaned []orphanedShare
}

// orphanedShare is a share that no proxy reports; its connections are free once it has
// expired.
type orphanedShare struct {
	connections int64
	expiresAt   time.Duration
}

func (u *upstream) applyReport(proxy string, now time.Duration, claim, wanted int64) {
	s, ok := u.proxies[proxy]
	if !ok {
		s = &proxyShare{proxy: proxy, shares: []lentShare{{connections: claim, lentAt: now}}}
		u.proxies[proxy] = s
	}
	s.applyClaim(now, claim)
	s.wanted = wanted
}

func (u *upstream) orphanShare(proxy string, now, expireAfter time.Duration) {
	s, ok := u.proxies[proxy]
	if !ok {
		return
	}
	delete(u.proxies, proxy)
	if lent := s.lent(now, expireAfter); lent > 0 {
		u.orphaned = append(u.orphaned, orphanedShare{connections: lent, expiresAt: s.lastRenewedAt() + expireAfter})
	}
}

// expire drops expired shares and reports whether there were any.
func (u *upstream) expire(now, expireAfter time.Duration) bool {
	before := len(u.orphaned)
	u.orphaned = slices.DeleteFunc(u.orphaned, func(o orphanedShare) bool { return now >= o.expiresAt })
	expired := len(u.orphaned) < before
	for _, s := range u.proxies {
		expired = s.expire(now, expireAfter) || expired
	}
	return expired
}

// lentToOthers sums what all proxies but one may have.
func (u *upstream) lentToOthers(except *proxyShare, now, expireAfter time.Duration) int64 {
	sum := int64(0)
	for _, s := range u.proxies {
		if s != except {
			sum += s.lent(now, expireAfter)
		}
	}
	for _, o := range u.orphaned {
		if now < o.expiresAt {
			sum += o.connections
		}
	}
	return sum
}

// targets divides the capacity: one connection to each proxy with demand before any
// gets a second, the rest by demand. It also reports whether a proxy has less than its
// target.
func (u *upstream) targets(now time.Duration, cfg Config) (map[*proxyShare]int64, bool) {
	wanting := u.proxiesWithDemand(now, cfg)
	targets := make(map[*proxyShare]int64, len(wanting))
	remaining := u.capacity
	for _, s := range wanting {
		if remaining == 0 {
			break
		}
		targets[s] = 1
		remaining--
	}
	divideByDemand(targets, wanting, remaining)
	shortage := false
	for s, target := range targets {
		shortage = shortage || target > s.lent(now, cfg.ExpireAfter)
	}
	return targets, shortage
}

// proxiesWithDemand returns the proxies with demand. Those that have connections come
// first, so that the first round does not move connections from one proxy to another.
func (u *upstream) proxiesWithDemand(now time.Duration, cfg Config) []*proxyShare {
	var wanting []*proxyShare
	for _, s := range u.proxies {
		if s.wanted > 0 && now-s.reportedAt < cfg.DemandTimeout {
			wanting = append(wanting, s)
		}
	}
	slices.SortFunc(wanting, func(a, b *proxyShare) int {
		aHas, bHas := min(1, a.lent(now, cfg.ExpireAfter)), min(1, b.lent(now, cfg.ExpireAfter))
		return cmp.Or(cmp.Compare(bHas, aHas), cmp.Compare(a.proxy, b.proxy))
	})
	return wanting
}

// divideByDemand divides the remaining connections in proportion to what each proxy
// wants beyond its first.
func divideByDemand(targets map[*proxyShare]int64, wanting []*proxyShare, remaining int64) {
	demand := int64(0)
	for _, s := range wanting {
		demand += s.wanted - 1
	}
	if demand == 0 || remaining == 0 {
		return
	}
	if demand <= remaining {
		for _, s := range wanting {
			targets[s] = s.wanted
		}
		return
	}
	allocated := int64(0)
	for _, s := range wanting {
		part := remaining * (s.wanted - 1) / demand
		targets[s] += part
		allocated += part
	}
	for _, s := range wanting {
		if allocated < remaining && targets[s] < s.wanted {
			targets[s]++
			allocated++
		}
	}
}
