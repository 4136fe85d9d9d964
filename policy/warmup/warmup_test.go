package warmup

import (
	"math/rand"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	upstream       = "u"
	reportInterval = 250 * time.Millisecond
	// step is the resolution of the simulation, startedAt the time at which it starts.
	step      = 10 * time.Millisecond
	startedAt = time.Hour
	seeds     = 1000
	// maxWait is how long a request waits for a permit, and repeatAfter when it asks again.
	maxWait     = 300 * time.Millisecond
	repeatAfter = 50 * time.Millisecond
	burstPeriod = 3 * time.Second
	// minUse is the part of the warm rate that a fleet with enough demand uses.
	minUse = 0.6
)

// node is a node of a simulated fleet. Its clock differs from the leader's.
type node struct {
	permits  *Permits
	skew     time.Duration
	reportAt time.Duration
	// cut nodes neither report nor receive answers.
	cut bool
}

// request is a request that only the upstream can run.
type request struct {
	node      *node
	arrivedAt time.Duration
	wantedAt  time.Duration
}

// answer is a grant on its way to a node.
type answer struct {
	to        *node
	arrivesAt time.Duration
	sentAt    time.Duration
	granted   uint32
}

// fleet is a simulated fleet whose nodes all want to send to one upstream that warms up.
type fleet struct {
	random    *rand.Rand
	limit     Limit
	allocator *Allocator
	nodes     []*node
	answers   []answer
	waiting   []request
	// calm fleets have short delays, no cuts and one leader.
	calm bool
	// perSecond is the number of requests that all nodes together would send in the second half of each burstPeriod; in
	// the first half they send at the warm rate. The part canGoElsewhere does not wait for a permit.
	perSecond      float64
	canGoElsewhere float64
	usedAt         []time.Duration
}

func newFleet(seed int64) *fleet {
	random := rand.New(rand.NewSource(seed))
	f := &fleet{random: random}
	rate := float64(1 + random.Intn(60))
	f.limit = Limit{Rate: rate, MaxPerSecond: rate*(1+random.Float64()) + float64(random.Intn(10))}
	f.perSecond = rate * (0.5 + 20*random.Float64())
	f.canGoElsewhere = random.Float64()
	f.lead(startedAt)
	for range 1 + random.Intn(300) {
		f.nodes = append(f.nodes, &node{
			permits: NewPermits(), skew: time.Duration(random.Intn(3600)) * time.Second,
			reportAt: startedAt + time.Duration(random.Int63n(int64(reportInterval))),
		})
	}
	return f
}

// lead begins the time of a leader.
func (f *fleet) lead(now time.Duration) {
	f.allocator = NewAllocator()
	f.allocator.Start(now, upstream, f.limit)
}

// messageDelay is mostly short, and at times long.
func (f *fleet) messageDelay() time.Duration {
	if !f.calm && f.random.Intn(10) == 0 {
		return time.Duration(f.random.Intn(900)) * time.Millisecond
	}
	return time.Duration(f.random.Intn(20)) * time.Millisecond
}

func (f *fleet) run(duration time.Duration) {
	for now := startedAt; now < startedAt+duration; now += step {
		if !f.calm && f.random.Intn(500) == 0 {
			f.lead(now)
		}
		f.deliver(now)
		for _, n := range f.nodes {
			if now >= n.reportAt || now+n.skew >= n.permits.UrgentAt() {
				f.report(now, n)
			}
		}
		for range f.arrivals(now) {
			n := f.nodes[f.random.Intn(len(f.nodes))]
			if f.random.Float64() < f.canGoElsewhere {
				f.sendOrLeave(now, n)
				continue
			}
			f.waiting = append(f.waiting, request{node: n, arrivedAt: now, wantedAt: now - repeatAfter})
		}
		f.send(now)
	}
}

// sendOrLeave sends a request that does not wait for a permit.
func (f *fleet) sendOrLeave(now time.Duration, n *node) {
	if n.permits.Take(now+n.skew, upstream) {
		f.usedAt = append(f.usedAt, now)
		return
	}
	n.permits.Want(upstream, false)
}

