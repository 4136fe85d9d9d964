package throttle

import (
	"fmt"
	"math/rand"
	"time"
)

const (
	// reportPeriod is the time between the regular reports of a node.
	reportPeriod = 250 * time.Millisecond
	// stepTime is the time between two ticks of the leader.
	stepTime = 100 * time.Millisecond
	// slice is the resolution of the simulation.
	slice = 5 * time.Millisecond
	// delay is the time that a message takes.
	delay = 5 * time.Millisecond
	// startedAt is the time at which a simulation starts.
	startedAt = time.Hour
)

// simulatedTeam is a team and its load.
type simulatedTeam struct {
	name        string
	rate, burst float64
	// perSecond is the number of requests that arrive, each at a random node.
	perSecond float64
	next      time.Duration
	asked     int
	refused   int
	// onArrival, if set, is called for each request.
	onArrival func(now time.Duration, admitted bool)
	// admittedAt holds the times of admitted requests.
	admittedAt []time.Duration
}

// simulatedNode is a node and its stream to the leader.
type simulatedNode struct {
	name      string
	gate      *Gate
	stream    uint64
	revision  uint64
	connected bool
	// cut nodes neither report nor get answers.
	cut    bool
	nextAt time.Duration
	// returnsAt is when the node connects to a new leader; a silent node never does.
	returnsAt time.Duration
}

// simulatedFleet runs one Limiter and many Gates in virtual time. Messages arrive in order
// after delay.
type simulatedFleet struct {
	now        time.Duration
	random     *rand.Rand
	limiter    *Limiter
	nodes      []*simulatedNode
	teams      []*simulatedTeam
	nextStep   time.Duration
	lastStream uint64
	queue      []queued
	messages   int
}

type queued struct {
	at  time.Duration
	run func()
}

func newSimulatedFleet(nodes int, teams ...*simulatedTeam) *simulatedFleet {
	f := &simulatedFleet{now: startedAt, random: rand.New(rand.NewSource(1)), teams: teams}
	for i := range nodes {
		n := &simulatedNode{name: fmt.Sprintf("n%d", i), gate: NewGate(func() {})}
		n.gate.SetFleetSize(nodes)
		n.gate.draw = func(limit uint32) uint32 { return uint32(f.random.Intn(int(limit))) }
		f.nodes = append(f.nodes, n)
	}
	for _, t := range teams {
		t.next = f.now
	}
	f.electLeader(0)
	return f
}

// electLeader starts a new leader. Nodes return to it at random within the given time.
func (f *simulatedFleet) electLeader(returnTime time.Duration) {
	f.limiter = NewLimiter(f.now)
	for _, t := range f.teams {
		f.limiter.SetTeam(f.now, t.name, t.rate, t.burst)
	}
	for _, n := range f.nodes {
		n.returnsAt = f.now + time.Duration(f.random.Int63n(int64(returnTime)+1))
	}
}

// loseLeader ends all streams.
func (f *simulatedFleet) loseLeader() {
	f.limiter, f.queue = nil, nil
	for _, n := range f.nodes {
		n.connected, n.returnsAt = false, never
	}
}

func (f *simulatedFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += slice {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			message := f.queue[0]
			f.queue = f.queue[1:]
			message.run()
		}
		if f.limiter != nil && f.now >= f.nextStep {
			f.nextStep = f.now + stepTime
			f.limiter.Step(f.now)
			f.pushFalls()
		}
		for _, n := range f.nodes {
			f.advance(n)
		}
		for _, t := range f.teams {
			f.arrive(t)
		}
	}
}

// arrive lets the due requests of a team arrive.
func (f *simulatedFleet) arrive(t *simulatedTeam) {
	if t.perSecond == 0 {
		t.next = f.now
	}
	for t.perSecond > 0 && t.next <= f.now {
		t.next += time.Duration(f.random.ExpFloat64() / t.perSecond * float64(time.Second))
		t.asked++
		n := f.nodes[f.random.Intn(len(f.nodes))]
		admitted := n.gate.Admit(f.now, t.name, t.rate, t.burst) == Admitted
		if t.onArrival != nil {
			t.onArrival(f.now, admitted)
		}
		if !admitted {
			t.refused++
			continue
		}
		t.admittedAt = append(t.admittedAt, f.now)
	}
}

func (f *simulatedFleet) advance(n *simulatedNode) {
	if f.limiter == nil || f.now < n.returnsAt || n.cut {
		return
	}
	if !n.connected {
		f.lastStream++
		n.connected, n.stream, n.revision = true, f.lastStream, 0
		throttles := n.gate.Throttles(f.now)
		f.send(func() { f.limiter.Adopt(f.now, throttles) })
		n.gate.StartStream()
		n.nextAt = f.now
	}
	if f.now >= n.nextAt || f.now >= n.gate.UrgentAt() {
		n.nextAt = f.now + reportPeriod
		usage, stream := n.gate.Report(f.now), n.stream
		f.send(func() {
			f.limiter.Report(f.now, n.name, stream, usage)
			f.update(n, stream, true)
			f.pushFalls()
		})
	}
}

// update sends a node the fractions that it does not know.
func (f *simulatedFleet) update(n *simulatedNode, stream uint64, answer bool) {
	if n.stream != stream {
		return
	}
	first := n.revision == 0
	throttles, revision := f.limiter.Throttles(n.revision)
	n.revision = revision
	f.send(func() {
		n.gate.Apply(throttles, first)
		if answer {
			n.gate.RecordAnswer(f.now, true)
		}
	})
}

func (f *simulatedFleet) pushFalls() {
	for _, n := range f.nodes {
		if n.connected && !n.cut && n.revision != 0 && n.revision < f.limiter.FallRevision() {
			f.update(n, n.stream, false)
		}
	}
}

func (f *simulatedFleet) send(run func()) {
	f.messages++
	f.queue = append(f.queue, queued{f.now + delay, run})
}

// clearCounts forgets the requests so far.
func (t *simulatedTeam) clearCounts() {
	t.asked, t.refused, t.admittedAt = 0, 0, nil
}

// mostInWindow returns the largest number of admitted requests in any window.
func (t *simulatedTeam) mostInWindow(window time.Duration) int {
	most, first := 0, 0
	for i, at := range t.admittedAt {
		for at-t.admittedAt[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// equalSplitRefusals returns how many of the same kind of requests are refused when each node
// has an equal part of the team's limits.
func equalSplitRefusals(seed int64, nodes, requests int, t *simulatedTeam) int {
	random := rand.New(rand.NewSource(seed))
	buckets := make([]bucket, nodes)
	for i := range buckets {
		buckets[i] = newBucket(0, t.rate/float64(nodes), max(1, t.burst/float64(nodes)), 1)
	}
	now, refused := time.Duration(0), 0
	for range requests {
		now += time.Duration(random.ExpFloat64() / t.perSecond * float64(time.Second))
		b := &buckets[random.Intn(nodes)]
		if b.refill(now); b.level < 1 {
			refused++
			continue
		}
		b.charge(1, 0)
	}
	return refused
}
