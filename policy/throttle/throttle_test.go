package throttle

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
	"google.golang.org/protobuf/testing/protocmp"
)

// Users allow this much above rate x window + burst in any window.
const (
	window        = 5 * time.Second
	allowedExcess = 0.1
	allowedSlack  = 20
)

func checkUse(t *testing.T, what string, team *simulatedTeam) {
	t.Helper()
	limit := (1+allowedExcess)*(team.rate*window.Seconds()+team.burst) + allowedSlack
	if most := team.mostInWindow(window); float64(most) > limit {
		t.Errorf("%s: %d requests of %s were admitted in %s, the bound is %.0f", what, most, team.name, window, limit)
	}
}

func smallTeam() *simulatedTeam {
	return &simulatedTeam{name: "small", rate: 8, burst: 8, perSecond: 5}
}

// Load pattern: callers of a small team reach each of hundreds of nodes rarely. Guards against
// refusals of a team that is inside its rate.
func TestSmallTeamOnManyNodes(t *testing.T) {
	team := smallTeam()
	f := newSimulatedFleet(300, team)
	f.run(10 * time.Second)
	bound := newBucket(f.now, team.rate, team.burst, team.burst)
	team.perSecond = 0
	wrongful, asked := 0, 0
	for end, next := f.now+2*time.Minute, f.now; f.now < end; {
		f.run(slice)
		for next <= f.now {
			next += time.Duration(f.random.ExpFloat64() / 5 * float64(time.Second))
			if bound.refill(f.now); bound.level < 1 {
				continue
			}
			bound.charge(1, 0)
			asked++
			if f.nodes[f.random.Intn(300)].gate.Admit(f.now, team.name, team.rate, team.burst) != Admitted {
				wrongful++
			}
		}
	}
	if wrongful*1000 > asked {
		t.Errorf("%d of %d requests inside the rate were refused, the target is 1 in 1,000", wrongful, asked)
	}
	team.perSecond = 5
	if baseline := equalSplitRefusals(1, 300, asked, team); baseline <= wrongful {
		t.Errorf("an equal split refuses %d, no more", baseline)
	}
}

// Load pattern: a team uses a multiple of its rate at hundreds of nodes, suddenly and for
// seconds. Guards against use above the allowed bound, and against one that starves the team of
// its own rate.
func TestLoudTeamIsLimited(t *testing.T) {
	for _, c := range []struct {
		nodes       int
		rate, times float64
	}{{300, 768, 5}, {300, 100, 5}, {300, 20, 5}, {300, 20, 10}, {11, 130, 5}, {11, 130, 10}, {11, 8, 10}, {84, 60, 5}} {
		team := &simulatedTeam{name: "loud", rate: c.rate, burst: c.rate, perSecond: 0.6 * c.rate}
		quiet := &simulatedTeam{name: "quiet", rate: 20, burst: 20, perSecond: 10}
		f := newSimulatedFleet(c.nodes, team, quiet)
		f.run(6 * time.Second)
		team.perSecond = c.times * c.rate
		f.run(10 * time.Second)
		checkUse(t, "loud", team)
		team.clearCounts()
		f.run(10 * time.Second)
		checkUse(t, "loud for long", team)
		if got := float64(len(team.admittedAt)); got < 0.85*10*c.rate {
			t.Errorf("%d nodes, rate %.0f, %.0f times: %.0f requests were admitted in 10 s", c.nodes, c.rate, c.times, got)
		}
		if quiet.refused*100 > quiet.asked {
			t.Errorf("%d of %d requests of the quiet team were refused", quiet.refused, quiet.asked)
		}
		team.perSecond = 0.6 * c.rate
		f.run(3 * time.Second)
		team.clearCounts()
		f.run(10 * time.Second)
		if team.refused*50 > team.asked {
			t.Errorf("%d of %d requests were refused after the team was back at its rate", team.refused, team.asked)
		}
	}
}

