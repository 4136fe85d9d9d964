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
	longDeadline = time.Minute
	longWait     = time.Minute
	shortWait    = time.Nanosecond
)

func newTestPool(connections int) (*pool, *fakeServer) {
	server := &fakeServer{isPrimary: true}
	p := newPool(Target{ID: "p"}, "here", fakeDialer{"p": server}, discardLog())
	p.setShare(connections+reservedConnections, 1)
	return p, server
}

// testRequest returns a request whose wait for a connection may take up to maxWait.
func testRequest(team string, maxWait time.Duration) connRequest {
	return connRequest{
		team: team, objectiveEnd: clock.Now() + time.Duration(float64(maxWait)/connectionWaitFraction), deadline: time.Now().Add(longDeadline),
	}
}

func mustAcquire(t *testing.T, p *pool, team string) *upstreamConn {
	t.Helper()
	c, refusal := p.acquire(context.Background(), testRequest(team, longWait))
	if refusal != nil {
		t.Fatalf("acquire refused: %+v", refusal)
	}
	return c
}

// Guards against more connections than the node's share, which leaves too few for other
// nodes, and against idle connections of other teams that block a team.
func TestPoolRespectsShare(t *testing.T) {
	p, server := newTestPool(2)
	a, b := mustAcquire(t, p, "a"), mustAcquire(t, p, "b")
	if c, refusal := p.acquire(context.Background(), testRequest("c", shortWait)); refusal == nil {
		t.Errorf("acquired a third connection: %+v", c)
	}
	p.release(a)
	p.release(b)
	c := mustAcquire(t, p, "c")
	if p.open != 2 || server.dials != 3 || a.conn.Usable() {
		t.Errorf("%d open after %d dials, oldest closed: %v", p.open, server.dials, !a.conn.Usable())
	}
	p.release(c)
	if again := mustAcquire(t, p, "b"); again != b {
		t.Error("the team's own connection was not acquired")
	}
}

// With more nodes than the upstream accepts connections, and callers of many teams: guards
// against a node with a single connection, which a transaction holds while its caller pauses,
// and against idle connections that leave none for other nodes (litbrot-ops-grown quiet-1).
func TestManyNodesShareFewConnections(t *testing.T) {
	const connections, nodes = 79, 83
	p, server := newTestPool(1)
	p.setShare(connections, nodes)
	a, b := mustAcquire(t, p, "a"), mustAcquire(t, p, "b")
	p.release(a)
	p.release(b)
	now := clock.Now()
	p.closeExpiredIdle(now)
	if p.open != 2 {
		t.Errorf("%d connections are open right after their use", p.open)
	}
	p.closeExpiredIdle(now + surplusIdleTimeout)
	if p.open != 0 {
		t.Errorf("%d idle connections are kept although there are more nodes than connections", p.open)
	}
	server.full = true
	if _, refusal := p.acquire(context.Background(), testRequest("c", longWait)); refusal == nil {
		t.Fatal("connected to a full upstream")
	}
	if now = clock.Now(); p.share.currentMaxOpen(now) != 1 || p.share.currentMaxOpen(now+surplusBackoff) != surplusMaxOpen {
		t.Errorf("%d connections may be open after the upstream was full, %d later", p.share.currentMaxOpen(now), p.share.currentMaxOpen(now+surplusBackoff))
	}
}

// When all nodes lose power, each upstream keeps their dead connections for 3 s. Guards
// against idle connections that then leave none for the restarted nodes (paplate-riga-grown
// trouble-1, litbrot-ops inc-b6ac).
func TestIdleConnectionsLeaveRoomForARestart(t *testing.T) {
	const connections, nodes = 232, 70
	p, _ := newTestPool(1)
	p.setShare(connections, nodes)
	var acquired []*upstreamConn
	for range p.share.maxOpen {
		acquired = append(acquired, mustAcquire(t, p, "a"))
	}
	for _, c := range acquired {
		p.release(c)
	}
	p.closeExpiredIdle(clock.Now() + surplusIdleTimeout)
	if left := connections - nodes*p.open; left < nodes*p.share.maxIdle || p.open == 0 {
		t.Errorf("%d connections stay at each of %d nodes, %d of %d are left", p.open, nodes, left, connections)
	}
}

