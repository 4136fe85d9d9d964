package share

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// minReportInterval is the least time between urgent reports.
const minReportInterval = 10 * time.Millisecond

// PoolDemand is the state of a proxy's connection pool of one upstream.
type PoolDemand struct {
	Upstream string
	// Open counts connections that are open or being opened.
	Open int
	// Wanted counts connections that could be used now, including open ones.
	Wanted int
}

// Holder holds a proxy's shares. Allowed is safe for concurrent use. All other methods
// belong to one goroutine, which reads the pools right before Report. A pool counts a
// connection as open before it compares with Allowed, so that a report cannot miss one
// that was allowed by an earlier share.
type Holder struct {
	// shares is replaced as a whole with each grant.
	shares          atomic.Pointer[map[string]heldShare]
	streamStartedAt time.Duration
	reportedAt      time.Duration
	reported        map[string]*controlpb.ShareDemand
}

// heldShare is the newest share of an upstream. It is kept after it expires, because the
// allocator needs to know which one was received last.
type heldShare struct {
	connections int
	expiresAt   time.Duration
}

// NewHolder returns a Holder without shares.
func NewHolder() *Holder {
	h := &Holder{reportedAt: -time.Hour, reported: map[string]*controlpb.ShareDemand{}}
	h.shares.Store(&map[string]heldShare{})
	return h
}

// Allowed returns how many connections to an upstream may be open now. Connections
// above it that are idle must be closed at once; when it is 0, all must be closed.
func (h *Holder) Allowed(now time.Duration, upstream string) int {
	s := (*h.shares.Load())[upstream]
	if now >= s.expiresAt {
		return 0
	}
	return s.connections
}

// ApplyGrant adds a share that answers the report sent at sentAt.
func (h *Holder) ApplyGrant(now, sentAt time.Duration, g *controlpb.ShareGrant) {
	if sentAt < h.streamStartedAt {
		// The report that started this stream has listed what the proxy has.
		return
	}
	h.setShare(g.Upstream, heldShare{
		connections: int(g.Connections),
		expiresAt:   sentAt + time.Duration(g.LifetimeMs)*time.Millisecond,
	})
}

func (h *Holder) setShare(upstream string, s heldShare) {
	current := *h.shares.Load()
	next := make(map[string]heldShare, len(current)+1)
	for name, other := range current {
		next[name] = other
	}
	next[upstream] = s
	h.shares.Store(&next)
}

// StartStream begins a new stream. Expired shares are forgotten: the allocator may have
// lent them to others.
func (h *Holder) StartStream(now time.Duration) {
	h.streamStartedAt = now
	valid := map[string]heldShare{}
	for name, s := range *h.shares.Load() {
		if now < s.expiresAt {
			valid[name] = s
		}
	}
	h.shares.Store(&valid)
	h.reportedAt = -time.Hour
	clear(h.reported)
}

// claim returns the connections that the allocator must count as lent to this proxy.
func (h *Holder) claim(now time.Duration, p PoolDemand) int {
	s := (*h.shares.Load())[p.Upstream]
	if now >= s.expiresAt {
		return s.connections
	}
	return max(s.connections, p.Open)
}

// Report returns the claim and the demand for each upstream.
func (h *Holder) Report(now time.Duration, pools []PoolDemand) []*controlpb.ShareDemand {
	h.reportedAt = now
	clear(h.reported)
	demands := make([]*controlpb.ShareDemand, 0, len(pools))
	for _, p := range h.addMissingUpstreams(pools) {
		d := &controlpb.ShareDemand{
			Upstream: p.Upstream, Open: uint32(h.claim(now, p)), Wanted: uint32(max(0, p.Wanted)),
		}
		h.reported[p.Upstream] = d
		demands = append(demands, d)
	}
	return demands
}

// addMissingUpstreams adds upstreams that have a share and no pool.
func (h *Holder) addMissingUpstreams(pools []PoolDemand) []PoolDemand {
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

// Urgent reports whether a report should be sent at once: connections above a smaller
// share were closed, or more are wanted than is allowed.
func (h *Holder) Urgent(now time.Duration, pools []PoolDemand) bool {
	if now-h.reportedAt < minReportInterval {
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
