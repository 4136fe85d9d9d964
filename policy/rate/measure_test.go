package rate

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// scenario says where the load is and whether the owner changes.
type scenario struct {
	name string
	// target is the proxy that a request goes to.
	target func(now time.Duration, rnd *rand.Rand) int
	// changeEvery is the time between changes of the owner; 0 means none.
	changeEvery time.Duration
}

var scenarios = []scenario{
	{"one of 11 proxies", func(time.Duration, *rand.Rand) int { return 3 }, 0},
	{"moves every 3 s", func(now time.Duration, _ *rand.Rand) int { return int(now/(3*time.Second)) % 11 }, 0},
	{"spread over 11", func(_ time.Duration, rnd *rand.Rand) int { return rnd.Intn(11) }, 0},
	{"owner changes, one of 11", func(time.Duration, *rand.Rand) int { return 3 }, 20 * time.Second},
	{"owner changes, spread", func(_ time.Duration, rnd *rand.Rand) int { return rnd.Intn(11) }, 20 * time.Second},
}

// TestWrongfulRefusals measures requests inside the rate that are refused, beside
// an equal split of the rate. It guards the targets: at most 1 in 1,000, no use
// above rate and burst.
func TestWrongfulRefusals(t *testing.T) {
	const rate, load, length = 1000.0, 0.9, 60 * time.Second
	for _, burst := range []float64{100, 1000} {
		for _, s := range scenarios {
			granted, split := measure(s, rate, burst, load, length, false), measure(s, rate, burst, load, length, true)
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

// measure runs a scenario with Poisson arrivals that keep to rate and burst.
func measure(s scenario, rate, burst, load float64, length time.Duration, split bool) *world {
	w := newWorld(1, 11, rate, burst)
	if split {
		for range w.nodes {
			w.split = append(w.split, newMeter(rate/11, max(1, burst/11)))
		}
	}
	w.lead(rate, burst)
	w.run(5*time.Second, func() {})
	arrivals := newMeter(rate, burst)
	start, nextChange := w.now, w.now+s.changeEvery
	w.run(length, func() {
		if s.changeEvery > 0 && w.now >= nextChange {
			w.depose()
			nextChange = w.now + s.changeEvery
		}
		// An election takes 1.2 s.
		if w.owner == nil && w.now >= nextChange-s.changeEvery+1200*time.Millisecond {
			w.lead(rate, burst)
		}
		if w.rnd.Float64() >= rate*load*tick.Seconds() {
			return
		}
		arrivals.advance(w.now - start)
		if arrivals.level >= 1 {
			arrivals.level--
			w.request(s.target(w.now, w.rnd))
		}
	})
	w.run(3*time.Second, func() {})
	return w
}
