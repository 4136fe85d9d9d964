package share

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestSumOfShares guards against more connections to a server than it accepts, over
// late and lost messages, lost streams, restarts, processes without control, slow
// and fast clocks, changes of the leader and of the limit.
func TestSumOfShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint32Range(0, 30).Draw(t, "limit")
		w := newWorld(rapid.Int64().Draw(t, "seed"), 4, limit)
		w.slow = true
		for _, n := range w.nodes {
			n.speed = rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "speed")
		}
		w.lead()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			fault := rapid.SampledFrom(faultNames).Draw(t, "fault")
			faults[fault](w, w.rnd.Intn(len(w.nodes)))
			w.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			if w.failure != "" {
				t.Fatalf("%s, after %s", w.failure, fault)
			}
		}
	})
}

var faultNames = []string{"none", "demand", "demand", "demand", "cut", "cut", "restart",
	"leave a process behind", "lose stream", "change owner", "limit", "remove proxy"}

var faults = map[string]func(w *world, target int){
	"none":    func(*world, int) {},
	"demand":  func(w *world, i int) { w.nodes[i].wanted = w.rnd.Intn(40) },
	"cut":     func(w *world, i int) { w.nodes[i].cut = !w.nodes[i].cut; w.nodes[i].disconnect(w.now) },
	"restart": func(w *world, i int) { w.restart(i, false) },
	// Not before the owner knows the process: see Lead.
	"leave a process behind": func(w *world, i int) { w.restart(i, w.owner.settled) },
	"lose stream":            func(w *world, i int) { w.nodes[i].disconnect(w.now) },
	"limit":                  func(w *world, _ int) { w.setLimit(uint32(w.rnd.Intn(30))) },
	"remove proxy": func(w *world, i int) {
		w.owner.RemoveProxy(w.now, w.nodes[i].name)
		w.nodes[i].disconnect(w.now)
	},
	// Registered names stand for one living process each, see Lead.
	"change owner": func(w *world, _ int) {
		w.zombies = nil
		w.lead()
	},
}

// setLimit changes the limit; a process may keep a transaction open under an
// earlier share for as long as it reports it.
func (w *world) setLimit(limit uint32) {
	if w.now < w.earlierUntil {
		return
	}
	w.earlier, w.earlierUntil = w.limit, w.now+6*time.Second
	w.limit = limit
	w.owner.SetUpstream(w.now, address, limit)
}

// TestEveryProxyGetsOne guards against a proxy with demand that has no connection
// while another has two, and against connections that stay unused.
func TestEveryProxyGetsOne(t *testing.T) {
	w := newWorld(1, 11, 25)
	w.lead()
	w.nodes[0].wanted = 40
	w.run(time.Second)
	if alone := w.nodes[0].open; alone != 23 {
		t.Errorf("the only proxy with demand has %d of 23 connections", alone)
	}
	start := w.now
	for _, n := range w.nodes[1:] {
		n.wanted = 2
	}
	worst := time.Duration(0)
	for _, n := range w.nodes {
		for n.open == 0 && w.now-start < 5*time.Second {
			w.run(tick)
		}
		worst = max(worst, w.now-start)
	}
	w.run(3 * time.Second)
	sum := 0
	for _, n := range w.nodes {
		sum += n.open
		if n.open < 1 {
			t.Errorf("%s has no connection", n.name)
		}
	}
	t.Logf("each of 10 proxies has its first connection after %v at most; transactions last up to 600 ms", worst)
	if sum != 23 || w.failure != "" {
		t.Errorf("%d of 23 connections are used; %s", sum, w.failure)
	}
}

// TestLeaderChangeKeepsShares guards against connections that close because one
// proxy is dead while the leader changes.
func TestLeaderChangeKeepsShares(t *testing.T) {
	w := newWorld(1, 4, 22)
	for _, n := range w.nodes {
		n.wanted = 5
	}
	w.lead()
	w.run(3 * time.Second)
	w.nodes[3].cut = true
	w.lead()
	for range 4000 {
		w.run(tick)
		for _, n := range w.nodes[:3] {
			if n.open < 5 {
				t.Fatalf("%s has %d of 5 connections %v after the change", n.name, n.open, w.now-3*time.Second)
			}
		}
	}
}

// TestLeavingProxyFreesItsShare guards against proxies that are restarted in turn and
// find all connections lent to the processes before them.
func TestLeavingProxyFreesItsShare(t *testing.T) {
	const limit, wanted, now = 10, 8, time.Second
	o := NewAllocator(DefaultConfig())
	o.SetUpstream(now, "u", limit)
	demand := []*controlpb.ShareDemand{{Upstream: "u", Wanted: wanted}}
	first := o.HandleReport(now, "a", "1", 1, demand)
	if got := first[0].Connections; got != wanted {
		t.Fatalf("the only proxy got %d connections, want %d", got, wanted)
	}
	o.ReleaseProxy(now, "a")
	if again := o.HandleReport(now, "a", "2", 3, demand); len(again) != 1 || again[0].Connections != wanted {
		t.Errorf("the restarted proxy got %v, want %d connections", again, wanted)
	}
}
