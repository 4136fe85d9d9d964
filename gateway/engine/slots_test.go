package engine

import (
	"context"
	"testing"
	"time"
)

// newHolderPool returns a pool of the only node that holds the connections to an upstream with so many slots.
func newHolderPool(slots int) *pool {
	p := newPool(Target{ID: "p"}, "here", fakeDialer{"p": {}}, discardLog())
	p.setHolders(&noForwarder{}, "self", []string{"self"}, slots)
	p.setShare(56, 85)
	return p
}

// With more work than the upstream has slots: guards against statements that wait in the queue of the upstream, where
// none can go ahead of others, against pausing transactions that keep statements waiting, and against an urgent statement
// behind a less urgent one.
func TestUpstreamRunsWhatItHasSlotsFor(t *testing.T) {
	const slots = 4
	p := newHolderPool(slots)
	var running []*upstreamConn
	for range runningLimit(slots, 1) {
		running = append(running, mustAcquire(t, p, "team"))
	}
	served, released := make(chan uint32), make(chan bool)
	for i, priority := range []uint32{2, 0} {
		r := testRequest("team", longWait)
		r.priority = priority
		go func() {
			if c, refusal := p.acquire(context.Background(), r); refusal == nil {
				served <- priority
				p.release(c)
				released <- true
			}
		}()
		waitForQueue(t, p, i+1)
	}
	running[0].state = InTransaction
	running[0].park()
	if first := <-served; first != 0 {
		t.Errorf("the statement of priority %d went first", first)
	}
	<-released
	<-served
	<-released
	running[0].unpark()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() != len(running) || p.parked != 0 {
		t.Errorf("%d statements run and %d transactions pause", p.running(), p.parked)
	}
}

// waitForQueue waits until so many requests wait for the upstream.
func waitForQueue(t *testing.T, p *pool, want int) {
	t.Helper()
	for deadline := time.Now().Add(longWait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting := p.waiters.Len()
		p.mu.Unlock()
		if waiting == want {
			return
		}
	}
	t.Fatalf("%d requests do not wait", want)
}

// Guards against a read that waits for its turn at a busy upstream although it can run at another one, and against one
// that is refused because the other one is busy too.
func TestReadIsSentOnOnce(t *testing.T) {
	p := newHolderPool(1)
	p.updateLatency(1, 100*time.Millisecond)
	c := mustAcquire(t, p, "team")
	defer p.release(c)
	r := testRequest("team", longWait)
	r.maxWait = time.Duration(redirectFraction * float64(400*time.Millisecond))
	if _, refusal := p.acquire(context.Background(), r); refusal == nil || acquireFailureResult(refusal).retryReason != retryQueue {
		t.Fatalf("the read waits at the busy upstream: %+v", refusal)
	}
}

// Guards against a read that is refused early although it was sent on before, or no other upstream can serve it.
func TestReadWaitsAtTheLastUpstream(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	op, refusal := session.admit()
	if refusal != nil {
		t.Fatal(refusal)
	}
	first := op.group.pool("p")
	for name, c := range map[string]struct {
		tried triedUpstreams
		want  bool
	}{
		"others are left": {triedUpstreams{}, true},
		"sent on before":  {triedUpstreams{"r1": retryQueue}, false},
		"no other":        {triedUpstreams{"r1": retryBehind, "r2": retryBehind}, false},
	} {
		if got := session.redirectWait(op, first, c.tried); (got > 0) != c.want {
			t.Errorf("%s: the read may wait for %s", name, got)
		}
	}
}