// With a busy upstream that all nodes use: guards against nodes that keep it overloaded, and
// against a window that never grows again.
func TestWindowShrinksAndGrows(t *testing.T) {
	p, _ := newTestPool(4)
	now := clock.Now()
	if got := p.currentWindow(now); got != 4 {
		t.Fatalf("window %d at the start", got)
	}
	p.recordBusy(0)
	p.recordBusy(0)
	if got := p.currentWindow(p.busyAt); got != 2 {
		t.Errorf("window %d after refusals at one moment, want one cut to 2", got)
	}
	p.busyAt -= windowDecreaseInterval
	p.recordBusy(0)
	if got := p.currentWindow(p.busyAt); got != 1 {
		t.Errorf("window %d after another refusal", got)
	}
	if got := p.currentWindow(p.busyAt + 2*time.Second); got != 4 {
		t.Errorf("window %d after 2 s without refusals", got)
	}
}

// Guards against callers that wait in a queue for longer than their latency objective. They
// are refused at once and told when to retry.
func TestLongQueueRefusesAtOnce(t *testing.T) {
	p, _ := newTestPool(1)
	held := mustAcquire(t, p, "a")
	p.recordAnswer(200 * time.Millisecond)
	_, refusal := p.acquire(context.Background(), testRequest("a", 50*time.Millisecond))
	if refusal == nil || refusal.Code != rescode.QueueFull || refusal.RetryAfter == 0 {
		t.Errorf("refusal %+v, want QueueFull with RetryAfter", refusal)
	}
	if p.waiters.Len() != 0 {
		t.Error("the refused caller still waits")
	}
	p.release(held)
}

// Guards against a waiter that loses its position in the queue when a connection is released,
// and against a new connection although a waiter of the same team could use the released one.
func TestWaitersAreServedInOrder(t *testing.T) {
	p, server := newTestPool(1)
	held := mustAcquire(t, p, "a")
	h1, w1 := p.acquireOrEnqueue(testRequest("b", longWait))
	_, w2 := p.acquireOrEnqueue(testRequest("a", longWait))
	if w1 == nil || w2 == nil || h1.conn != nil {
		t.Fatal("the callers do not wait")
	}
	p.release(held)
	select {
	case h := <-w2.Value:
		if h.conn != held || server.dials != 1 {
			t.Error("the waiter did not get its team's connection")
		}
	default:
		t.Fatal("the waiter of the connection's team was not served first")
	}
	w1.Arrived -= time.Second
	p.release(held)
	select {
	case <-w1.Value:
	default:
		t.Error("a waiter that was overtaken for long enough was not served")
	}
}

// Guards against a node that takes a slow upstream for failing and abandons statements, which
// keep running there.
func TestOverloadedUpstreamIsNotFailing(t *testing.T) {
	p, _ := newTestPool(1)
	p.recordAnswer(10 * time.Millisecond)
	before := p.answerTimeout(clock.Now())
	p.recordNoAnswer(400 * time.Millisecond)
	if p.failing {
		t.Error("an upstream that has just answered counts as failing")
	}
	if after := p.answerTimeout(clock.Now()); after < 2*before {
		t.Errorf("answer timeout %v after a late answer, %v before", after, before)
	}
	p.answeredAt -= failureGracePeriod
	p.recordNoAnswer(400 * time.Millisecond)
	if !p.failing {
		t.Error("an upstream that no longer answers does not count as failing")
	}
}

func pos(term, number uint64) position.Position {
	return position.Position{Term: term, Number: number}
}

