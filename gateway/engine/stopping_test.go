package engine

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/stop"
)

// testGrace is the grace period of the stops in these tests.
const testGrace = 6 * time.Second

// stopAt makes the node act as it does after a fraction of the grace period of a stop.
func (s *testNode) stopAt(fraction float64) {
	s.engine.BeginStop(stop.NewPlan(clock.Now()-time.Duration(fraction*float64(testGrace)), testGrace))
}

func (s *testNode) expectStopping(what string, r *Refusal, want rescode.Code) {
	s.t.Helper()
	if r == nil || r.Code != want || r.Reason != reasonStopping {
		s.t.Errorf("%s: refused with %+v, want %s, %s", what, r, want, reasonStopping)
	}
}

// Guards against sessions, transactions and single statements that a stopping node begins, and
// against a session that stays open behind such a refusal.
func TestStoppingNodeBeginsNothing(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.stopAt(0.45)
	_, refusal := s.engine.OpenSession(context.Background(), "intake", "key")
	s.expectStopping("session", refusal, rescode.ProxyDraining)
	for _, st := range []Statement{write("1"), read("2"), {ID: "3", Kind: Begin}} {
		a := s.handle(session, st)
		s.expectStopping(st.Kind.String(), a.Refusal, rescode.ProxyDraining)
		if !a.Close {
			t.Errorf("%s: the session stays open", st.Kind)
		}
	}
	if got := s.servers["p"].runs(); len(got) != 0 {
		t.Errorf("the primary ran %v", got)
	}
	if s.gate.left != manyRequests {
		t.Error("a refused operation was counted for its team")
	}
}

// Guards against a statement that is sent after the stop has given up, and against a connection
// that is used again inside the transaction of another caller.
func TestNothingIsSentAfterTheGiveUp(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	c := session.tx.conn
	s.stopAt(0.95)
	_, result := session.exchange(context.Background(), session.tx.op, c, time.Now().Add(longDeadline), write("3"))
	if result == nil {
		t.Fatal("a statement was sent")
	}
	s.expectStopping("statement", result.answer.Refusal, rescode.ProxyDraining)
	if !c.broken {
		t.Error("the connection may be used again inside a transaction")
	}
	s.expectStopping("commit", s.handle(session, Statement{ID: "4", Kind: Commit, Text: "COMMIT"}).Refusal, rescode.TransactionAborted)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the primary ran %d statements, want 1", got)
	}
}

// Guards against a wait for a connection that goes on when the stop has given up.
func TestWaitForConnectionEndsWithItsContext(t *testing.T) {
	p, _ := newTestPool(1)
	mustAcquire(t, p, "a")
	ctx, cancel := context.WithCancel(context.Background())
	refused := make(chan *Refusal)
	go func() {
		_, refusal := p.acquire(ctx, testRequest("b", longWait))
		refused <- refusal
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		waiting = p.waiters.Len()
		p.mu.Unlock()
	}
	cancel()
	if r := <-refused; r == nil || r.Reason != reasonStopping {
		t.Errorf("the waiting caller got %+v", r)
	}
	if p.waiters.Len() != 0 {
		t.Error("the caller is still in the queue")
	}
	if _, r := p.acquire(ctx, testRequest("b", longWait)); r == nil || r.Reason != reasonStopping {
		t.Errorf("a caller that comes later got %+v", r)
	}
}

// Guards against a wait for a primary, and against retries, that go on when the stop has given up.
func TestWaitForPrimaryEndsWithItsContext(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.engine.group("wax").markPrimaryLost("p")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begun := time.Now()
	s.expectStopping("write", session.Handle(ctx, write("1")).Refusal, rescode.ProxyDraining)
	if took := time.Since(begun); took >= primaryWait {
		t.Errorf("the write waited for %s", took)
	}
}

// Guards against an interrupted statement that counts as a failure of its upstream, of which the
// leader would be told, and against one whose outcome is called "not run".
func TestInterruptedStatementSaysNothingOfItsUpstream(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, write("0"))
	// An upstream whose last answer is recent would not count as failing anyway.
	s.engine.group("wax").pools["p"].answeredAt = 0
	s.servers["p"].update(func(f *fakeServer) { f.interrupts = true })
	s.expectStopping("write", s.handle(session, write("1")).Refusal, rescode.AnswerLost)
	s.servers["p"].update(func(f *fakeServer) { f.interrupts = false })
	s.mustSucceed(session, Statement{ID: "2", Kind: Begin})
	s.mustSucceed(session, write("3"))
	s.servers["p"].update(func(f *fakeServer) { f.interrupts = true })
	s.expectStopping("statement of a transaction", s.handle(session, write("4")).Refusal, rescode.TransactionAborted)
	s.mustSucceedRollback(session)
	if failing := s.engine.group("wax").pools["p"].failingFor(clock.Now()); failing != 0 {
		t.Errorf("the primary counts as failing for %s", failing)
	}
}

// mustSucceedRollback ends a failed transaction.
func (s *testNode) mustSucceedRollback(session *Session) {
	s.t.Helper()
	s.mustSucceed(session, Statement{ID: "r", Kind: Rollback})
}
