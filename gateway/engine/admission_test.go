package engine

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// With a server that sheds work: guards against the same request being sent there again at once, and against less
// urgent requests that are sent during the pause of a more urgent one.
func TestPauseAfterShedWork(t *testing.T) {
	p, _ := newTestPool(4)
	p.release(mustAcquire(t, p, "a"))
	p.recordBusy(1)
	for priority, wantWait := range map[uint32]bool{0: false, 1: true, 2: true} {
		r := testRequest("a", longWait)
		r.priority = priority
		h, w := p.acquireOrEnqueue(r)
		if waits := w != nil; waits != wantWait {
			t.Errorf("priority %d waits: %v", priority, waits)
		}
		if h.conn != nil {
			p.release(h.conn)
		}
		if w != nil {
			p.waiters.Remove(w)
		}
	}
	if c := p.candidate(clock.Now(), "a", 1); c.Pause <= 0 || p.candidate(clock.Now(), "a", 0).Pause != 0 {
		t.Errorf("reads do not see the pause: %+v", c)
	}
	// The waiter is served when the pause ends, without any other event.
	r := testRequest("a", longWait)
	r.priority = 1
	if c, refusal := p.acquire(context.Background(), r); refusal != nil {
		t.Errorf("refused after the pause: %+v", refusal)
	} else {
		p.release(c)
	}
}

// Guards against an urgent request that is refused because of less urgent ones, which wait for the end of a pause.
func TestPausedWaitersDoNotHoldUpOthers(t *testing.T) {
	p, _ := newTestPool(4)
	p.recordAnswer(time.Second)
	p.recordBusy(1)
	low := testRequest("a", longWait)
	low.priority = 1
	if _, w := p.acquireOrEnqueue(low); w == nil {
		t.Fatal("the less urgent request does not wait")
	}
	if h, w := p.acquireOrEnqueue(testRequest("b", shortWait)); w != nil || h.refusal != nil {
		t.Errorf("the urgent request waits or is refused: %+v", h.refusal)
	}
}

// Guards against a request that waits for the end of a pause although its objective ends before.
func TestPauseBeyondObjectiveRefusesAtOnce(t *testing.T) {
	p, server := newTestPool(4)
	server.full = true
	for range 6 {
		p.full.Refused(clock.Now(), 1)
	}
	_, refusal := p.acquire(context.Background(), testRequest("a", shortWait))
	if refusal == nil || refusal.Code != rescode.TooManyConnections || refusal.RetryAfter <= minConnectionWait || server.dials != 0 {
		t.Errorf("refusal %+v after %d dials", refusal, server.dials)
	}
	if pause := p.full.Until() - clock.Now(); refusal != nil && refusal.RetryAfter < pause {
		t.Errorf("the caller may come back after %v, the pause lasts %v", refusal.RetryAfter, pause)
	}
}

// Guards against a waiter that a more urgent request displaced and that learns of it only when its time is over.
func TestDisplacedWaiterIsToldAtOnce(t *testing.T) {
	p, _ := newTestPool(1)
	p.recordAnswer(100 * time.Millisecond)
	held := mustAcquire(t, p, "a")
	low := testRequest("b", minConnectionWait)
	low.priority = 2
	_, waiting := p.acquireOrEnqueue(low)
	if waiting == nil {
		t.Fatal("the less urgent request does not wait")
	}
	if _, urgent := p.acquireOrEnqueue(testRequest("c", 150*time.Millisecond)); urgent == nil {
		t.Fatal("the urgent request does not wait")
	}
	select {
	case h := <-waiting.Value:
		if h.refusal == nil || h.refusal.Reason != reasonDisplaced || h.refusal.RetryAfter <= 0 {
			t.Errorf("refusal %+v", h.refusal)
		}
	default:
		t.Error("the displaced request still waits")
	}
	p.release(held)
}

// With an upstream that has no connection left: guards against waiters that dial again as soon as one was refused, and
// against an idle connection that is kept although others need it.
func TestFullUpstreamIsLeftAlone(t *testing.T) {
	p, server := newTestPool(1)
	p.setShare(79, 83)
	server.full = true
	if _, refusal := p.acquire(context.Background(), testRequest("a", longWait)); refusal == nil || refusal.RetryAfter < shortRetryAfter {
		t.Fatalf("refusal %+v", refusal)
	}
	if h, w := p.acquireOrEnqueue(testRequest("b", longWait)); w == nil || server.dials != 1 {
		t.Fatalf("handover %+v after %d dials, want a wait", h, server.dials)
	} else {
		p.waiters.Remove(w)
	}
	server.full = false
	c := mustAcquire(t, p, "c")
	p.release(c)
	if p.open > 1 || c.conn.Usable() {
		t.Errorf("%d connections are open although they are scarce", p.open)
	}
}

// Guards against a read that ran, whose answer was lost, and whose caller is told that it has not run because a further
// attempt was refused.
func TestLostReadIsNotPromisedNotRun(t *testing.T) {
	n := newTestNode(t)
	session := n.open("intake", "key")
	n.servers["p"].update(func(s *fakeServer) { s.dropAnswers = 1 })
	lost := n.handle(session, read("1"))
	if lost.Refusal != nil {
		t.Fatalf("the read was not repeated: %+v", lost.Refusal)
	}
	n.servers["p"].update(func(s *fakeServer) { s.dropAnswers, s.full = 1, true })
	answer := n.handle(session, read("2"))
	if answer.Refusal == nil || answer.Refusal.promisesNotRun() {
		t.Errorf("refusal %+v after the read ran", answer.Refusal)
	}
	if len(n.servers["p"].runs()) != 3 {
		t.Errorf("%d runs", len(n.servers["p"].runs()))
	}
}
