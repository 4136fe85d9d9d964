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

// TestLimitHolds guards invariant 7, use within rate and burst, against late and lost
// messages, lost streams, restarts, proxies without control, slow and fast clocks, and
// changes of the leader and of rate and burst.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 20, 500}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{1, 5, 50, 300}).Draw(t, "burst")
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 3, rate, burst)
		sim.delay = func() time.Duration {
			if sim.rnd.Intn(10) == 0 {
				return time.Duration(sim.rnd.Intn(400)) * time.Millisecond
			}
			return time.Duration(sim.rnd.Intn(5)) * time.Millisecond
		}
		for _, n := range sim.nodes {
			n.clockRate = rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "speed")
		}
		sim.electLeader(rate, burst)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			fault := rapid.SampledFrom(faultNames).Draw(t, "fault")
			faults[fault](sim, sim.rnd.Intn(len(sim.nodes)))
			use := rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "use")
			sim.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*time.Millisecond, func() { sim.takeOnEachProcess(use) })
			if rapid.Bool().Draw(t, "drain") {
				sim.takeAll()
			}
			if sim.overshoot > 0 {
				t.Fatalf("%d tokens above rate and burst at %v, after %s", sim.overshoot, sim.now, fault)
			}
		}
	})
}

// takeOnEachProcess uses tokens on every process, including those without control. Idle
// processes keep theirs for a while and then use all of them at once.
func (sim *simulation) takeOnEachProcess(use int) {
	for _, n := range sim.processes() {
		switch {
		case sim.now < n.idleUntil:
		case n.idleUntil > 0:
			n.idleUntil = 0
			sim.takeAllOf(n)
		case sim.rnd.Intn(use) == 0:
			sim.take(n)
		}
	}
}

func (sim *simulation) processes() []*node {
	return slices.Concat(sim.nodes, sim.zombies)
}

func (sim *simulation) takeAll() {
	for _, n := range sim.processes() {
		sim.takeAllOf(n)
	}
}

func (sim *simulation) takeAllOf(n *node) {
	for sim.take(n) {
	}
}

// holdTokens makes a process keep its tokens, usually until shortly before they expire.
func (sim *simulation) holdTokens(n *node) {
	n.idleUntil = sim.now + time.Duration(sim.rnd.Intn(2700))*time.Millisecond
	if sim.rnd.Intn(2) == 0 {
		n.idleUntil = sim.now + time.Duration(2200+sim.rnd.Intn(450))*time.Millisecond
	}
}

var faultNames = []string{"none", "toggle partition", "toggle partition", "hold tokens", "restart", "leave zombie process", "lose stream", "change leader",
	"lose leader", "limits", "recreate team", "remove proxy"}

var faults = map[string]func(sim *simulation, target int){
	"none":             func(*simulation, int) {},
	"toggle partition": func(sim *simulation, i int) { sim.togglePartition(sim.nodes[i]) },
	"hold tokens":      func(sim *simulation, i int) { sim.holdTokens(sim.nodes[i]) },
	"restart":          func(sim *simulation, i int) { sim.restart(i, false) },
	// Only once the allocator knows the process, see StartLeading.
	"leave zombie process": func(sim *simulation, i int) {
		sim.holdTokens(sim.nodes[i])
		sim.restart(i, sim.allocator != nil && sim.allocator.reconciled)
	},
	"lose stream": func(sim *simulation, i int) { sim.nodes[i].disconnect(sim.now) },
	"lose leader": func(sim *simulation, _ int) { sim.loseLeader() },
	"limits": func(sim *simulation, i int) {
		sim.setLimits(sim.bound.rate*[]float64{0.5, 1, 2}[i], sim.bound.burst*[]float64{2, 0.5, 1}[i])
	},
	"remove proxy":  func(sim *simulation, i int) { sim.removeProxy(i) },
	"recreate team": func(sim *simulation, _ int) { sim.recreateTeam() },
	// A registered name stands for one running process, see StartLeading.
	"change leader": func(sim *simulation, _ int) {
		sim.zombies = nil
		sim.electLeader(sim.bound.rate, sim.bound.burst)
	},
}

func (sim *simulation) togglePartition(n *node) {
	n.partitioned = !n.partitioned
	n.disconnect(sim.now)
	if n.partitioned && sim.rnd.Intn(4) > 0 {
		sim.holdTokens(n)
	}
}