// send sends the requests that wait and have a permit.
func (f *fleet) send(now time.Duration) {
	var waiting []request
	for _, r := range f.waiting {
		local := now + r.node.skew
		switch {
		case r.node.permits.Has(local, upstream) && r.node.permits.Take(local, upstream):
			f.usedAt = append(f.usedAt, now)
			continue
		case now-r.arrivedAt >= maxWait:
			continue
		case now-r.wantedAt >= repeatAfter:
			r.node.permits.Want(upstream, true)
			r.wantedAt = now
		}
		waiting = append(waiting, r)
	}
	f.waiting = waiting
}

// arrivals returns the number of requests of a step.
func (f *fleet) arrivals(now time.Duration) int {
	perSecond := f.perSecond
	if !f.calm && now%burstPeriod < burstPeriod/2 {
		perSecond = f.limit.Rate
	}
	expected := perSecond * step.Seconds()
	if f.random.Float64() < expected-float64(int(expected)) {
		return int(expected) + 1
	}
	return int(expected)
}

// report sends a node's demands, which reach the leader after a delay; the answer takes another one.
func (f *fleet) report(now time.Duration, n *node) {
	n.reportAt = now + reportInterval
	if !f.calm && f.random.Intn(50) == 0 {
		n.cut = !n.cut
	}
	for _, d := range n.permits.Demands(now + n.skew) {
		if n.cut {
			continue
		}
		if granted := f.allocator.Grant(now, d.Upstream, d.Requests); granted > 0 {
			f.answers = append(f.answers, answer{n, now + f.messageDelay(), now + n.skew - min(f.messageDelay(), Lifetime), granted})
		}
	}
}

func (f *fleet) deliver(now time.Duration) {
	var waiting []answer
	for _, a := range f.answers {
		if now < a.arrivesAt {
			waiting = append(waiting, a)
			continue
		}
		a.to.permits.Add(a.sentAt, []*controlpb.WarmupGrant{
			{Upstream: upstream, Requests: a.granted, LifetimeMs: uint32(Lifetime.Milliseconds())},
		})
	}
	f.answers = waiting
}

// mostInASecond returns the largest number of requests in any second.
func (f *fleet) mostInASecond() int {
	most, first := 0, 0
	for i, at := range f.usedAt {
		for at-f.usedAt[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Load pattern: up to 300 nodes want to send up to twenty times the warm rate, while messages are late, nodes are cut
// off and leaders change. Guards against more requests in any second than the bound.
func TestNobodyExceedsTheBound(t *testing.T) {
	for seed := range int64(seeds) {
		f := newFleet(seed)
		f.run(4 * time.Second)
		if most := f.mostInASecond(); float64(most) > f.limit.MaxPerSecond {
			t.Fatalf("seed %d: %d requests in a second, the bound is %.1f: %+v, %d nodes", seed, most, f.limit.MaxPerSecond, f.limit, len(f.nodes))
		}
	}
}

// Guards against a limit that leaves most of the warm rate unused because permits lie with nodes that do not need
// them.
func TestFleetUsesTheWarmRate(t *testing.T) {
	const duration = 20 * time.Second
	for _, nodes := range []int{3, 85, 300} {
		f := newFleet(1)
		f.limit = Limit{Rate: 20, MaxPerSecond: 20*1.5 + 5}
		f.perSecond, f.canGoElsewhere, f.calm = 100, 0, true
		f.lead(startedAt)
		for len(f.nodes) < nodes {
			f.nodes = append(f.nodes, &node{permits: NewPermits(), reportAt: startedAt + time.Duration(f.random.Int63n(int64(reportInterval)))})
		}
		f.nodes = f.nodes[:nodes]
		f.run(duration)
		if rate := float64(len(f.usedAt)) / duration.Seconds(); rate < minUse*f.limit.Rate {
			t.Errorf("%d nodes used %.1f permits a second of %.0f", nodes, rate, f.limit.Rate)
		}
	}
}

// Guards against grants above the bound of limits that are smaller than a request a second, or that have no reserve.
func TestGrantRateKeepsToTheLimit(t *testing.T) {
	for _, limit := range []Limit{{0, 0}, {0.4, 0.6}, {1, 1}, {1, 1.5}, {20, 20}, {20, 35}, {100, 155}} {
		rate, burst := limit.grantRate()
		if most := burst + rate*(1+Lifetime.Seconds()); most > limit.MaxPerSecond+1e-9 || rate > limit.Rate || limit.MaxPerSecond >= 2 && rate == 0 {
			t.Errorf("%+v: rate %g, burst %g", limit, rate, burst)
		}
	}
}
