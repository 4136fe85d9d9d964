package rate

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// scenario describes where the load arrives and whether the leader changes.
type scenario struct {
	name string
	// target returns the proxy that a request goes to.
	target func(now time.Duration, rnd *rand.Rand) int
	// leaderChangeInterval is the time between leader changes; 0 means none.
	leaderChangeInterval time.Duration
}

var scenarios = []scenario{
	{"one of 11 proxies", func(time.Duration, *rand.Rand) int { return 3 }, 0},
	{"moves every 3 s", func(now time.Duration, _ *rand.Rand) int { return int(now/(3*time.Second)) % 11 }, 0},
	{"spread over 11", func(_ time.Duration, rnd *rand.Rand) int { return rnd.Intn(11) }, 0},
	{"leader changes, one of 11", func(time.Duration, *rand.Rand) int { return 3 }, 20 * time.Second},
	{"leader changes, spread", func(_ time.Duration, rnd *rand.Rand) int { return rnd.Intn(11) }, 20 * time.Second},
}

// TestWrongfulRefusals measures the requests inside the rate that are refused, and
// compares with an equal split of the rate. It guards the targets: at most 1 in 1,000
// refused, no use above rate and burst.
func TestWrongfulRefusals(t *testing.T) {
	const rate, load, length = 1000.0, 0.9, 60 * time.Second
	for _, burst := range []float64{100, 1000} {
		for _, s := range scenarios {
			granted, split := runScenario(s, rate, burst, load, length, false), runScenario(s, rate, burst, load, length, true)
			slices.Sort(granted.waits)
			p99 := time.Duration(0)
			if n := granted.served; len(granted.waits) > n/100 {
				p99 = granted.waits[len(granted.waits)-1-n/100]
			}
			t.Logf("burst %4g, %-24s: refused %d of %d, overshoot %d, p99 wait %v; equal split refused %d of %d",
				burst, s.name, granted.refused, granted.refused+granted.served, granted.overshoot, p99,
				split.refused, split.refused+split.served)
			if 1000*granted.refused > granted.refused+granted.served || granted.overshoot > 0 {
				t.Errorf("burst %g, %s: target missed", burst, s.name)
			}
		}
	}
}

// runScenario runs a scenario with Poisson arrivals that keep to rate and burst.
func runScenario(s scenario, rate, burst, load float64, length time.Duration, split bool) *simulation {
	sim := newSimulation(1, 11, rate, burst)
	if split {
		for range sim.nodes {
			sim.equalSplit = append(sim.equalSplit, newUsageBound(rate/11, max(1, burst/11)))
		}
	}
	sim.electLeader(rate, burst)
	sim.run(5*time.Second, func() {})
	arrivals := newUsageBound(rate, burst)
	start, nextChange := sim.now, sim.now+s.leaderChangeInterval
	sim.run(length, func() {
		if s.leaderChangeInterval > 0 && sim.now >= nextChange {
			sim.loseLeader()
			nextChange = sim.now + s.leaderChangeInterval
		}
		// An election takes 1.2 s.
		if sim.allocator == nil && sim.now >= nextChange-s.leaderChangeInterval+1200*time.Millisecond {
			sim.electLeader(rate, burst)
		}
		if sim.rnd.Float64() >= rate*load*timeStep.Seconds() {
			return
		}
		arrivals.advance(sim.now - start)
		if arrivals.level >= 1 {
			arrivals.level--
			sim.request(s.target(sim.now, sim.rnd))
		}
	})
	sim.run(3*time.Second, func() {})
	return sim
}
