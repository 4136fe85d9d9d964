package share

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// reportGap is the least time between urgent reports.
const reportGap = 10 * time.Millisecond

// PoolDemand is what a proxy's pool has and could use of one upstream.
type PoolDemand struct {
	Upstream string
	// Open counts connections that are open or being opened.
	Open int
	// Wanted counts connections that could be used now, open ones included.
	Wanted int
}

// Holder holds a proxy's shares. Allowed may be called by any goroutine. All other
// methods belong to one goroutine, which reads the pools right before Report. A pool
// counts a connection as open before it compares with Allowed, so that a report
// cannot miss one that was allowed by an earlier share.
type Holder struct {
	// shares is replaced as a whole with each grant.
	shares     atomic.Pointer[map[string]held]
	streamAt   time.Duration
	reportedAt time.Duration
	reported   map[string]*controlpb.ShareDemand
}

// held is the newest share of an upstream. It stays known after its end, because
// the owner needs to know which one was received last.
type held struct {
	connections int
	until       time.Duration
}

// NewHolder returns a Holder without shares.
func NewHolder() *Holder {
	h := &Holder{reportedAt: -time.Hour, reported: map[string]*controlpb.ShareDemand{}}
	h.shares.Store(&map[string]held{})
	return h
}

// Allowed returns how many connections to an upstream may be open now. Connections
// above it that are idle must be closed at once, and all others when it is 0.
func (h *Holder) Allowed(now time.Duration, upstream string) int {
	s := (*h.shares.Load())[upstream]
	if now >= s.until {
		return 0
	}
	return s.connections
}

// ApplyGrant takes over a share that answers the report sent at sentAt.
func (h *Holder) ApplyGrant(now, sentAt time.Duration, g *controlpb.ShareGrant) {
	if sentAt < h.streamAt {
		// The report that started this stream has stated what the proxy has.
		return
	}
	h.replace(g.Upstream, held{
		connections: int(g.Connections),
		until:       sentAt + time.Duration(g.LifetimeMs)*time.Millisecond,
	})
}

func (h *Holder) replace(upstream string, s held) {
	current := *h.shares.Load()
	next := make(map[string]held, len(current)+1)
	for name, other := range current {
		next[name] = other
	}
	next[upstream] = s
	h.shares.Store(&next)
}

// StartStream begins a new stream. Shares that have lapsed are forgotten: the
// owner may have lent them to others.
func (h *Holder) StartStream(now time.Duration) {
	h.streamAt = now
	valid := map[string]held{}
	for name, s := range *h.shares.Load() {
		if now < s.until {
			valid[name] = s
		}
	}
	h.shares.Store(&valid)
	h.reportedAt = -time.Hour
	clear(h.reported)
}

// claim is what the owner must count as lent to this proxy.
func (h *Holder) claim(now time.Duration, p PoolDemand) int {
	s := (*h.shares.Load())[p.Upstream]
	if now >= s.until {
		return s.connections
	}
	return max(s.connections, p.Open)
}

// Report returns the claim and the wish for each upstream.
func (h *Holder) Report(now time.Duration, pools []PoolDemand) []*controlpb.ShareDemand {
	h.reportedAt = now
	clear(h.reported)
	demands := make([]*controlpb.ShareDemand, 0, len(pools))
	for _, p := range h.complete(pools) {
		d := &controlpb.ShareDemand{
			Upstream: p.Upstream, Open: uint32(h.claim(now, p)), Wanted: uint32(max(0, p.Wanted)),
		}
		h.reported[p.Upstream] = d
		demands = append(demands, d)
	}
	return demands
}

// complete adds upstreams that have a share and no pool.
func (h *Holder) complete(pools []PoolDemand) []PoolDemand {
	all := slices.Clone(pools)
	known := make(map[string]bool, len(pools))
	for _, p := range pools {
		known[p.Upstream] = true
	}
	for name := range *h.shares.Load() {
		if !known[name] {
			all = append(all, PoolDemand{Upstream: name})
		}
	}
	slices.SortFunc(all, func(a, b PoolDemand) int { return strings.Compare(a.Upstream, b.Upstream) })
	return all
}

// Urgent tells whether a report is due at once: connections of a share that was
// made smaller are closed, or more are wanted than is allowed.
func (h *Holder) Urgent(now time.Duration, pools []PoolDemand) bool {
	if now-h.reportedAt < reportGap {
		return false
	}
	for _, p := range pools {
		claim, reported := h.claim(now, p), h.reported[p.Upstream]
		if claim < int(reported.GetOpen()) {
			return true
		}
		if p.Wanted > h.Allowed(now, p.Upstream) && p.Wanted > int(reported.GetWanted()) {
			return true
		}
	}
	return false
}
