package rate

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	teamName = "t"
	tick     = 500 * time.Microsecond
	// tokenWait and deadline are the defaults of a proxy's settings.
	tokenWait = 300 * time.Millisecond
	deadline  = 2 * time.Second
)

// meter is the bound itself: a bucket that is full at the start and from which
// every use in the fleet is taken. It falls below zero exactly when some window
// has seen more than rate x w + burst.
type meter struct {
	rate, burst, level float64
	at                 time.Duration
	// wideUntil keeps an earlier, larger burst in force while its tokens may be used.
	wide      float64
	wideUntil time.Duration
}

func newMeter(rate, burst float64) *meter { return &meter{rate: rate, burst: burst, level: burst} }

func (m *meter) advance(now time.Duration) {
	limit := m.burst
	if now < m.wideUntil {
		limit = max(limit, m.wide)
	}
	m.level = min(limit, m.level+m.rate*(now-m.at).Seconds())
	m.at = now
}

func (m *meter) take(now time.Duration) bool {
	m.advance(now)
	m.level--
	return m.level > -1e-6
}

func (m *meter) change(now time.Duration, rate, burst float64) {
	m.advance(now)
	m.wide, m.wideUntil = max(m.burst, burst, m.wide), now+4*time.Second
	m.rate, m.burst = rate, burst
}

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

// node is a proxy with its clock, its stream and the requests that wait.
type node struct {
	name        string
	incarnation int
	holder      *Holder
	speed       float64
	up, down    *pipe
	// late holds the pipes of lost streams whose messages still arrive.
	late        []*pipe
	stream      uint64
	reconnectAt time.Duration
	cut         bool
	reportAt    time.Duration
	sent        time.Duration
	waiting     []time.Duration
	quietUntil  time.Duration
}

// world runs an owner and proxies in virtual time.
type world struct {
	now     time.Duration
	rnd     *rand.Rand
	owner   *Allocator // nil while there is none
	nodes   []*node
	zombies []*node
	streams uint64
	// delay gives the delay of a message.
	delay func() time.Duration
	// split holds the buckets of the equal-split baseline when it is measured.
	split           []*meter
	meter           *meter
	served, refused int
	overshoot       int
	waits           []time.Duration
}

func newWorld(seed int64, proxies int, rate, burst float64) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), meter: newMeter(rate, burst)}
	w.delay = func() time.Duration { return 1500 * time.Microsecond }
	for i := range proxies {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("p%d", i), holder: NewHolder(DefaultConfig()), speed: 1})
	}
	return w
}

// local is a node's own clock.
func (w *world) local(n *node) time.Duration {
	return time.Duration(float64(w.now) * n.speed)
}

func (w *world) lead(rate, burst float64) {
	names := make([]string, len(w.nodes))
	for i, n := range w.nodes {
		names[i] = n.name
		n.disconnect(w.now)
	}
	w.owner = NewAllocator(DefaultConfig())
	w.owner.StartLeading(w.now, names)
	w.owner.SetTeam(w.now, teamName, rate, burst)
}

func (w *world) depose() {
	w.owner = nil
	for _, n := range w.nodes {
		n.disconnect(w.now)
	}
}

func (n *node) disconnect(now time.Duration) {
	if n.stream != 0 {
		n.late = append(n.late, n.up, n.down)
	}
	n.stream, n.up, n.down = 0, nil, nil
	n.reconnectAt = now + 20*time.Millisecond
}

// restart replaces a node's process; the earlier one may live on without control.
func (w *world) restart(i int, zombie bool) {
	old := *w.nodes[i]
	if zombie {
		w.zombies = append(w.zombies, &old)
	}
	n := w.nodes[i]
	n.incarnation++
	n.holder = NewHolder(DefaultConfig())
	n.waiting, n.late, n.quietUntil = nil, nil, 0
	n.stream = 0
	n.disconnect(w.now)
}

func (w *world) run(d time.Duration, load func()) {
	for end := w.now + d; w.now < end; w.now += tick {
		load()
		for _, n := range w.nodes {
			w.advance(n)
		}
		if w.owner != nil {
			w.owner.Expire(w.now)
		}
	}
}

func (w *world) advance(n *node) {
	w.connect(n)
	for _, p := range n.late {
		p.deliver(w.now)
	}
	if n.stream != 0 {
		n.up.deliver(w.now)
	}
	if n.stream != 0 {
		n.down.deliver(w.now)
	}
	w.serveWaiting(n)
	due := w.now >= n.reportAt || n.holder.Urgent(w.local(n))
	if n.stream != 0 && due && w.split == nil {
		w.report(n)
	}
}

func (w *world) connect(n *node) {
	if n.stream != 0 || n.cut || w.owner == nil || w.now < n.reconnectAt {
		return
	}
	w.streams++
	n.stream, n.up, n.down = w.streams, &pipe{}, &pipe{}
	n.holder.StartStream(w.local(n))
	n.reportAt = w.now
}

func (w *world) report(n *node) {
	n.reportAt = w.now + 250*time.Millisecond
	n.sent = w.local(n)
	owner, sent, incarnation, stream, down := w.owner, n.sent, fmt.Sprint(n.incarnation), n.stream, n.down
	demands := n.holder.Report(sent)
	n.up.send(w.now+w.delay(), func() {
		if owner != w.owner {
			return
		}
		w.sendGrants(n, down, sent, owner.HandleReport(w.now, n.name, incarnation, stream, demands))
		w.push()
	})
}

func (w *world) sendGrants(n *node, down *pipe, sent time.Duration, grants []*controlpb.TokenGrant) {
	holder := n.holder
	down.send(w.now+w.delay(), func() {
		for _, g := range grants {
			holder.ApplyGrant(w.local(n), sent, g)
		}
	})
}

func (w *world) push() {
	for _, r := range w.owner.TakeRevocations(w.now) {
		for _, n := range w.nodes {
			if n.name == r.Proxy && n.down != nil {
				w.sendGrants(n, n.down, n.sent, r.Grants)
			}
		}
	}
}

// request arrives at a node and waits if there is no token.
func (w *world) request(i int) {
	n := w.nodes[i]
	if len(n.waiting) == 0 && w.take(n) {
		w.served++
		return
	}
	n.waiting = append(n.waiting, w.now)
	n.holder.AddWaiting(teamName, 1)
}

func (w *world) take(n *node) bool {
	if w.split != nil {
		bucket := w.split[w.index(n)]
		bucket.advance(w.now)
		if bucket.level < 1 {
			return false
		}
		bucket.level--
		return true
	}
	if !n.holder.Take(w.local(n), teamName) {
		return false
	}
	if !w.meter.take(w.now) {
		w.overshoot++
	}
	return true
}

func (w *world) index(n *node) int {
	for i := range w.nodes {
		if w.nodes[i] == n {
			return i
		}
	}
	return -1
}

func (w *world) serveWaiting(n *node) {
	for len(n.waiting) > 0 {
		waited := w.now - n.waiting[0]
		switch {
		case w.take(n):
			w.served++
			w.waits = append(w.waits, waited)
		case waited >= deadline, waited >= tokenWait && (w.split != nil || n.holder.Exhausted(w.local(n), teamName)):
			w.refused++
		default:
			return
		}
		n.waiting = n.waiting[1:]
		n.holder.AddWaiting(teamName, -1)
	}
}