// With readers on all nodes, and one of the upstreams slow, lagging, full, in another place
// or leaving: guards against reads that go to an upstream on which they must wait.
func TestChooseCandidate(t *testing.T) {
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
		"primary is spared":          {[]Candidate{candidate("p", nil), candidate("r", nil)}, 1},
		"slow":                       {[]Candidate{candidate("p", nil), candidate("r", func(c *Candidate) { c.Latency = 100 * time.Millisecond })}, 0},
		"busy with own statements":   {[]Candidate{candidate("r", func(c *Candidate) { c.InFlight = 3 }), candidate("s", nil)}, 1},
		"other place":                {[]Candidate{candidate("r", func(c *Candidate) { c.Place = "there" }), candidate("s", nil)}, 1},
		"no connection of the team":  {[]Candidate{candidate("r", func(c *Candidate) { c.HasIdleConnection = false }), candidate("s", nil)}, 1},
		"not known to have position": {[]Candidate{candidate("r", func(c *Candidate) { c.Position = pos(1, 40) }), candidate("s", nil)}, 1},
		"recently behind":            {[]Candidate{candidate("r", func(c *Candidate) { c.Position, c.RecentlyBehind = pos(1, 40), true })}, -1},
		"leaving":                    {[]Candidate{candidate("r", func(c *Candidate) { c.Draining = true })}, -1},
		"failing":                    {[]Candidate{candidate("r", func(c *Candidate) { c.Failing = true })}, -1},
	} {
		if got := chooseCandidate(c.candidates, "here", "p", pos(1, 90), nil); got != c.want {
			t.Errorf("%s: chose %d, want %d", name, got, c.want)
		}
	}
}

// Guards against reads that miss commits older than the route allows, and against a minimum
// position that is higher than necessary.
func TestMinReadPosition(t *testing.T) {
	o := &observations{}
	for i := range 10 {
		o.add(time.Duration(i)*100*time.Millisecond, pos(2, uint64(100+i)))
	}
	now, staleness := 900*time.Millisecond, 850*time.Millisecond
	// Commits before now + stalenessReserve - staleness = 400 ms must be covered.
	if got, ok := minReadPosition(now, staleness, o, position.Position{}); !ok || got != pos(2, 104) {
		t.Errorf("minimum position %v, %v", got, ok)
	}
	if got, ok := minReadPosition(now, staleness, o, pos(2, 108)); !ok || got != pos(2, 108) {
		t.Errorf("minimum position of a session that wrote: %v, %v", got, ok)
	}
	if got, ok := minReadPosition(now, staleness, o, pos(1, 900)); !ok || got != pos(2, 104) {
		t.Errorf("minimum position of a session that wrote under an earlier primary: %v, %v", got, ok)
	}
	if _, ok := minReadPosition(now, staleness, o, pos(3, 1)); ok {
		t.Error("a minimum position for a session that has seen a newer term")
	}
	if _, ok := minReadPosition(now+staleness, staleness, o, position.Position{}); ok {
		t.Error("a minimum position from observations that are too old")
	}
}

// Guards against positions of a replaced primary, whose commits may have been rolled back.
func TestObservationsOfEarlierTermsAreDropped(t *testing.T) {
	o := &observations{}
	o.add(0, pos(1, 500))
	o.add(time.Second, pos(2, 450))
	o.add(2*time.Second, pos(1, 510))
	if got, _ := o.covering(0); got.position != pos(2, 450) || len(o.entries) != 1 {
		t.Errorf("kept observations %v", o.entries)
	}
}

// With a replica that lags by seconds: guards against most reads being refused there before they run elsewhere, and
// against a replica that has caught up and stays unused.
func TestLaggingUpstreamIsAvoidedForLonger(t *testing.T) {
	p, _ := newTestPool(1)
	for _, want := range []time.Duration{behindBackoff, 2 * behindBackoff, 4 * behindBackoff} {
		p.recordBehind()
		p.recordBehind()
		now := clock.Now()
		if pause := p.behindUntil - now; pause > want || pause < want-behindBackoff/2 || !p.candidate(now, "a", 0).RecentlyBehind {
			t.Errorf("avoided for %v, want %v", pause, want)
		}
		p.behindUntil = 0
	}
	p.recordCaughtUp()
	p.recordBehind()
	if pause := p.behindUntil - clock.Now(); pause > behindBackoff {
		t.Errorf("avoided for %v after it had caught up", pause)
	}
}