// Load pattern: a team that is loud in bursts of a second. Guards against a bucket whose debt is
// forgotten between them.
func TestLoudBurstsAreCharged(t *testing.T) {
	team := &simulatedTeam{name: "loud", rate: 100, burst: 100}
	f := newSimulatedFleet(300, team)
	for range 20 {
		team.perSecond = 500
		f.run(time.Second)
		team.perSecond = 0
		f.run(time.Second)
	}
	checkUse(t, "bursts", team)
}

// Load pattern: the leader of 300 nodes is lost for 1 s, the nodes return to the next one within
// 1 s, and one node never does (litbrot-ops-large scale-1). Guards against refusals of teams
// inside their rates, and against messages that depend on the load.
func TestChangeOfLeaderRefusesNothing(t *testing.T) {
	var teams []*simulatedTeam
	for _, rate := range []float64{8, 20, 20, 100, 400} {
		teams = append(teams, &simulatedTeam{name: string(rune('a' + len(teams))), rate: rate, burst: rate, perSecond: rate / 1.6})
	}
	f := newSimulatedFleet(300, teams...)
	f.run(5 * time.Second)
	f.messages = 0
	f.run(time.Second)
	if limit := 2 * 300 * int(time.Second/reportPeriod) * 3 / 2; f.messages > limit {
		t.Errorf("%d messages a second, the limit is %d", f.messages, limit)
	}
	for _, team := range teams {
		team.clearCounts()
	}
	f.loseLeader()
	f.run(time.Second)
	f.electLeader(time.Second)
	f.nodes[7].returnsAt = never
	f.run(6 * time.Second)
	for _, team := range teams {
		if team.refused*100 > team.asked {
			t.Errorf("team %s: %d of %d requests were refused", team.name, team.refused, team.asked)
		}
		checkUse(t, "change of leader", team)
	}
}

// Load pattern: part of the nodes is cut off from the leader while a team uses four times its rate
// everywhere. Guards against the connected nodes using the whole rate beside the others, and
// against nodes that go on for ever.
func TestDisconnectedNodesStayWithinRate(t *testing.T) {
	for _, c := range []struct{ nodes, cut int }{{4, 2}, {4, 3}, {84, 60}} {
		team := &simulatedTeam{name: "melt", rate: 100, burst: 100, perSecond: 400}
		f := newSimulatedFleet(c.nodes, team)
		f.run(10 * time.Second)
		team.clearCounts()
		for _, n := range f.nodes[:c.cut] {
			n.cut = true
		}
		f.run(window)
		checkUse(t, "nodes cut off", team)
		for _, n := range f.nodes {
			n.cut = true
		}
		f.run(answerTTL)
		team.clearCounts()
		f.run(time.Second)
		if got := len(team.admittedAt); got != 0 {
			t.Errorf("%d requests were admitted after %s without an answer", got, answerTTL)
		}
	}
}

// Load pattern: nodes are cut off and come back while a team is inside its rate. Guards against
// use that is charged both while it is expected and when it is reported.
func TestReturningNodesAreChargedOnce(t *testing.T) {
	team := &simulatedTeam{name: "melt", rate: 100, burst: 100, perSecond: 80}
	f := newSimulatedFleet(84, team)
	f.run(10 * time.Second)
	team.clearCounts()
	for range 5 {
		for _, n := range f.nodes[:40] {
			n.cut = true
		}
		f.run(2 * time.Second)
		for _, n := range f.nodes {
			n.cut = false
		}
		f.run(2 * time.Second)
	}
	if team.refused*50 > team.asked {
		t.Errorf("%d of %d requests inside the rate were refused", team.refused, team.asked)
	}
	checkUse(t, "nodes return", team)
}

// Load pattern: the leader is lost for 2 s while teams send as usual. Guards against callers that
// are refused for lack of a leader.
func TestUseContinuesWithoutLeader(t *testing.T) {
	team := &simulatedTeam{name: "melt", rate: 100, burst: 100, perSecond: 80}
	f := newSimulatedFleet(2, team)
	f.run(10 * time.Second)
	f.loseLeader()
	team.clearCounts()
	f.run(2 * time.Second)
	if admitted := team.asked - team.refused; admitted < team.asked*9/10 {
		t.Errorf("%d of %d requests were admitted", admitted, team.asked)
	}
}

