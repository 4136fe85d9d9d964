package share

import (
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Config holds the time limits of an Owner.
type Config struct {
	Lifetime   time.Duration
	LapseAfter time.Duration
	Reserve    uint32
}

func DefaultConfig() Config {
	return Config{Lifetime: 2500 * time.Millisecond, LapseAfter: 2625 * time.Millisecond, Reserve: 2}
}

// Pool is what a proxy's pool has and could use of one upstream.
type Pool struct {
	Upstream string
	// Open counts connections that are open or being opened.
	Open int
	// Wanted counts connections that could be used now, open ones included.
	Wanted int
}

type Holder struct {
	mu   sync.Mutex
	held map[string]held
}

type held struct {
	n     int
	until time.Duration
}

func NewHolder() *Holder { return &Holder{held: map[string]held{}} }
func (h *Holder) Allowed(now time.Duration, upstream string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.held[upstream]; now < s.until {
		return s.n
	}
	return 0
}

func (h *Holder) Urgent(now time.Duration, pools []Pool) bool {
	for _, p := range pools {
		if p.Wanted > 0 && h.Allowed(now, p.Upstream) == 0 {
			return true
		}
	}
	return false
}

func (h *Holder) Report(now time.Duration, pools []Pool) []*controlpb.ShareDemand {
	var d []*controlpb.ShareDemand
	for _, p := range pools {
		d = append(d, &controlpb.ShareDemand{Upstream: p.Upstream, Open: uint32(p.Open), Wanted: uint32(p.Wanted)})
	}
	return d
}

func (h *Holder) Grant(now, sentAt time.Duration, g *controlpb.ShareGrant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[g.Upstream] = held{int(g.Connections), sentAt + time.Duration(g.LifetimeMs)*time.Millisecond}
}
func (h *Holder) StreamStarted(now time.Duration) {}

type Owner struct {
	cfg     Config
	limits  map[string]uint32
	proxies map[string]bool
}

// Push is an update to send to a proxy without a report.
type Push struct {
	Proxy  string
	Shares []*controlpb.ShareGrant
}

func NewOwner(cfg Config) *Owner {
	return &Owner{cfg: cfg, limits: map[string]uint32{}, proxies: map[string]bool{}}
}
func (o *Owner) Lead(now time.Duration, registeredProxies []string) {}
func (o *Owner) SetUpstream(now time.Duration, address string, limit uint32) {
	o.limits[address] = limit
}
func (o *Owner) RemoveUpstream(now time.Duration, address string) {}
func (o *Owner) RemoveProxy(now time.Duration, name string)       {}
func (o *Owner) Report(now time.Duration, proxy, incarnation string, stream uint64, d []*controlpb.ShareDemand) []*controlpb.ShareGrant {
	o.proxies[proxy] = true
	var g []*controlpb.ShareGrant
	for _, x := range d {
		n := (o.limits[x.Upstream] - o.cfg.Reserve) / uint32(max(2, len(o.proxies)))
		g = append(g, &controlpb.ShareGrant{Upstream: x.Upstream, Connections: n, LifetimeMs: uint32(o.cfg.Lifetime.Milliseconds())})
	}
	return g
}
func (o *Owner) Pushes(now time.Duration) []Push { return nil }
func (o *Owner) Expire(now time.Duration)        {}
