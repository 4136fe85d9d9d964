package rate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// Guards against refusals of a team that is inside its rate, because its few tokens lie
// at nodes without callers or are withheld for nodes that are connected. Callers of the
// small team reach one of many nodes at random, each node rarely (litbrot-ops-grown
// quiet-1).
func TestSmallTeamOnManyNodes(t *testing.T) {
	const (
		nodes             = 80
		rate              = 8.0
		requestsPerSecond = 5.0
		maxWait           = 100 * time.Millisecond
		step              = 5 * time.Millisecond
		length            = 120 * time.Second
		// fillTime is the time in which the bucket fills.
		fillTime = 10 * time.Second
	)
	sim := newManyNodesSimulation(nodes, rate)
	random := rand.New(rand.NewSource(1))
	bound := newUsageBound(rate, rate)
	bound.at = sim.now
	for end := sim.now + fillTime; sim.now < end; {
		sim.now += step
		sim.advance(maxWait)
	}
	next := sim.now
	requested, refused := 0, 0
	for end := sim.now + length; sim.now < end; {
		sim.now += step
		sim.advance(maxWait)
		for next <= sim.now {
			next += time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second))
			if bound.advance(sim.now); bound.level < 1 {
				continue
			}
			bound.take(sim.now)
			requested++
			sim.request(random.Intn(nodes))
		}
	}
	refused = sim.refused
	if refused*1000 > requested {
		t.Errorf("%d of %d requests inside the rate were refused, the target is 1 in 1,000", refused, requested)
	}
}

// manyNodesSimulation runs an allocator with many holders whose requests wait for a token.
type manyNodesSimulation struct {
	*lockstepSimulation
	names      []string
	waiting    map[string][]time.Duration
	reportedAt map[string]time.Duration
	refused    int
}

func newManyNodesSimulation(nodes int, rate float64) *manyNodesSimulation {
	sim := &manyNodesSimulation{waiting: map[string][]time.Duration{}, reportedAt: map[string]time.Duration{}}
	for i := range nodes {
		sim.names = append(sim.names, fmt.Sprintf("n%02d", i))
	}
	sim.lockstepSimulation = newLockstepSimulation(sim.names...)
	sim.allocator.SetTeam(sim.now, "melt", rate, rate)
	for i, name := range sim.names {
		sim.reportedAt[name] = sim.now - reportPeriod*time.Duration(i)/time.Duration(nodes)
	}
	return sim
}

func (sim *manyNodesSimulation) request(node int) {
	name := sim.names[node]
	if len(sim.waiting[name]) > 0 || !sim.holders[name].Take(sim.now, "melt") {
		sim.waiting[name] = append(sim.waiting[name], sim.now)
		sim.holders[name].AddWaiting("melt", 1)
	}
}

// advance lets nodes report that are due, delivers revocations and ends waits.
func (sim *manyNodesSimulation) advance(maxWait time.Duration) {
	sim.allocator.Expire(sim.now)
	for _, name := range sim.names {
		h := sim.holders[name]
		if sim.now-sim.reportedAt[name] >= reportPeriod || h.Urgent(sim.now) {
			sim.reportedAt[name] = sim.now
			sim.report(name, h)
		}
	}
	for _, r := range sim.allocator.TakeRevocations(sim.now) {
		for _, g := range r.Grants {
			sim.holders[r.Proxy].ApplyGrant(sim.now, sim.now, g)
		}
	}
	for _, name := range sim.names {
		sim.serve(name, maxWait)
	}
}

func (sim *manyNodesSimulation) serve(name string, maxWait time.Duration) {
	h, queue := sim.holders[name], sim.waiting[name]
	for len(queue) > 0 {
		switch {
		case h.Take(sim.now, "melt"):
		case sim.now-queue[0] >= maxWait:
			sim.refused++
		default:
			sim.waiting[name] = queue
			return
		}
		h.AddWaiting("melt", -1)
		queue = queue[1:]
	}
	delete(sim.waiting, name)
}

// Guards against reports that repeat all teams of which the node holds tokens, and against
// an allocator that forgets a node's demand because its reports do not repeat it. A node
// reports many times a second for one team.
func TestReportsContainChangesOnly(t *testing.T) {
	sim := newLockstepSimulation("a", "b")
	h := sim.holders["a"]
	for range 8 {
		sim.step(10, "a", "b")
	}
	sim.report("a", h)
	if d := h.Report(sim.now); len(d) != 0 {
		t.Errorf("nothing has changed, reported %v", d)
	}
	wanted := sim.allocator.teams["melt"].accounts["a"].wanted
	for range 2 * int(demandTimeout/reportPeriod) {
		sim.now += reportPeriod
		sim.allocator.HandleReport(sim.now, "a", "a", sim.streams["a"], nil)
		sim.allocator.Expire(sim.now)
	}
	if got := sim.allocator.teams["melt"].accounts["a"].wanted; got != wanted || wanted == 0 {
		t.Errorf("the allocator has a demand of %d tokens, reported were %d", got, wanted)
	}
}
