package warmup

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// maxDemand bounds the permits that a node asks for at once.
	maxDemand = 32
	// minUrgentInterval is the minimum time between two reports of a node because a request waits.
	minUrgentInterval = 25 * time.Millisecond
	// never is the result of UrgentAt while no request waits.
	never = time.Duration(math.MaxInt64)
)

// Permits are the permits that a node holds. They are safe for concurrent use.
type Permits struct {
	mu sync.Mutex
	// held holds the permits of each upstream, oldest first.
	held map[string][]permits
	// demands counts, by upstream, the requests since the last report that lacked a permit.
	demands map[string]uint32
	// waiting is set if one of them waits for it. reportedAt is when such a request was last reported.
	waiting    bool
	reportedAt time.Duration
}

// permits were granted together.
type permits struct {
	left    uint32
	validTo time.Duration
}

// NewPermits returns Permits of which none are held.
func NewPermits() *Permits {
	return &Permits{held: map[string][]permits{}, demands: map[string]uint32{}}
}

// Has reports whether there is a permit for an upstream.
func (p *Permits) Has(now time.Duration, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropExpired(now, upstream)
}

// Take uses a permit for a request that is sent now. It returns false if there is none.
func (p *Permits) Take(now time.Duration, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.dropExpired(now, upstream) {
		return false
	}
	p.held[upstream][0].left--
	return true
}

// Want records that a request lacks a permit, and whether it waits for one.
func (p *Permits) Want(upstream string, waits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demands[upstream] = min(p.demands[upstream]+1, maxDemand)
	p.waiting = p.waiting || waits
}

// dropExpired drops permits that are used up or expired, and reports whether one is left. The caller holds mu.
func (p *Permits) dropExpired(now time.Duration, upstream string) bool {
	held := slices.DeleteFunc(p.held[upstream], func(g permits) bool { return g.left == 0 || now >= g.validTo })
	if len(held) == 0 {
		delete(p.held, upstream)
		return false
	}
	p.held[upstream] = held
	return true
}

// UrgentAt returns the time from which a report is urgent because a request waits.
func (p *Permits) UrgentAt() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting {
		return never
	}
	return p.reportedAt + minUrgentInterval
}

// Demands returns the demands for the report that is sent now.
func (p *Permits) Demands(now time.Duration) []*controlpb.WarmupDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	var demands []*controlpb.WarmupDemand
	for _, upstream := range slices.Sorted(maps.Keys(p.demands)) {
		demands = append(demands, &controlpb.WarmupDemand{Upstream: upstream, Requests: p.demands[upstream]})
	}
	clear(p.demands)
	if p.waiting {
		p.waiting, p.reportedAt = false, now
	}
	return demands
}

// Add adds permits from an answer to the report that the node sent at sentAt.
func (p *Permits) Add(sentAt time.Duration, grants []*controlpb.WarmupGrant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range grants {
		lifetime := time.Duration(g.LifetimeMs) * time.Millisecond
		p.held[g.Upstream] = append(p.held[g.Upstream], permits{left: g.Requests, validTo: sentAt + lifetime})
	}
}
