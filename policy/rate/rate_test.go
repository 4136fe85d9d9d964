package rate

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestNeverAboveRateAndBurst guards invariant 7 against late and lost messages,
// lost streams, restarts, proxies without control, slow and fast clocks, changes
// of the owner and of rate and burst.
func TestNeverAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{1, 5, 50, 300}).Draw(t, "burst")
		w := newWorld(rapid.Int64().Draw(t, "seed"), 3, rate, burst)
		w.delay = func() time.Duration {
			if w.rnd.Intn(10) == 0 {
				return time.Duration(w.rnd.Intn(400)) * time.Millisecond
			}
			return time.Duration(w.rnd.Intn(5)) * time.Millisecond
		}
		for _, n := range w.nodes {
			n.speed = rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "speed")
		}
		w.lead(rate, burst)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			fault := rapid.SampledFrom(faultNames).Draw(t, "fault")
			faults[fault](w, w.rnd.Intn(len(w.nodes)))
			heavy := rapid.Bool().Draw(t, "heavy")
			w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond, func() { w.takeAnywhere(heavy) })
			if w.overshoot > 0 {
				t.Fatalf("%d tokens above rate and burst at %v, after %s", w.overshoot, w.now, fault)
			}
		}
	})
}

// takeAnywhere uses tokens on every process, also on those without control.
func (w *world) takeAnywhere(heavy bool) {
	for _, n := range append(w.nodes, w.zombies...) {
		if heavy || w.rnd.Intn(200) == 0 {
			w.take(n)
		}
	}
}

var faultNames = []string{"none", "cut", "restart", "leave a process behind", "lose stream", "change owner",
	"no owner", "limits", "recreate team", "remove proxy"}

var faults = map[string]func(w *world, target int){
	"none":                   func(*world, int) {},
	"cut":                    func(w *world, i int) { w.nodes[i].cut = !w.nodes[i].cut; w.nodes[i].disconnect(w.now) },
	"restart":                func(w *world, i int) { w.restart(i, false) },
	"leave a process behind": func(w *world, i int) { w.restart(i, true) },
	"lose stream":            func(w *world, i int) { w.nodes[i].disconnect(w.now) },
	"no owner":               func(w *world, _ int) { w.depose() },
	"limits": func(w *world, i int) {
		w.setLimits(w.meter.rate*[]float64{0.5, 1, 2}[i], w.meter.burst*[]float64{2, 0.5, 1}[i])
	},
	"remove proxy":  func(w *world, i int) { w.removeProxy(i) },
	"recreate team": func(w *world, _ int) { w.recreateTeam() },
	// Registered names stand for one living process each, see Lead.
	"change owner": func(w *world, _ int) {
		w.zombies = nil
		w.lead(w.meter.rate, w.meter.burst)
	},
}

func (w *world) setLimits(rate, burst float64) {
	if w.owner == nil || w.now < w.meter.wideUntil {
		return
	}
	w.meter.change(w.now, rate, burst)
	w.owner.SetTeam(w.now, teamName, rate, burst)
}

func (w *world) removeProxy(i int) {
	if w.owner == nil {
		return
	}
	w.owner.RemoveProxy(w.now, w.nodes[i].name)
	w.nodes[i].disconnect(w.now)
}

func (w *world) recreateTeam() {
	if w.owner == nil {
		return
	}
	w.owner.RemoveTeam(w.now, teamName)
	w.owner.SetTeam(w.now, teamName, w.meter.rate, w.meter.burst)
}

// TestEqualParts guards against one proxy of an overloaded team being served less
// than another because of the order of their reports.
func TestEqualParts(t *testing.T) {
	w := newWorld(1, 11, 1000, 100)
	w.lead(1000, 100)
	taken := make([]int, len(w.nodes))
	w.run(20*time.Second, func() {
		for i, n := range w.nodes {
			if w.take(n) {
				taken[i]++
			}
		}
	})
	t.Logf("served %v", taken)
	for i, n := range taken {
		if n < 1500 {
			t.Errorf("proxy %d got %d of 20000 tokens, an equal part is 1818", i, n)
		}
	}
}

// TestLapsedTokensAreNotReturned guards against a report that comes after its
// tokens have lapsed: they may have been replaced already.
func TestLapsedTokensAreNotReturned(t *testing.T) {
	o := NewOwner(DefaultConfig())
	o.Lead(0, nil)
	o.SetTeam(0, teamName, 0, 0)
	o.SetTeam(time.Hour, teamName, 1, 100)
	o.teams[teamName].bucket = 100
	demand := &controlpb.TokenDemand{Team: teamName, Wanted: 100}
	granted := o.Report(time.Hour, "p", "1", 1, []*controlpb.TokenDemand{demand})[0].Tokens
	later := time.Hour + 3*time.Second
	o.Expire(later)
	o.Report(later, "p", "1", 1, []*controlpb.TokenDemand{{Team: teamName, UsedTotal: granted - 10, ReturnedTotal: 10}})
	if left := o.teams[teamName].bucket; granted != 100 || left > 3 {
		t.Errorf("granted %g, bucket %g after 3 s at 1/s", granted, left)
	}
}

// TestTakeDoesNotAllocate guards the cost of admission.
func TestTakeDoesNotAllocate(t *testing.T) {
	h := NewHolder()
	h.Grant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e6, LifetimeMs: 2500})
	if n := testing.AllocsPerRun(1000, func() { h.Take(time.Second, teamName) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
}

// TestConcurrentUse guards against more tokens taken than granted by many
// goroutines; run it with -race.
func TestConcurrentUse(t *testing.T) {
	h := NewHolder()
	h.Grant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1000, LifetimeMs: 2500})
	var wg sync.WaitGroup
	taken := make([]int, 8)
	for i := range taken {
		wg.Go(func() {
			for range 500 {
				if h.Take(time.Millisecond, teamName) {
					taken[i]++
				}
				h.Waiting(fmt.Sprint(i), 1)
				h.Urgent(time.Millisecond)
			}
		})
	}
	wg.Go(func() { h.Report(time.Millisecond) })
	wg.Wait()
	sum := 0
	for _, n := range taken {
		sum += n
	}
	if d := h.Report(2 * time.Millisecond); sum > 1000 || len(d) == 0 {
		t.Errorf("%d tokens taken of 1000", sum)
	}
}

func BenchmarkTake(b *testing.B) {
	h := NewHolder()
	h.Grant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e15, LifetimeMs: 1 << 31})
	b.ReportAllocs()
	for b.Loop() {
		h.Take(time.Second, teamName)
	}
}

func BenchmarkTakeParallel(b *testing.B) {
	h := NewHolder()
	h.Grant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e15, LifetimeMs: 1 << 31})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Take(time.Second, teamName)
		}
	})
}
