package rate

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	teamName = "t"
	timeStep = 500 * time.Microsecond
	// tokenWait and deadline are the defaults of a proxy's settings.
	tokenWait = 300 * time.Millisecond
	deadline  = 2 * time.Second
)

// usageBound is the bound under test: a bucket that is full at the start and from which
// every use in the fleet is taken. It falls below zero exactly when some window
// has seen more than rate x w + burst.
type usageBound struct {
	rate, burst, level float64
	at                 time.Duration
	// earlierBurst is an earlier, larger burst that stays in force until earlierBurstUntil,
	// while its tokens may be used.
	earlierBurst      float64
	earlierBurstUntil time.Duration
}

func newUsageBound(rate, burst float64) *usageBound {
	return &usageBound{rate: rate, burst: burst, level: burst}
}

func (m *usageBound) advance(now time.Duration) {
	limit := m.burst
	if now < m.earlierBurstUntil {
		limit = max(limit, m.earlierBurst)
	}
	m.level = min(limit, m.level+m.rate*(now-m.at).Seconds())
	m.at = now
}

func (m *usageBound) take(now time.Duration) bool {
	m.advance(now)
	m.level--
	return m.level > -1e-6
}

func (m *usageBound) change(now time.Duration, rate, burst float64) {
	m.advance(now)
	m.earlierBurst, m.earlierBurstUntil = max(m.burst, burst, m.earlierBurst), now+4*time.Second
	m.rate, m.burst = rate, burst
}

type message struct {
	at  time.Duration
	run func()
}

// pipe delivers messages in order, as a stream does.
type pipe struct {
	queue []message
	last  time.Duration
}

func (p *pipe) send(at time.Duration, run func()) {
	p.last = max(p.last, at)
	p.queue = append(p.queue, message{at: p.last, run: run})
}

func (p *pipe) deliver(now time.Duration) {
	for len(p.queue) > 0 && p.queue[0].at <= now {
		run := p.queue[0].run
		p.queue = p.queue[1:]
		run()
	}
}

// node is a proxy process with its clock, its stream and its waiting requests.
type node struct {
	name        string
	incarnation int
	holder      *Holder
	clockRate   float64
	up, down    *pipe
	// lostPipes holds the pipes of lost streams whose messages still arrive.
	lostPipes    []*pipe
	stream       uint64
	reconnectAt  time.Duration
	partitioned  bool
	nextReportAt time.Duration
	reportSentAt time.Duration
	waiting      []time.Duration
	idleUntil    time.Duration
}

// simulation runs an allocator and proxies in virtual time.
type simulation struct {
	now        time.Duration
	rnd        *rand.Rand
	allocator  *Allocator // nil while there is none
	nodes      []*node
	zombies    []*node
	lastStream uint64
	// delay returns the delay of a message.
	delay func() time.Duration
	// equalSplit holds the buckets of the equal-split baseline when it is measured.
	equalSplit      []*usageBound
	bound           *usageBound
	served, refused int
	overshoot       int
	waits           []time.Duration
}

func newSimulation(seed int64, proxies int, rate, burst float64) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewSource(seed)), bound: newUsageBound(rate, burst)}
	sim.delay = func() time.Duration { return 1500 * time.Microsecond }
	for i := range proxies {
		sim.nodes = append(sim.nodes, &node{name: fmt.Sprintf("p%d", i), holder: NewHolder(DefaultConfig()), clockRate: 1})
	}
	return sim
}

// localTime returns the time on a node's own clock.
func (sim *simulation) localTime(n *node) time.Duration {
	return time.Duration(float64(sim.now) * n.clockRate)
}

func (sim *simulation) electLeader(rate, burst float64) {
	names := make([]string, len(sim.nodes))
	for i, n := range sim.nodes {
		names[i] = n.name
		n.disconnect(sim.now)
	}
	sim.allocator = NewAllocator(DefaultConfig())
	sim.allocator.StartLeading(sim.now, names)
	sim.allocator.SetTeam(sim.now, teamName, rate, burst)
}

func (sim *simulation) loseLeader() {
	sim.allocator = nil
	for _, n := range sim.nodes {
		n.disconnect(sim.now)
	}
}

func (n *node) disconnect(now time.Duration) {
	if n.stream != 0 {
		n.lostPipes = append(n.lostPipes, n.up, n.down)
	}
	n.stream, n.up, n.down = 0, nil, nil
	n.reconnectAt = now + 20*time.Millisecond
}

