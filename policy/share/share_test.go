package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestSharesStayWithinLimit guards against more connections to an upstream than it
// accepts, under late and lost messages, lost streams, restarts, processes without
// control, slow and fast clocks, and changes of the leader and of the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint32Range(0, 30).Draw(t, "limit")
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 4, limit)
		sim.slowMessages = true
		for _, n := range sim.nodes {
			n.clockRate = rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "speed")
		}
		sim.electLeader()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			fault := rapid.SampledFrom(faultNames).Draw(t, "fault")
			faults[fault](sim, sim.rnd.Intn(len(sim.nodes)))
			sim.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if sim.failure != "" {
				t.Fatalf("%s, after %s", sim.failure, fault)
			}
		}
	})
}

var faultNames = []string{"none", "demand", "demand", "demand", "toggle partition", "toggle partition", "restart",
	"leave zombie process", "lose stream", "change leader", "limit", "remove proxy"}

var faults = map[string]func(sim *simulation, target int){
	"none":   func(*simulation, int) {},
	"demand": func(sim *simulation, i int) { sim.nodes[i].wanted = sim.rnd.Intn(40) },
	"toggle partition": func(sim *simulation, i int) {
		sim.nodes[i].partitioned = !sim.nodes[i].partitioned
		sim.nodes[i].disconnect(sim.now)
	},
	"restart": func(sim *simulation, i int) { sim.restart(i, false) },
	// Only once the allocator knows the process, see StartLeading.
	"leave zombie process": func(sim *simulation, i int) { sim.restart(i, sim.allocator.reconciled) },
	"lose stream":          func(sim *simulation, i int) { sim.nodes[i].disconnect(sim.now) },
	"limit":                func(sim *simulation, _ int) { sim.setLimit(uint32(sim.rnd.Intn(30))) },
	"remove proxy": func(sim *simulation, i int) {
		sim.allocator.RemoveProxy(sim.now, sim.nodes[i].name)
		sim.nodes[i].disconnect(sim.now)
	},
	// A registered name stands for one running process, see StartLeading.
	"change leader": func(sim *simulation, _ int) {
		sim.zombies = nil
		sim.electLeader()
	},
}

// setLimit changes the limit; a process may keep a transaction open under an
// earlier share for as long as it reports it.
func (sim *simulation) setLimit(limit uint32) {
	if sim.now < sim.earlierLimitUntil {
		return
	}
	sim.earlierLimit, sim.earlierLimitUntil = sim.limit, sim.now+6*time.Second
	sim.limit = limit
	sim.allocator.SetUpstream(sim.now, address, limit)
}

// TestEveryProxyGetsAConnection guards against a proxy with demand that has no
// connection while another has two, and against connections that stay unused.
func TestEveryProxyGetsAConnection(t *testing.T) {
	sim := newSimulation(1, 11, 25)
	sim.electLeader()
	sim.nodes[0].wanted = 40
	sim.run(time.Second)
	if alone := sim.nodes[0].open; alone != 23 {
		t.Errorf("the only proxy with demand has %d of 23 connections", alone)
	}
	start := sim.now
	for _, n := range sim.nodes[1:] {
		n.wanted = 2
	}
	worst := time.Duration(0)
	for _, n := range sim.nodes {
		for n.open == 0 && sim.now-start < 5*time.Second {
			sim.run(timeStep)
		}
		worst = max(worst, sim.now-start)
	}
	sim.run(3 * time.Second)
	sum := 0
	for _, n := range sim.nodes {
		sum += n.open
		if n.open < 1 {
			t.Errorf("%s has no connection", n.name)
		}
	}
	t.Logf("each of 10 proxies has its first connection after %v at most; transactions last up to 600 ms", worst)
	if sum != 23 || sim.failure != "" {
		t.Errorf("%d of 23 connections are used; %s", sum, sim.failure)
	}
}

// TestSharesSurviveLeaderChange guards against connections that close because one
// proxy is dead while the leader changes.
func TestSharesSurviveLeaderChange(t *testing.T) {
	sim := newSimulation(1, 4, 22)
	for _, n := range sim.nodes {
		n.wanted = 5
	}
	sim.electLeader()
	sim.run(3 * time.Second)
	sim.nodes[3].partitioned = true
	sim.electLeader()
	for range 4000 {
		sim.run(timeStep)
		for _, n := range sim.nodes[:3] {
			if n.open < 5 {
				t.Fatalf("%s has %d of 5 connections %v after the change", n.name, n.open, sim.now-3*time.Second)
			}
		}
	}
}

// TestLeavingProxyReleasesShares guards against proxies that are restarted in turn and
// find all connections lent to the earlier processes.
func TestLeavingProxyReleasesShares(t *testing.T) {
	const limit, wanted, now = 10, 8, time.Second
	al := NewAllocator(DefaultConfig())
	al.SetUpstream(now, "u", limit)
	demand := []*controlpb.ShareDemand{{Upstream: "u", Wanted: wanted}}
	first := al.HandleReport(now, "a", "1", 1, demand)
	if got := first[0].Connections; got != wanted {
		t.Fatalf("the only proxy got %d connections, want %d", got, wanted)
	}
	al.ReleaseProxy(now, "a")
	if again := al.HandleReport(now, "a", "2", 3, demand); len(again) != 1 || again[0].Connections != wanted {
		t.Errorf("the restarted proxy got %v, want %d connections", again, wanted)
	}
}
