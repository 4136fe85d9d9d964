package share

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

const (
	address  = "db1"
	timeStep = time.Millisecond
)

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

// node is a proxy process with its pool. Connections above the share close when their
// transaction ends or the share expires.
type node struct {
	name         string
	incarnation  int
	holder       *Holder
	clockRate    float64
	open         int
	wanted       int
	busyUntil    time.Duration
	up, down     *pipe
	lostPipes    []*pipe
	stream       uint64
	reconnectAt  time.Duration
	partitioned  bool
	nextReportAt time.Duration
}

// reportedStream is the stream that a push is sent on, and the send time that it echoes.
type reportedStream struct {
	node   *node
	holder *Holder
	down   *pipe
	sentAt time.Duration
}

type simulation struct {
	now        time.Duration
	rnd        *rand.Rand
	allocator  *Allocator
	nodes      []*node
	zombies    []*node
	lastStream uint64
	// reportedStreams maps a proxy to the stream whose report was handled last.
	reportedStreams map[string]reportedStream
	limit           uint32
	// earlierLimit is an earlier, larger limit that stays in force until earlierLimitUntil,
	// while its shares may be valid.
	earlierLimit      uint32
	earlierLimitUntil time.Duration
	slowMessages      bool
	failure           string
}

func newSimulation(seed int64, proxies int, limit uint32) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewSource(seed)), limit: limit}
	for i := range proxies {
		sim.nodes = append(sim.nodes, &node{name: fmt.Sprintf("p%02d", i), holder: NewHolder(), clockRate: 1})
	}
	return sim
}

func (sim *simulation) localTime(n *node) time.Duration {
	return time.Duration(float64(sim.now) * n.clockRate)
}

func (sim *simulation) delay() time.Duration {
	if sim.slowMessages && sim.rnd.Intn(10) == 0 {
		return time.Duration(sim.rnd.Intn(400)) * time.Millisecond
	}
	return time.Duration(1+sim.rnd.Intn(3)) * time.Millisecond
}

func (sim *simulation) electLeader() {
	names := make([]string, len(sim.nodes))
	for i, n := range sim.nodes {
		names[i] = n.name
		n.disconnect(sim.now)
	}
	sim.reportedStreams = map[string]reportedStream{}
	sim.allocator = NewAllocator(DefaultConfig())
	sim.allocator.StartLeading(sim.now, names)
	sim.allocator.SetUpstream(sim.now, address, sim.limit)
}

func (n *node) disconnect(now time.Duration) {
	if n.stream != 0 {
		n.lostPipes = append(n.lostPipes, n.up, n.down)
	}
	n.stream, n.up, n.down = 0, nil, nil
	n.reconnectAt = now + 20*time.Millisecond
}

func (sim *simulation) restart(i int, zombie bool) {
	n := sim.nodes[i]
	if zombie {
		old := *n
		old.lostPipes = nil
		sim.zombies = append(sim.zombies, &old)
	}
	n.incarnation++
	n.holder, n.open, n.lostPipes, n.stream = NewHolder(), 0, nil, 0
	n.disconnect(sim.now)
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.failure == ""; sim.now += timeStep {
		for _, n := range sim.nodes {
			sim.advance(n)
		}
		for _, n := range slices.Concat(sim.nodes, sim.zombies) {
			sim.usePool(n)
		}
		sim.allocator.Expire(sim.now)
		sim.sendPushes()
		sim.checkLimit()
	}
}

// checkLimit fails the simulation if more connections than limit - reserve are open or
// allowed.
func (sim *simulation) checkLimit() {
	sum, limit := 0, int(sim.limit)
	if sim.now < sim.earlierLimitUntil {
		limit = max(limit, int(sim.earlierLimit))
	}
	for _, n := range slices.Concat(sim.nodes, sim.zombies) {
		sum += max(n.open, n.holder.Allowed(sim.localTime(n), address))
	}
	if sum > max(0, limit-int(DefaultConfig().ReservedConnections)) {
		sim.failure = fmt.Sprintf("%v: %d connections of %d lent", sim.now, sum, limit)
	}
}

func (sim *simulation) usePool(n *node) {
	allowed := n.holder.Allowed(sim.localTime(n), address)
	switch {
	case allowed == 0:
		n.open = 0
	case n.open > allowed && sim.now >= n.busyUntil:
		n.open = max(allowed, n.wanted)
		n.open = min(n.open, allowed)
	case n.open < min(allowed, n.wanted):
		n.open++
		n.busyUntil = sim.now + time.Duration(sim.rnd.Intn(600))*time.Millisecond
	}
}

func (sim *simulation) advance(n *node) {
	if n.stream == 0 && !n.partitioned && sim.now >= n.reconnectAt {
		sim.lastStream++
		n.stream, n.up, n.down = sim.lastStream, &pipe{}, &pipe{}
		n.holder.StartStream(sim.localTime(n))
		n.nextReportAt = sim.now
	}
	for _, p := range n.lostPipes {
		p.deliver(sim.now)
	}
	if n.stream == 0 {
		return
	}
	n.up.deliver(sim.now)
	n.down.deliver(sim.now)
	pools := []PoolDemand{{Upstream: address, Open: n.open, Wanted: n.wanted}}
	if sim.now >= n.nextReportAt || n.holder.Urgent(sim.localTime(n), pools) {
		sim.report(n, pools)
	}
}

func (sim *simulation) report(n *node, pools []PoolDemand) {
	n.nextReportAt = sim.now + 250*time.Millisecond
	allocator, sentAt, incarnation, stream, down, holder := sim.allocator, sim.localTime(n), fmt.Sprint(n.incarnation), n.stream, n.down, n.holder
	demands := holder.Report(sentAt, pools)
	n.up.send(sim.now+sim.delay(), func() {
		if allocator != sim.allocator {
			return
		}
		if h := sim.reportedStreams[n.name]; h.holder != holder || sentAt >= h.sentAt {
			sim.reportedStreams[n.name] = reportedStream{node: n, holder: holder, down: down, sentAt: sentAt}
		}
		shares := allocator.HandleReport(sim.now, n.name, incarnation, stream, demands)
		down.send(sim.now+sim.delay(), func() {
			for _, g := range shares {
				holder.ApplyGrant(sim.localTime(n), sentAt, g)
			}
		})
	})
}

func (sim *simulation) sendPushes() {
	for _, p := range sim.allocator.Reallocate(sim.now) {
		h := sim.reportedStreams[p.Proxy]
		h.down.send(sim.now+sim.delay(), func() {
			for _, g := range p.Shares {
				h.holder.ApplyGrant(sim.localTime(h.node), h.sentAt, g)
			}
		})
	}
}
