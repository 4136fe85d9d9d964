package engine

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	longDeadline  = time.Minute
	longPatience  = time.Minute
	shortPatience = time.Nanosecond
)

func newTestPool(connections int) (*pool, *fakeServer) {
	server := &fakeServer{leads: true}
	p := newPool(Target{ID: "p"}, "here", fakeDialer{"p": server}, discard())
	p.setShare(connections+spareConnections, 1)
	return p, server
}

func lend(t *testing.T, p *pool, team string) *link {
	t.Helper()
	l, refusal := p.acquire(context.Background(), team, time.Now().Add(longDeadline), longPatience)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return l
}

// Guards against more connections than the node's part, which the upstream would refuse
// to others, and against connections of teams that have gone blocking the rest.
func TestPoolKeepsToItsPart(t *testing.T) {
	p, server := newTestPool(2)
	a, b := lend(t, p, "a"), lend(t, p, "b")
	if l, refusal := p.acquire(context.Background(), "c", time.Now().Add(longDeadline), shortPatience); refusal == nil {
		t.Errorf("a third connection: %+v", l)
	}
	p.release(a)
	p.release(b)
	c := lend(t, p, "c")
	if p.open != 2 || server.dials != 3 || a.conn.Usable() {
		t.Errorf("%d open after %d dials, oldest closed: %v", p.open, server.dials, !a.conn.Usable())
	}
	p.release(c)
	if again := lend(t, p, "b"); again != b {
		t.Error("the team's own connection was not lent")
	}
}

// Load pattern: more nodes than the upstream accepts connections, with callers of many teams.
// Guards against a node that has one connection for all of them, which a pausing transaction
// holds, and against idle connections that leave none for others (litbrot-ops-grown quiet-1).
func TestManyNodesShareFewConnections(t *testing.T) {
	const connections, nodes = 79, 83
	p, server := newTestPool(1)
	p.setShare(connections, nodes)
	a, b := lend(t, p, "a"), lend(t, p, "b")
	p.release(a)
	p.release(b)
	now := clock.Now()
	p.trim(now)
	if p.open != 2 {
		t.Errorf("%d connections are open right after their use", p.open)
	}
	p.trim(now + surplusIdle)
	if p.open != 0 {
		t.Errorf("%d idle connections are kept although there are more nodes than connections", p.open)
	}
	server.full = true
	if _, refusal := p.acquire(context.Background(), "c", time.Now().Add(longDeadline), longPatience); refusal == nil {
		t.Fatal("connected to a full upstream")
	}
	if now = clock.Now(); p.share.limitNow(now) != 1 || p.share.limitNow(now+surplusPause) != surplusLimit {
		t.Errorf("limit %d after the upstream was full, %d later", p.share.limitNow(now), p.share.limitNow(now+surplusPause))
	}
}

// Load pattern: all nodes lose power, and each upstream holds their dead connections for 3 s.
// Guards against idle connections that then leave no room for the restarted nodes
// (paplate-riga-grown trouble-1, litbrot-ops inc-b6ac).
func TestIdleConnectionsLeaveRoomForARestart(t *testing.T) {
	const connections, nodes = 232, 70
	p, _ := newTestPool(1)
	p.setShare(connections, nodes)
	var lent []*link
	for range p.share.limit {
		lent = append(lent, lend(t, p, "a"))
	}
	for _, l := range lent {
		p.release(l)
	}
	p.trim(clock.Now() + surplusIdle)
	if left := connections - nodes*p.open; left < nodes*p.share.kept || p.open == 0 {
		t.Errorf("%d connections stay at each of %d nodes, %d of %d are left", p.open, nodes, left, connections)
	}
}

// Load pattern: every node presses on one upstream that refuses work. Guards against
// nodes that keep it overloaded, and against a window that never opens again.
func TestWindowShrinksAndGrows(t *testing.T) {
	p, _ := newTestPool(4)
	now := clock.Now()
	if got := p.windowNow(now); got != 4 {
		t.Fatalf("window %d at the start", got)
	}
	p.sawBusy()
	p.sawBusy()
	if got := p.windowNow(p.busyAt); got != 2 {
		t.Errorf("window %d after refusals at one moment, want one cut to 2", got)
	}
	p.busyAt -= windowPause
	p.sawBusy()
	if got := p.windowNow(p.busyAt); got != 1 {
		t.Errorf("window %d after another refusal", got)
	}
	if got := p.windowNow(p.busyAt + 2*time.Second); got != 4 {
		t.Errorf("window %d after 2 s without refusals", got)
	}
}

// Guards against callers held in a queue that is longer than their objective: they are
// refused at once and told when to come back.
func TestLongQueueRefusesAtOnce(t *testing.T) {
	p, _ := newTestPool(1)
	held := lend(t, p, "a")
	p.answered(200 * time.Millisecond)
	_, refusal := p.acquire(context.Background(), "a", time.Now().Add(longDeadline), 50*time.Millisecond)
	if refusal == nil || refusal.Code != rescode.QueueFull || refusal.RetryAfter == 0 {
		t.Errorf("answered %+v", refusal)
	}
	if len(p.waiters) != 0 {
		t.Error("the refused caller still waits")
	}
	p.release(held)
}

