package warmup

import (
	"maps"
	"math"
	"time"
)

// Lifetime is how long a permit is valid. It is above the interval of reports, so that a node with steady demand always
// has permits.
const Lifetime = 400 * time.Millisecond

// Limit bounds the requests to one upstream that warms up, from all nodes together.
type Limit struct {
	// Rate is what the upstream can take, in requests per second.
	Rate float64
	// MaxPerSecond is the number of requests that it may receive in any second.
	MaxPerSecond float64
}

// grantRate returns the rate and the burst of grants that keep to the limit: at most burst + rate x (1 s + Lifetime)
// permits can be used in a second.
func (l Limit) grantRate() (rate, burst float64) {
	const usableSeconds = 1 + float64(Lifetime)/float64(time.Second)
	rate = max(0, min(l.Rate, (l.MaxPerSecond-1)/usableSeconds))
	burst = l.MaxPerSecond - rate*usableSeconds
	if burst < 1 {
		// Permits are whole.
		return 0, 0
	}
	return rate, burst
}

// Allocator grants permits. It is not safe for concurrent use.
type Allocator struct {
	upstreams map[string]*bucket
}

// bucket holds the permits of one upstream that can be granted now.
type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Duration
}

// NewAllocator returns the Allocator of a leader that starts now.
func NewAllocator() *Allocator {
	return &Allocator{upstreams: map[string]*bucket{}}
}

// Start limits an upstream from now on. It has no effect on one with the same limit.
func (a *Allocator) Start(now time.Duration, upstream string, limit Limit) {
	b := a.upstreams[upstream]
	if b != nil && b.limit == limit {
		return
	}
	// An earlier leader may have granted the whole burst a moment ago.
	a.upstreams[upstream] = &bucket{limit: limit, level: 0, refilledAt: now}
}

// Retain forgets the upstreams that are not kept.
func (a *Allocator) Retain(kept func(upstream string) bool) {
	maps.DeleteFunc(a.upstreams, func(upstream string, _ *bucket) bool { return !kept(upstream) })
}

// Grant returns how many of the wanted permits a node gets.
func (a *Allocator) Grant(now time.Duration, upstream string, wanted uint32) uint32 {
	b := a.upstreams[upstream]
	if b == nil || now <= b.refilledAt {
		return 0
	}
	rate, burst := b.limit.grantRate()
	b.level = min(burst, b.level+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	granted := min(float64(wanted), math.Floor(b.level))
	b.level -= granted
	return uint32(granted)
}