func (sim *simulation) setLimits(rate, burst float64) {
	if sim.allocator == nil || sim.now < sim.bound.earlierBurstUntil {
		return
	}
	sim.bound.change(sim.now, rate, burst)
	sim.allocator.SetTeam(sim.now, teamName, rate, burst)
}

func (sim *simulation) removeProxy(i int) {
	if sim.allocator == nil {
		return
	}
	sim.allocator.RemoveProxy(sim.now, sim.nodes[i].name)
	sim.nodes[i].disconnect(sim.now)
}

func (sim *simulation) recreateTeam() {
	if sim.allocator == nil {
		return
	}
	sim.allocator.RemoveTeam(sim.now, teamName)
	sim.allocator.SetTeam(sim.now, teamName, sim.bound.rate, sim.bound.burst)
}

// TestOverloadedTeamIsServedEqually guards against one proxy of an overloaded team being
// served less than another because of the order of their reports.
func TestOverloadedTeamIsServedEqually(t *testing.T) {
	sim := newSimulation(1, 11, 1000, 100)
	sim.electLeader(1000, 100)
	taken := make([]int, len(sim.nodes))
	sim.run(20*time.Second, func() {
		for i, n := range sim.nodes {
			if sim.take(n) {
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

// TestTokenExpiry guards against tokens that the allocator writes off while a proxy
// with a slow clock may still use them, and against tokens that never expire.
func TestTokenExpiry(t *testing.T) {
	local := func(now time.Duration) time.Duration { return time.Duration(float64(now) / 1.05) }
	for wait := 2300 * time.Millisecond; wait < 2800*time.Millisecond; wait += 5 * time.Millisecond {
		al, h, start := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig()), time.Hour
		al.StartLeading(0, nil)
		al.SetTeam(start, teamName, 1000, 1000)
		granted := al.HandleReport(start, "slow", "1", 1, []*controlpb.TokenDemand{{Team: teamName, Wanted: 400}})[0]
		h.ApplyGrant(local(start), local(start), granted)
		now := start + wait
		for at := start; at < now; at += 5 * time.Millisecond {
			al.Expire(at)
		}
		used := al.HandleReport(now, "other", "1", 2, []*controlpb.TokenDemand{{Team: teamName, Wanted: 1000}})[0].Tokens
		for h.Take(local(now), teamName) {
			used++
		}
		if granted.Tokens != 400 || used > 1000+5 {
			t.Errorf("after %v: %d tokens used in 5 ms, rate 1000, burst 1000", wait, used)
		}
	}
}

// TestNewStreamKeepsHeldTokens guards against tokens that are granted a second time
// because their holder reports on a new stream.
func TestNewStreamKeepsHeldTokens(t *testing.T) {
	al, h := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig())
	al.StartLeading(0, nil)
	al.SetTeam(time.Hour, teamName, 100, 100)
	demand := &controlpb.TokenDemand{Team: teamName, Wanted: 100}
	h.ApplyGrant(time.Hour, time.Hour, al.HandleReport(time.Hour, "p", "1", 1, []*controlpb.TokenDemand{demand})[0])
	h.AddWaiting(teamName, 200)
	h.StartStream(time.Hour)
	al.HandleReport(time.Hour, "p", "1", 2, h.Report(time.Hour))
	later := time.Hour + 2*time.Second
	if more := al.HandleReport(later, "p", "1", 2, h.Report(later))[0].Tokens; more != 0 {
		t.Errorf("%d tokens granted while all 100 of the burst are held", more)
	}
}

// TestExpiredTokensAreNotReturned guards against a report that arrives after some of
// its returned tokens have expired: they may have been granted again already.
func TestExpiredTokensAreNotReturned(t *testing.T) {
	a := newAccount(0, 50)
	a.addGrant(2*time.Second, 50)
	if expired := a.expire(3*time.Second, 2625*time.Millisecond); expired != 50 {
		t.Fatalf("%d tokens expired, want 50", expired)
	}
	if returned := a.applyReport(50, 50); returned != 0 || a.outstanding() != 0 {
		t.Errorf("%d tokens came back, %d are outstanding", returned, a.outstanding())
	}
}

// TestTakeDoesNotAllocate guards against allocations on the admission path.
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