// restart replaces a node's process; as a zombie the earlier one keeps running without
// control.
func (sim *simulation) restart(i int, zombie bool) {
	old := *sim.nodes[i]
	if zombie {
		sim.zombies = append(sim.zombies, &old)
	}
	n := sim.nodes[i]
	n.incarnation++
	n.holder = NewHolder(DefaultConfig())
	n.waiting, n.lostPipes, n.idleUntil = nil, nil, 0
	n.stream = 0
	n.disconnect(sim.now)
}

func (sim *simulation) run(d time.Duration, load func()) {
	for end := sim.now + d; sim.now < end; sim.now += timeStep {
		load()
		for _, n := range sim.nodes {
			sim.advance(n)
		}
		if sim.allocator != nil {
			sim.allocator.Expire(sim.now)
		}
	}
}

func (sim *simulation) advance(n *node) {
	sim.connect(n)
	for _, p := range n.lostPipes {
		p.deliver(sim.now)
	}
	if n.stream != 0 {
		n.up.deliver(sim.now)
	}
	if n.stream != 0 {
		n.down.deliver(sim.now)
	}
	sim.serveWaiting(n)
	due := sim.now >= n.nextReportAt || n.holder.Urgent(sim.localTime(n))
	if n.stream != 0 && due && sim.equalSplit == nil {
		sim.report(n)
	}
}

func (sim *simulation) connect(n *node) {
	if n.stream != 0 || n.partitioned || sim.allocator == nil || sim.now < n.reconnectAt {
		return
	}
	sim.lastStream++
	n.stream, n.up, n.down = sim.lastStream, &pipe{}, &pipe{}
	n.holder.StartStream(sim.localTime(n))
	n.nextReportAt = sim.now
}

func (sim *simulation) report(n *node) {
	n.nextReportAt = sim.now + 250*time.Millisecond
	n.reportSentAt = sim.localTime(n)
	allocator, sentAt, incarnation, stream, down := sim.allocator, n.reportSentAt, fmt.Sprint(n.incarnation), n.stream, n.down
	demands := n.holder.Report(sentAt)
	n.up.send(sim.now+sim.delay(), func() {
		if allocator != sim.allocator {
			return
		}
		sim.sendGrants(n, down, sentAt, allocator.HandleReport(sim.now, n.name, incarnation, stream, demands))
		sim.sendRevocations()
	})
}

func (sim *simulation) sendGrants(n *node, down *pipe, sentAt time.Duration, grants []*controlpb.TokenGrant) {
	holder := n.holder
	down.send(sim.now+sim.delay(), func() {
		for _, g := range grants {
			holder.ApplyGrant(sim.localTime(n), sentAt, g)
		}
	})
}

func (sim *simulation) sendRevocations() {
	for _, r := range sim.allocator.TakeRevocations(sim.now) {
		for _, n := range sim.nodes {
			if n.name == r.Proxy && n.down != nil {
				sim.sendGrants(n, n.down, n.reportSentAt, r.Grants)
			}
		}
	}
}

// request arrives at a node and waits if there is no token.
func (sim *simulation) request(i int) {
	n := sim.nodes[i]
	if len(n.waiting) == 0 && sim.take(n) {
		sim.served++
		return
	}
	n.waiting = append(n.waiting, sim.now)
	n.holder.AddWaiting(teamName, 1)
}

func (sim *simulation) take(n *node) bool {
	if sim.equalSplit != nil {
		bucket := sim.equalSplit[sim.nodeIndex(n)]
		bucket.advance(sim.now)
		if bucket.level < 1 {
			return false
		}
		bucket.level--
		return true
	}
	if !n.holder.Take(sim.localTime(n), teamName) {
		return false
	}
	if !sim.bound.take(sim.now) {
		sim.overshoot++
	}
	return true
}

func (sim *simulation) nodeIndex(n *node) int {
	for i := range sim.nodes {
		if sim.nodes[i] == n {
			return i
		}
	}
	return -1
}

func (sim *simulation) serveWaiting(n *node) {
	for len(n.waiting) > 0 {
		waited := sim.now - n.waiting[0]
		switch {
		case sim.take(n):
			sim.served++
			sim.waits = append(sim.waits, waited)
		case waited >= deadline, waited >= tokenWait && (sim.equalSplit != nil || n.holder.Exhausted(sim.localTime(n), teamName)):
			sim.refused++
		default:
			return
		}
		n.waiting = n.waiting[1:]
		n.holder.AddWaiting(teamName, -1)
	}
}
