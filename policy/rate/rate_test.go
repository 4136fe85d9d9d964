package rate

import (
	"fmt"
	"slices"
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
			use := rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "use")
			w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond, func() { w.takeAnywhere(use) })
			if rapid.Bool().Draw(t, "drain") {
				w.takeAll()
			}
			if w.overshoot > 0 {
				t.Fatalf("%d tokens above rate and burst at %v, after %s", w.overshoot, w.now, fault)
			}
		}
	})
}

// takeAnywhere uses tokens on every process, also on those without control. Quiet
// processes keep theirs for a while and then use all of them at once.
func (w *world) takeAnywhere(use int) {
	for _, n := range w.processes() {
		switch {
		case w.now < n.quietUntil:
		case n.quietUntil > 0:
			n.quietUntil = 0
			w.drain(n)
		case w.rnd.Intn(use) == 0:
			w.take(n)
		}
	}
}

func (w *world) processes() []*node {
	return slices.Concat(w.nodes, w.zombies)
}

func (w *world) takeAll() {
	for _, n := range w.processes() {
		w.drain(n)
	}
}

func (w *world) drain(n *node) {
	for w.take(n) {
	}
}

// quiet makes a process keep its tokens, most often until about their end.
func (w *world) quiet(n *node) {
	n.quietUntil = w.now + time.Duration(w.rnd.Intn(2700))*time.Millisecond
	if w.rnd.Intn(2) == 0 {
		n.quietUntil = w.now + time.Duration(2200+w.rnd.Intn(450))*time.Millisecond
	}
}

var faultNames = []string{"none", "cut", "cut", "quiet", "restart", "leave a process behind", "lose stream", "change owner",
	"no owner", "limits", "recreate team", "remove proxy"}

var faults = map[string]func(w *world, target int){
	"none":    func(*world, int) {},
	"cut":     func(w *world, i int) { w.cut(w.nodes[i]) },
	"quiet":   func(w *world, i int) { w.quiet(w.nodes[i]) },
	"restart": func(w *world, i int) { w.restart(i, false) },
	// Not before the owner knows the process: see Lead.
	"leave a process behind": func(w *world, i int) {
		w.quiet(w.nodes[i])
		w.restart(i, w.owner != nil && w.owner.settled)
	},
	"lose stream": func(w *world, i int) { w.nodes[i].disconnect(w.now) },
	"no owner":    func(w *world, _ int) { w.depose() },
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

func (w *world) cut(n *node) {
	n.cut = !n.cut
	n.disconnect(w.now)
	if n.cut && w.rnd.Intn(4) > 0 {
		w.quiet(n)
	}
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

// TestTokensAtTheEndOfTheirLife guards against tokens that the owner gives up while
// a proxy with a slow clock may still use them, and against tokens without an end.
func TestTokensAtTheEndOfTheirLife(t *testing.T) {
	local := func(now time.Duration) time.Duration { return time.Duration(float64(now) / 1.05) }
	for wait := 2300 * time.Millisecond; wait < 2800*time.Millisecond; wait += 5 * time.Millisecond {
		o, h, start := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig()), time.Hour
		o.StartLeading(0, nil)
		o.SetTeam(start, teamName, 1000, 1000)
		granted := o.HandleReport(start, "slow", "1", 1, []*controlpb.TokenDemand{{Team: teamName, Wanted: 400}})[0]
		h.ApplyGrant(local(start), local(start), granted)
		now := start + wait
		for at := start; at < now; at += 5 * time.Millisecond {
			o.Expire(at)
		}
		used := o.HandleReport(now, "other", "1", 2, []*controlpb.TokenDemand{{Team: teamName, Wanted: 1000}})[0].Tokens
		for h.Take(local(now), teamName) {
			used++
		}
		if granted.Tokens != 400 || used > 1000+5 {
			t.Errorf("after %v: %d tokens used in 5 ms, rate 1000, burst 1000", wait, used)
		}
	}
}

// TestNewStreamKeepsWhatIsHeld guards against tokens that are granted a second time
// because their holder reports on a new stream.
func TestNewStreamKeepsWhatIsHeld(t *testing.T) {
	o, h := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig())
	o.StartLeading(0, nil)
	o.SetTeam(time.Hour, teamName, 100, 100)
	wish := &controlpb.TokenDemand{Team: teamName, Wanted: 100}
	h.ApplyGrant(time.Hour, time.Hour, o.HandleReport(time.Hour, "p", "1", 1, []*controlpb.TokenDemand{wish})[0])
	h.AddWaiting(teamName, 200)
	h.StartStream(time.Hour)
	o.HandleReport(time.Hour, "p", "1", 2, h.Report(time.Hour))
	later := time.Hour + 2*time.Second
	if more := o.HandleReport(later, "p", "1", 2, h.Report(later))[0].Tokens; more != 0 {
		t.Errorf("%d tokens granted beside 100 of a burst of 100", more)
	}
}

// TestLapsedTokensAreNotReturned guards against a report that comes after some of
// its returned tokens have lapsed: they may have been replaced already.
func TestLapsedTokensAreNotReturned(t *testing.T) {
	a := newAccount(0, 50)
	a.grant(2*time.Second, 50)
	if lapsed := a.lapse(3*time.Second, 2625*time.Millisecond); lapsed != 50 {
		t.Fatalf("%d tokens lapsed, want 50", lapsed)
	}
	if back := a.report(50, 50); back != 0 || a.open() != 0 {
		t.Errorf("%d tokens came back, %d are open", back, a.open())
	}
}

// TestTakeDoesNotAllocate guards the cost of admission.
func TestTakeDoesNotAllocate(t *testing.T) {
	h := NewHolder(DefaultConfig())
	h.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e6, LifetimeMs: 2500})
	if n := testing.AllocsPerRun(1000, func() { h.Take(time.Second, teamName) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
}

// TestConcurrentUse guards against more tokens taken than granted by many
// goroutines; run it with -race.
func TestConcurrentUse(t *testing.T) {
	h := NewHolder(DefaultConfig())
	h.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1000, LifetimeMs: 2500})
	var wg sync.WaitGroup
	taken := make([]int, 8)
	for i := range taken {
		wg.Go(func() {
			for range 500 {
				if h.Take(time.Millisecond, teamName) {
					taken[i]++
				}
				h.AddWaiting(fmt.Sprint(i), 1)
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
	h := NewHolder(DefaultConfig())
	h.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e15, LifetimeMs: 1 << 31})
	b.ReportAllocs()
	for b.Loop() {
		h.Take(time.Second, teamName)
	}
}

func BenchmarkTakeParallel(b *testing.B) {
	h := NewHolder(DefaultConfig())
	h.ApplyGrant(0, 0, &controlpb.TokenGrant{Team: teamName, Tokens: 1e15, LifetimeMs: 1 << 31})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Take(time.Second, teamName)
		}
	})
}
