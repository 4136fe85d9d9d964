package share

import (
	"cmp"
	"slices"
	"time"
)

// upstream is the lending of one upstream.
type upstream struct {
	address  string
	capacity int64
	loans    map[string]*loan
	// abandoned holds what processes that report no more may still have.
	abandoned []abandoned
}

// abandoned are connections that are free once they have lapsed.
type abandoned struct {
	connections int64
	lapseAt     time.Duration
}

func (u *upstream) report(proxy string, now time.Duration, claim, wanted int64) {
	l, ok := u.loans[proxy]
	if !ok {
		l = &loan{proxy: proxy, entries: []entry{{connections: claim, at: now}}}
		u.loans[proxy] = l
	}
	l.report(now, claim)
	l.wanted = wanted
}

func (u *upstream) abandon(proxy string, now, lapseAfter time.Duration) {
	l, ok := u.loans[proxy]
	if !ok {
		return
	}
	delete(u.loans, proxy)
	if lent := l.lent(now, lapseAfter); lent > 0 {
		u.abandoned = append(u.abandoned, abandoned{connections: lent, lapseAt: l.newestAt() + lapseAfter})
	}
}

// expire drops what has lapsed and tells whether there was any.
func (u *upstream) expire(now, lapseAfter time.Duration) bool {
	before := len(u.abandoned)
	u.abandoned = slices.DeleteFunc(u.abandoned, func(a abandoned) bool { return now >= a.lapseAt })
	lapsed := len(u.abandoned) < before
	for _, l := range u.loans {
		lapsed = l.expire(now, lapseAfter) || lapsed
	}
	return lapsed
}

// lentExcept sums what all other proxies may have.
func (u *upstream) lentExcept(except *loan, now, lapseAfter time.Duration) int64 {
	sum := int64(0)
	for _, l := range u.loans {
		if l != except {
			sum += l.lent(now, lapseAfter)
		}
	}
	for _, a := range u.abandoned {
		if now < a.lapseAt {
			sum += a.connections
		}
	}
	return sum
}

// targets divides the capacity: one connection to each proxy with demand before any
// gets a second, the rest by demand. It also tells whether a proxy has less than its
// part.
func (u *upstream) targets(now time.Duration, cfg Config) (map[*loan]int64, bool) {
	wanting := u.wanting(now, cfg)
	targets := make(map[*loan]int64, len(wanting))
	left := u.capacity
	for _, l := range wanting {
		if left == 0 {
			break
		}
		targets[l] = 1
		left--
	}
	divideByDemand(targets, wanting, left)
	short := false
	for l, target := range targets {
		short = short || target > l.lent(now, cfg.ExpireAfter)
	}
	return targets, short
}

// wanting lists the proxies with demand. Those that have connections come first, so
// that the first round does not move connections from one proxy to another.
func (u *upstream) wanting(now time.Duration, cfg Config) []*loan {
	var wanting []*loan
	for _, l := range u.loans {
		if l.wanted > 0 && now-l.reportedAt < cfg.DemandTimeout {
			wanting = append(wanting, l)
		}
	}
	slices.SortFunc(wanting, func(a, b *loan) int {
		aHas, bHas := min(1, a.lent(now, cfg.ExpireAfter)), min(1, b.lent(now, cfg.ExpireAfter))
		return cmp.Or(cmp.Compare(bHas, aHas), cmp.Compare(a.proxy, b.proxy))
	})
	return wanting
}

// divideByDemand adds the connections that are left in proportion to what each
// proxy wants beyond its first.
func divideByDemand(targets map[*loan]int64, wanting []*loan, left int64) {
	more := int64(0)
	for _, l := range wanting {
		more += l.wanted - 1
	}
	if more == 0 || left == 0 {
		return
	}
	if more <= left {
		for _, l := range wanting {
			targets[l] = l.wanted
		}
		return
	}
	given := int64(0)
	for _, l := range wanting {
		part := left * (l.wanted - 1) / more
		targets[l] += part
		given += part
	}
	for _, l := range wanting {
		if given < left && targets[l] < l.wanted {
			targets[l]++
			given++
		}
	}
}
