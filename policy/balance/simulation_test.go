package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Figures of the simulated servers: replicas with a few slots and a short queue, one in each data centre. Half of the
// nodes are in the first data centre.
const (
	slots          = 4
	queueLimit     = 32
	serviceTime    = 20 * time.Millisecond
	hop            = 2 * time.Millisecond
	otherPlaceCost = 4 * time.Millisecond
	courseLength   = 12 * time.Second
	window         = 200 * time.Millisecond
	maxTries       = 3
	// redirectWait is the wait at which a server's node sends a statement on: a tenth of an objective of 250 ms.
	redirectWait = 25 * time.Millisecond
)

// server runs statements in its slots, keeps others waiting, and sheds what is beyond its queue.
type server struct {
	// slowness is a factor of the service time, failing the fraction of statements that it fails at once.
	slowness, failing float64
	running           int
	queue             []statement
	arrivals          []int
	asked, shed       int
}

func (s *server) wait() time.Duration {
	waiting := max(0, s.running+len(s.queue)+1-slots)
	return time.Duration(float64(waiting) / slots * s.slowness * float64(serviceTime))
}

type statement struct {
	node   int
	sentAt time.Duration
	tried  []int
}

// ownAnswers is what a node knows of a server from its own statements.
type ownAnswers struct {
	SuccessRate
	inFlight  int
	latency   time.Duration
	latencyAt time.Duration
}