// Guards against a waiter that loses its place when a connection comes back, and
// against new connections where a waiter of the same team is at hand.
func TestWaitersAreServedInOrder(t *testing.T) {
	p, server := newTestPool(1)
	held := lend(t, p, "a")
	h1, w1, _ := p.start("b", longPatience)
	_, w2, _ := p.start("a", longPatience)
	if w1 == nil || w2 == nil || h1.link != nil {
		t.Fatal("the callers do not wait")
	}
	p.release(held)
	select {
	case h := <-w2.ready:
		if h.link != held || server.dials != 1 {
			t.Error("the team's connection was not handed over")
		}
	default:
		t.Fatal("the waiter of the connection's team was not served first")
	}
	p.waiters[0].since -= fairWait
	p.release(held)
	select {
	case <-w1.ready:
	default:
		t.Error("a waiter that was overtaken for long enough was not served")
	}
}

// Guards against a node that gives up on an upstream that is slow, and whose work it
// would leave running there.
func TestOverloadedUpstreamIsNotFailing(t *testing.T) {
	p, _ := newTestPool(1)
	p.answered(10 * time.Millisecond)
	before := p.patience(clock.Now())
	p.unanswered(400 * time.Millisecond)
	if p.failing {
		t.Error("an upstream that has just answered counts as failing")
	}
	if after := p.patience(clock.Now()); after < 2*before {
		t.Errorf("patience %v after a late answer, %v before", after, before)
	}
	p.answeredAt -= answeredLately
	p.unanswered(400 * time.Millisecond)
	if !p.failing {
		t.Error("an upstream that no longer answers does not count as failing")
	}
}

func pos(term, number uint64) position.Position {
	return position.Position{Term: term, Number: number}
}

// Load pattern: readers on all nodes, and one upstream of three that is slow, lagging,
// full, far or leaving. Guards against reads that go where they wait.
func TestChoice(t *testing.T) {
	candidate := func(id string, change func(*Candidate)) Candidate {
		c := Candidate{ID: id, Place: "here", HasIdleConnection: true, Latency: 20 * time.Millisecond, Position: pos(1, 100)}
		if change != nil {
			change(&c)
		}
		return c
	}
	for name, c := range map[string]struct {
		candidates []Candidate
		want       int
	}{
		"primary is spared":         {[]Candidate{candidate("p", nil), candidate("r", nil)}, 1},
		"slow":                      {[]Candidate{candidate("p", nil), candidate("r", func(c *Candidate) { c.Latency = 100 * time.Millisecond })}, 0},
		"busy with own statements":  {[]Candidate{candidate("r", func(c *Candidate) { c.InFlight = 3 }), candidate("s", nil)}, 1},
		"other place":               {[]Candidate{candidate("r", func(c *Candidate) { c.Place = "there" }), candidate("s", nil)}, 1},
		"no connection of the team": {[]Candidate{candidate("r", func(c *Candidate) { c.HasIdleConnection = false }), candidate("s", nil)}, 1},
		"not seen at the position":  {[]Candidate{candidate("r", func(c *Candidate) { c.Position = pos(1, 40) }), candidate("s", nil)}, 1},
		"lately behind":             {[]Candidate{candidate("r", func(c *Candidate) { c.Position, c.RecentlyBehind = pos(1, 40), true })}, -1},
		"leaving":                   {[]Candidate{candidate("r", func(c *Candidate) { c.Draining = true })}, -1},
		"failing":                   {[]Candidate{candidate("r", func(c *Candidate) { c.Failing = true })}, -1},
	} {
		if got := choose(c.candidates, "here", "p", pos(1, 90), nil); got != c.want {
			t.Errorf("%s: chose %d, want %d", name, got, c.want)
		}
	}
}

// Guards against reads that miss commits which are older than the route allows, and
// against asking more of replicas than that.
func TestFloorOfRead(t *testing.T) {
	o := &observations{}
	for i := range 10 {
		o.add(time.Duration(i)*100*time.Millisecond, pos(2, uint64(100+i)))
	}
	now, staleness := 900*time.Millisecond, 850*time.Millisecond
	// Commits before now + reserve - staleness = 400 ms must be covered.
	if got, ok := readFloor(now, staleness, o, position.Position{}); !ok || got != pos(2, 104) {
		t.Errorf("floor %v, %v", got, ok)
	}
	if got, ok := readFloor(now, staleness, o, pos(2, 108)); !ok || got != pos(2, 108) {
		t.Errorf("floor of a session that wrote: %v, %v", got, ok)
	}
	if got, ok := readFloor(now, staleness, o, pos(1, 900)); !ok || got != pos(2, 104) {
		t.Errorf("floor of a session that wrote under an earlier primary: %v, %v", got, ok)
	}
	if _, ok := readFloor(now, staleness, o, pos(3, 1)); ok {
		t.Error("a floor for a session that has seen a newer term")
	}
	if _, ok := readFloor(now+staleness, staleness, o, position.Position{}); ok {
		t.Error("a floor from observations that are too old")
	}
}

// Guards against positions of a replaced primary, which may have been rolled back.
func TestObservationsOfEarlierTermsAreDropped(t *testing.T) {
	o := &observations{}
	o.add(0, pos(1, 500))
	o.add(time.Second, pos(2, 450))
	o.add(2*time.Second, pos(1, 510))
	if got, _ := o.covering(0); got.position != pos(2, 450) || len(o.kept) != 1 {
		t.Errorf("kept %v", o.kept)
	}
}