// Load pattern: a new leader while a team uses four times its rate and a node is gone. Guards
// against a leader that admits nothing until all nodes have reported, and against one that
// admits a burst which was used under the earlier one.
func TestNewLeaderAdmitsRateAtOnce(t *testing.T) {
	team := &simulatedTeam{name: "melt", rate: 100, burst: 100, perSecond: 400}
	f := newSimulatedFleet(3, team)
	f.run(10 * time.Second)
	f.loseLeader()
	f.electLeader(0)
	f.nodes[2].cut = true
	team.clearCounts()
	f.run(2 * time.Second)
	expected := team.rate * 2
	if got := float64(len(team.admittedAt)); got < 0.8*expected || got > 1.1*(expected+team.burst)+20 {
		t.Errorf("%.0f requests were admitted in 2 s", got)
	}
}

// Load pattern: leaders change while a team uses five times its rate. Guards against a full
// burst from each new leader.
func TestLoudTeamStaysLimitedAcrossLeaders(t *testing.T) {
	team := &simulatedTeam{name: "loud", rate: 100, burst: 100, perSecond: 500}
	f := newSimulatedFleet(84, team)
	f.run(6 * time.Second)
	team.clearCounts()
	for range 3 {
		f.loseLeader()
		f.run(time.Second)
		f.electLeader(500 * time.Millisecond)
		f.run(2 * time.Second)
	}
	checkUse(t, "three leaders", team)
}

// Guards against nodes that go on without a leader for longer than limits may be unknown.
func TestNothingIsAdmittedWithoutLeader(t *testing.T) {
	g := NewGate(func() {})
	now := time.Hour
	if v := g.Admit(now, "a", 10, 10); v != NoLeader {
		t.Errorf("before the first answer: %s", v)
	}
	g.RecordAnswer(now, true)
	if v := g.Admit(now+answerTTL, "a", 10, 10); v != Admitted {
		t.Errorf("just after an answer: %s", v)
	}
	if v := g.Admit(now+answerTTL+1, "a", 10, 10); v != NoLeader {
		t.Errorf("long after an answer: %s", v)
	}
}

// Guards against a single node that admits more than the team's rate and burst while the leader
// does not know of it.
func TestOneNodeKeepsTheLimitsByItself(t *testing.T) {
	g := NewGate(func() {})
	now := time.Hour
	g.RecordAnswer(now, true)
	admitted := 0
	for range 50 {
		if g.Admit(now, "a", 10, 20) == Admitted {
			admitted++
		}
		// The leader answers, and has not seen the use of other nodes yet.
		now++
		g.RecordAnswer(now, true)
	}
	if admitted != 20 {
		t.Errorf("%d of 50 requests were admitted at once, the burst is 20", admitted)
	}
	if v := g.Admit(now, "a", 10, 20); v != LimitedHere {
		t.Errorf("the next request: %s", v)
	}
	g.Refund("a")
	if v := g.Admit(now, "a", 10, 20); v != Admitted {
		t.Errorf("after a request that has not run: %s", v)
	}
}

// Load pattern: a team suddenly uses many times its rate while a node is cut off. Guards against a
// node that admits a burst of its own which the leader cannot see, and against one that refuses
// what it used to admit.
func TestUseSinceTheNewestAnswerIsBounded(t *testing.T) {
	const usual = 20
	g := NewGate(func() {})
	g.SetFleetSize(300)
	now := time.Hour
	g.RecordAnswer(now, true)
	for range 10 {
		for range usual / 4 {
			if v := g.Admit(now, "a", 1000, 1000); v != Admitted {
				t.Fatalf("a usual request: %s", v)
			}
		}
		now += reportPeriod
		g.Report(now)
		g.RecordAnswer(now, true)
	}
	admitted := 0
	for range 500 {
		now += 4 * time.Millisecond
		if g.Admit(now, "a", 1000, 1000) == Admitted {
			admitted++
		}
	}
	// In 2 s, at least what it used to and at most twice as much beside the base.
	if most := int(unansweredBase) + 2*2*usual; admitted < 2*usual || admitted > most {
		t.Errorf("%d requests were admitted in 2 s without an answer, used to %d/s; the most is %d", admitted, usual, most)
	}
	g.RecordAnswer(now, true)
	if v := g.Admit(now, "a", 1000, 1000); v != Admitted {
		t.Errorf("after an answer: %s", v)
	}
}