func (a *ownAnswers) current(now time.Duration) time.Duration {
	const fadeTime, unused = 720 * time.Millisecond, 5 * time.Millisecond
	if a.latencyAt == 0 {
		return unused
	}
	return unused + time.Duration(math.Exp(-float64(now-a.latencyAt)/float64(fadeTime))*float64(a.latency-unused))
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// course is one simulation of nodes that read from the servers of a group.
type course struct {
	random  *rand.Rand
	servers []*server
	nodes   [][]ownAnswers
	// weighs is set if nodes weigh servers by the statements that they run, redirects if statements are sent on.
	weighs, redirects bool
	perSecond         float64
	latencies         []time.Duration
	now               time.Duration
	events            events
}

func newCourse(nodes int, load float64, now bool, servers ...*server) *course {
	c := &course{random: rand.New(rand.NewPCG(1, 2)), servers: servers, weighs: now, redirects: now}
	for range nodes {
		c.nodes = append(c.nodes, make([]ownAnswers, len(servers)))
	}
	for _, s := range servers {
		c.perSecond += load * slots / (s.slowness * serviceTime.Seconds())
		s.arrivals = make([]int, courseLength/window)
	}
	c.arrive()
	for c.events[0].at < courseLength {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	return c
}

func (c *course) after(d time.Duration, run func()) {
	heap.Push(&c.events, event{c.now + d, run})
}

func (c *course) arrive() {
	c.after(time.Duration(c.random.ExpFloat64()/c.perSecond*float64(time.Second)), func() {
		c.try(statement{node: c.random.IntN(len(c.nodes)), sentAt: c.now})
		c.arrive()
	})
}

func (c *course) choose(st statement) int {
	best, bestCost := -1, 0.0
	for i := range c.servers {
		a := &c.nodes[st.node][i]
		cost := float64(time.Duration(a.inFlight+1) * a.current(c.now))
		if place := max(0, st.node%4-1); place != i {
			cost += float64(otherPlaceCost)
		}
		if c.weighs {
			cost /= a.Rate(c.now)
		}
		if !slices.Contains(st.tried, i) && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}

func (c *course) try(st statement) {
	i := c.choose(st)
	s, a := c.servers[i], &c.nodes[st.node][i]
	a.inFlight++
	if c.redirects && len(st.tried) == 0 && s.wait() > redirectWait {
		c.again(st, i)
		return
	}
	s.asked++
	s.arrivals[c.now/window]++
	switch {
	case c.random.Float64() < s.failing:
		c.fail(st, i)
	case s.running < slots:
		c.start(st, i)
	case len(s.queue) < queueLimit:
		s.queue = append(s.queue, st)
	default:
		s.shed++
		c.fail(st, i)
	}
}

// fail answers a statement that was not run.
func (c *course) fail(st statement, i int) {
	a := &c.nodes[st.node][i]
	if c.weighs {
		a.Record(c.now, false)
	} else {
		c.recordLatency(a, 2*hop)
	}
	c.again(st, i)
}

// again tries a statement at another server.
func (c *course) again(st statement, i int) {
	c.nodes[st.node][i].inFlight--
	st.tried = append(slices.Clone(st.tried), i)
	if len(st.tried) < maxTries {
		c.after(2*hop, func() { c.try(st) })
	}
}

func (c *course) start(st statement, i int) {
	s := c.servers[i]
	s.running++
	c.after(time.Duration(c.random.ExpFloat64()*s.slowness*float64(serviceTime)), func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			c.start(next, i)
		}
		a := &c.nodes[st.node][i]
		a.inFlight--
		a.Record(c.now, true)
		c.recordLatency(a, c.now-st.sentAt)
		c.latencies = append(c.latencies, c.now-st.sentAt)
	})
}

func (c *course) recordLatency(a *ownAnswers, latency time.Duration) {
	weight := 0.2
	if latency > 2*a.current(c.now) {
		weight = 0.4
	}
	a.latency = a.current(c.now) + time.Duration(weight*float64(latency-a.current(c.now)))
	a.latencyAt = c.now
}

// busiest returns how many statements the busiest server received, against the mean, on average over the windows.
func (c *course) busiest() float64 {
	sum := 0.0
	for w := range c.servers[0].arrivals {
		most, total := 0, 0
		for _, s := range c.servers {
			most, total = max(most, s.arrivals[w]), total+s.arrivals[w]
		}
		sum += float64(most*len(c.servers)) / float64(max(1, total))
	}
	return sum / float64(len(c.servers[0].arrivals))
}

func (c *course) shed() int {
	total := 0
	for _, s := range c.servers {
		total += s.shed
	}
	return total
}

func (c *course) median() time.Duration {
	slices.Sort(c.latencies)
	return c.latencies[len(c.latencies)/2]
}

func equalServers() []*server {
	return []*server{{slowness: 1}, {slowness: 1}, {slowness: 1}}
}

var fleetSizes = []int{30, 100, 300}

// Guards against servers that are overrun in turns although all are equal, and against reads that wait at one server
// while others idle.
func TestEqualServersAreLoadedEvenly(t *testing.T) {
	shedBefore, shedAfter := 0, 0
	for _, nodes := range fleetSizes {
		before := newCourse(nodes, 0.95, false, equalServers()...)
		after := newCourse(nodes, 0.95, true, equalServers()...)
		t.Logf("%d nodes: busiest %.2f, %d shed, median %s; before %.2f, %d, %s",
			nodes, after.busiest(), after.shed(), after.median(), before.busiest(), before.shed(), before.median())
		if after.busiest() > 1.3 {
			t.Errorf("%d nodes: the busiest server gets %.2f of the mean", nodes, after.busiest())
		}
		if after.median() >= before.median() {
			t.Errorf("%d nodes: the median is %s, before %s", nodes, after.median(), before.median())
		}
		shedBefore, shedAfter = shedBefore+before.shed(), shedAfter+after.shed()
	}
	if 2*shedAfter > shedBefore {
		t.Errorf("%d statements were shed, before %d", shedAfter, shedBefore)
	}
}

// Guards against a server that fails a part of its statements at once, while its health checks succeed, and is sent
// more than the others for it.
func TestFailingServerIsLeftInProportion(t *testing.T) {
	for _, nodes := range fleetSizes {
		share := func(now bool) float64 {
			servers := equalServers()
			servers[2].failing = 0.45
			newCourse(nodes, 0.6, now, servers...)
			total := servers[0].asked + servers[1].asked + servers[2].asked
			return float64(servers[2].asked) / float64(total)
		}
		before, after := share(false), share(true)
		t.Logf("%d nodes: the failing server gets %.2f of the statements, before %.2f", nodes, after, before)
		if after > 1.0/3 || after < 0.1 || after >= before {
			t.Errorf("%d nodes: the failing server gets %.2f of the statements, before %.2f", nodes, after, before)
		}
	}
}

// Guards against a slow server that is overrun because nodes learn of its queue too late.
func TestSlowServerShedsLess(t *testing.T) {
	shedBefore, shedAfter := 0, 0
	for _, nodes := range fleetSizes {
		run := func(now bool) *course {
			servers := equalServers()
			servers[2].slowness = 3
			return newCourse(nodes, 0.95, now, servers...)
		}
		before, after := run(false), run(true)
		t.Logf("%d nodes: %d shed, median %s; before %d, %s", nodes, after.shed(), after.median(), before.shed(), before.median())
		if after.median() >= before.median() {
			t.Errorf("%d nodes: the median is %s, before %s", nodes, after.median(), before.median())
		}
		shedBefore, shedAfter = shedBefore+before.shed(), shedAfter+after.shed()
	}
	if 2*shedAfter > shedBefore {
		t.Errorf("%d statements were shed, before %d", shedAfter, shedBefore)
	}
}
