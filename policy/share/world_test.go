package share

import (
	"fmt"
	"math/rand"
	"slices"
	"time"
)

const (
	address = "db1"
	tick    = time.Millisecond
)

type message struct {
	at  time.Duration
	run func()
}

// pipe delivers in order, as a stream does.
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

// node is a process of a proxy with its pool. Connections above the share end when
// their transaction does, or when the share lapses.
type node struct {
	name        string
	incarnation int
	holder      *Holder
	speed       float64
	open        int
	wanted      int
	busyUntil   time.Duration
	up, down    *pipe
	late        []*pipe
	stream      uint64
	reconnectAt time.Duration
	cut         bool
	reportAt    time.Duration
}

// handled is where a push goes, and the send time that it echoes.
type handled struct {
	node   *node
	holder *Holder
	down   *pipe
	sent   time.Duration
}

type world struct {
	now     time.Duration
	rnd     *rand.Rand
	owner   *Allocator
	nodes   []*node
	zombies []*node
	streams uint64
	// pushes maps a proxy to the stream whose report was handled last.
	pushes map[string]handled
	limit  uint32
	// earlier keeps a larger limit in force while its shares may be valid.
	earlier      uint32
	earlierUntil time.Duration
	slow         bool
	failure      string
}

func newWorld(seed int64, proxies int, limit uint32) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), limit: limit}
	for i := range proxies {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("p%02d", i), holder: NewHolder(), speed: 1})
	}
	return w
}

func (w *world) local(n *node) time.Duration {
	return time.Duration(float64(w.now) * n.speed)
}

func (w *world) delay() time.Duration {
	if w.slow && w.rnd.Intn(10) == 0 {
		return time.Duration(w.rnd.Intn(400)) * time.Millisecond
	}
	return time.Duration(1+w.rnd.Intn(3)) * time.Millisecond
}

func (w *world) lead() {
	names := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		names[i] = n.name
		n.disconnect(w.now)
	}
	w.pushes = map[string]handled{}
	w.owner = NewAllocator(DefaultConfig())
	w.owner.StartLeading(w.now, names)
	w.owner.SetUpstream(w.now, address, w.limit)
}

func (n *node) disconnect(now time.Duration) {
	if n.stream != 0 {
		n.late = append(n.late, n.up, n.down)
	}
	n.stream, n.up, n.down = 0, nil, nil
	n.reconnectAt = now + 20*time.Millisecond
}

func (w *world) restart(i int, leaveBehind bool) {
	n := w.nodes[i]
	if leaveBehind {
		old := *n
		old.late = nil
		w.zombies = append(w.zombies, &old)
	}
	n.incarnation++
	n.holder, n.open, n.late, n.stream = NewHolder(), 0, nil, 0
	n.disconnect(w.now)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.failure == ""; w.now += tick {
		for _, n := range w.nodes {
			w.advance(n)
		}
		for _, n := range slices.Concat(w.nodes, w.zombies) {
			w.usePool(n)
		}
		w.owner.Expire(w.now)
		w.push()
		w.check()
	}
}

// check guards against more connections, open or allowed, than limit - reserve.
func (w *world) check() {
	sum, limit := 0, int(w.limit)
	if w.now < w.earlierUntil {
		limit = max(limit, int(w.earlier))
	}
	for _, n := range slices.Concat(w.nodes, w.zombies) {
		sum += max(n.open, n.holder.Allowed(w.local(n), address))
	}
	if sum > max(0, limit-int(DefaultConfig().ReservedConnections)) {
		w.failure = fmt.Sprintf("%v: %d connections of %d lent", w.now, sum, limit)
	}
}

func (w *world) usePool(n *node) {
	allowed := n.holder.Allowed(w.local(n), address)
	switch {
	case allowed == 0:
		n.open = 0
	case n.open > allowed && w.now >= n.busyUntil:
		n.open = max(allowed, n.wanted)
		n.open = min(n.open, allowed)
	case n.open < min(allowed, n.wanted):
		n.open++
		n.busyUntil = w.now + time.Duration(w.rnd.Intn(600))*time.Millisecond
	}
}

func (w *world) advance(n *node) {
	if n.stream == 0 && !n.cut && w.now >= n.reconnectAt {
		w.streams++
		n.stream, n.up, n.down = w.streams, &pipe{}, &pipe{}
		n.holder.StartStream(w.local(n))
		n.reportAt = w.now
	}
	for _, p := range n.late {
		p.deliver(w.now)
	}
	if n.stream == 0 {
		return
	}
	n.up.deliver(w.now)
	n.down.deliver(w.now)
	pools := []PoolDemand{{Upstream: address, Open: n.open, Wanted: n.wanted}}
	if w.now >= n.reportAt || n.holder.Urgent(w.local(n), pools) {
		w.report(n, pools)
	}
}

func (w *world) report(n *node, pools []PoolDemand) {
	n.reportAt = w.now + 250*time.Millisecond
	owner, sent, incarnation, stream, down, holder := w.owner, w.local(n), fmt.Sprint(n.incarnation), n.stream, n.down, n.holder
	demands := holder.Report(sent, pools)
	n.up.send(w.now+w.delay(), func() {
		if owner != w.owner {
			return
		}
		if h := w.pushes[n.name]; h.holder != holder || sent >= h.sent {
			w.pushes[n.name] = handled{node: n, holder: holder, down: down, sent: sent}
		}
		shares := owner.HandleReport(w.now, n.name, incarnation, stream, demands)
		down.send(w.now+w.delay(), func() {
			for _, g := range shares {
				holder.ApplyGrant(w.local(n), sent, g)
			}
		})
	})
}

func (w *world) push() {
	for _, p := range w.owner.Reallocate(w.now) {
		h := w.pushes[p.Proxy]
		h.down.send(w.now+w.delay(), func() {
			for _, g := range p.Shares {
				h.holder.ApplyGrant(w.local(h.node), h.sent, g)
			}
		})
	}
}
