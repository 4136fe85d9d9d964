package rate

import (
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
)

// TestLeaderChangeNearRateLimit guards against a new leader that drops the refill of the
// time without a leader: a team at 90 % of its rate then never makes up for that time.
func TestLeaderChangeNearRateLimit(t *testing.T) {
	for name, target := range map[string]func(time.Duration, *rand.Rand) int{
		"one of 11 proxies": func(time.Duration, *rand.Rand) int { return 3 },
		"spread over 11":    func(_ time.Duration, rnd *rand.Rand) int { return rnd.Intn(11) },
	} {
		sim := runScenario(scenario{name, target, 10 * time.Second}, 400, 400, 0.9, 100*time.Second, false)
		t.Logf("%s: refused %d of %d, overshoot %d", name, sim.refused, sim.refused+sim.served, sim.overshoot)
		if 1000*sim.refused > sim.refused+sim.served || sim.overshoot > 0 {
			t.Errorf("%s: refused %d of %d, overshoot %d", name, sim.refused, sim.refused+sim.served, sim.overshoot)
		}
	}
}

// TestBucketOfNewLeader guards against a new leader that assumes more refill than the
// reports prove.
func TestBucketOfNewLeader(t *testing.T) {
	quiet := &controlpb.TokenDemand{QuietMs: 1050}
	team := &controlpb.TokenDemand{Team: teamName, HeldAtStart: 10, UsedSinceGrant: 5, Rate: 40, Burst: 100, Wanted: 1000}
	old := &controlpb.TokenDemand{Team: teamName, HeldAtStart: 10, Rate: 20, Burst: 100, Wanted: 1000}
	used := &controlpb.TokenDemand{Team: teamName, UsedSinceGrant: 60, Rate: 40, Burst: 100, Wanted: 1000}
	for _, c := range []struct {
		name   string
		first  []*controlpb.TokenDemand
		second []*controlpb.TokenDemand
		want   float64
	}{
		{"refill since the last grant", []*controlpb.TokenDemand{quiet}, []*controlpb.TokenDemand{quiet, team}, 40},
		{"less the use since the last grant", []*controlpb.TokenDemand{quiet, used}, []*controlpb.TokenDemand{quiet, team}, 25},
		{"granted a moment ago", []*controlpb.TokenDemand{{QuietMs: 105}}, []*controlpb.TokenDemand{quiet, team}, 4},
		{"a proxy does not know", []*controlpb.TokenDemand{{}}, []*controlpb.TokenDemand{quiet, team}, 0},
		{"a proxy of an earlier release", nil, []*controlpb.TokenDemand{quiet, team}, 0},
		{"the limits have changed", []*controlpb.TokenDemand{quiet, old}, []*controlpb.TokenDemand{quiet, team}, 0},
	} {
		al := NewAllocator(DefaultConfig())
		al.StartLeading(time.Hour, []string{"first", "second"})
		al.SetTeam(time.Hour, teamName, 40, 100)
		al.HandleReport(time.Hour, "first", "1", 1, c.first)
		al.HandleReport(time.Hour, "second", "2", 2, c.second)
		tm := al.teams[teamName]
		if got := tm.bucket + float64(tm.accounts["second"].granted-10); got < c.want-1e-6 || got > c.want+1e-6 {
			t.Errorf("%s: %g tokens, want %g", c.name, got, c.want)
		}
	}
}

// TestLimitHoldsAcrossLeaders guards invariant 7 in cases that TestLimitHolds seldom
// reaches: processes old enough to report when they were last granted tokens, and leader
// changes after a time without a leader, in which proxies use or keep what they hold.
func TestLimitHoldsAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{5, 100, 500}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{5, 50, 300}).Draw(t, "burst")
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 3, rate, burst)
		sim.delay = func() time.Duration { return time.Duration(sim.rnd.Intn(20)) * time.Millisecond }
		for _, n := range sim.nodes {
			n.clockRate = rapid.SampledFrom([]float64{1 / 1.05, 1, 1.05}).Draw(t, "speed")
		}
		use := rapid.SampledFrom([]int{1, 5, 20, 200}).Draw(t, "use")
		run := func(name string, most int) {
			limit := time.Duration(rapid.IntRange(1, most).Draw(t, name)) * time.Millisecond
			sim.run(limit, func() { sim.takeOnEachProcess(use) })
		}
		sim.electLeader(rate, burst)
		run("start", 4000)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			fault := rapid.SampledFrom([]string{"none", "none", "hold tokens", "limits", "lose stream", "restart", "leave zombie process"}).Draw(t, "fault")
			faults[fault](sim, sim.rnd.Intn(len(sim.nodes)))
			run("before", 1000)
			if rapid.Bool().Draw(t, "keep") {
				sim.holdAllTokens(rapid.IntRange(1, 2500).Draw(t, "until"))
			}
			run("before loss", 60)
			sim.loseLeader()
			run("without leader", 2000)
			faults["change leader"](sim, 0)
			run("reconciling", 100)
			sim.takeAll()
			run("after", 50)
			sim.takeAll()
			if sim.overshoot > 0 {
				t.Fatalf("%d tokens above rate and burst at %v, after %s", sim.overshoot, sim.now, fault)
			}
		}
	})
}

// holdAllTokens makes all processes keep their tokens until the same moment.
func (sim *simulation) holdAllTokens(ms int) {
	for _, n := range sim.processes() {
		n.idleUntil = sim.now + time.Duration(ms)*time.Millisecond
	}
}

// TestTimeSinceGrantIsReportedUntilAnswered guards against an idle proxy whose first
// report the leader dropped and that reports no time since its last grant at the next
// leader change, and against a young process that reports one while an earlier process
// may hold tokens.
func TestTimeSinceGrantIsReportedUntilAnswered(t *testing.T) {
	h, al := NewHolder(DefaultConfig()), NewAllocator(DefaultConfig())
	h.StartStream(0)
	h.Report(0)
	for _, g := range al.HandleReport(0, "p", "1", 1, h.Report(0)) {
		h.ApplyGrant(0, 0, g)
	}
	h.StartStream(2 * time.Second)
	if d := h.Report(2 * time.Second); len(d) != 1 || d[0].QuietMs != 0 {
		t.Errorf("the young process reports %v", d)
	}
	h.StartStream(time.Minute)
	if d := h.Report(time.Minute); len(d) != 1 || d[0].QuietMs == 0 {
		t.Errorf("the proxy reports %v", d)
	}
}