// Guards against use that is lost when a stream ends before the leader has answered, and against
// use that is charged twice although it has.
func TestUnansweredUseIsReportedAgain(t *testing.T) {
	g := NewGate(func() {})
	now := time.Hour
	g.RecordAnswer(now, true)
	g.Admit(now, "a", 10, 10)
	g.Report(now)
	g.RecordAnswer(now, true)
	g.Admit(now, "a", 10, 10)
	g.Admit(now, "a", 10, 10)
	g.Report(now)
	g.StartStream()
	want := []*controlpb.TeamUsage{{Team: "a", AdmittedTotal: 2, ArrivedTotal: 2}}
	if diff := cmp.Diff(want, g.Report(now), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
	g.RecordAnswer(now, true)
	g.StartStream()
	if got := g.Report(now); len(got) != 0 {
		t.Errorf("answered use was reported again: %v", got)
	}
}

// Guards against reports that repeat all teams.
func TestReportsContainChangesOnly(t *testing.T) {
	g := NewGate(func() {})
	g.RecordAnswer(0, true)
	for _, name := range []string{"a", "b"} {
		g.Admit(0, name, 10, 10)
	}
	if got := g.Report(0); len(got) != 2 {
		t.Errorf("first report: %v", got)
	}
	g.Admit(0, "b", 10, 10)
	if got := g.Report(0); len(got) != 1 || got[0].Team != "b" {
		t.Errorf("second report: %v", got)
	}
}

// Guards against counts of an earlier stream that arrive late and are charged again.
func TestLateReportOfEarlierStreamIsIgnored(t *testing.T) {
	now := time.Hour
	l := NewLimiter(now)
	l.SetTeam(now, "a", 10, 100)
	usage := func(total int64) []*controlpb.TeamUsage {
		return []*controlpb.TeamUsage{{Team: "a", AdmittedTotal: total, ArrivedTotal: uint64(total)}}
	}
	l.Report(now, "n", 2, nil)
	l.Report(now, "n", 2, usage(10))
	before := l.teams["a"].level
	l.Report(now, "n", 1, usage(40))
	if got := l.teams["a"].level; got != before {
		t.Errorf("the late report was charged: %.0f tokens before, %.0f after", before, got)
	}
}

// Guards against a second burst for a team that is removed and set again.
func TestRemovedTeamKeepsItsBucket(t *testing.T) {
	now := time.Hour
	l := NewLimiter(now)
	l.SetTeam(now, "a", 10, 100)
	l.Report(now, "n", 1, nil)
	l.Report(now, "n", 1, []*controlpb.TeamUsage{{Team: "a", AdmittedTotal: 70, ArrivedTotal: 70}})
	l.RemoveTeam("a")
	l.Step(now + time.Second)
	l.SetTeam(now+time.Second, "a", 10, 100)
	if got := l.teams["a"].level; got > 20 {
		t.Errorf("%.0f tokens after the team was set again", got)
	}
}

// Guards against a lowered limit that binds late: the team goes on at its former rate.
func TestLoweredLimitBinds(t *testing.T) {
	team := &simulatedTeam{name: "a", rate: 100, burst: 100, perSecond: 60}
	f := newSimulatedFleet(84, team)
	f.run(6 * time.Second)
	team.rate, team.burst = 20, 20
	f.limiter.SetTeam(f.now, team.name, team.rate, team.burst)
	f.run(window)
	team.clearCounts()
	f.run(10 * time.Second)
	checkUse(t, "after the limit was lowered", team)
}
