package engine

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// code returns the result code of an answer; OK without a refusal.
func code(a Answer) rescode.Code {
	if a.Refusal == nil {
		return rescode.OK
	}
	return a.Refusal.Code
}

func (s *testNode) expectCode(a Answer, want rescode.Code) {
	s.t.Helper()
	if got := code(a); got != want {
		s.t.Errorf("answered %s, want %s", got, want)
	}
}

// Guards against old data from a replaced primary that still answers reads: a read that must
// see every commit runs only after the server has proved that it is the primary.
func TestReplacedPrimaryRunsNoRead(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, read("1"))
	s.servers["p"].update(func(f *fakeServer) { f.isPrimary = false })
	a := s.handle(session, read("2"))
	s.expectCode(a, rescode.GroupFenced)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the replaced primary ran %d reads, want 1", got)
	}
}

// Guards against a retry of a write whose answer was lost, which could take effect twice, and
// against a refusal that states that it has not run.
func TestLostAnswerOfWriteIsNotRepeated(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.servers["p"].update(func(f *fakeServer) { f.dropAnswers = 1 })
	s.expectCode(s.handle(session, write("1")), rescode.AnswerLost)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the write ran %d times", got)
	}
	if s.gate.left != manyRequests-1 {
		t.Error("a write that may have run was not counted")
	}
}

// Guards against an error for a read whose answer was lost and that can run on another
// upstream.
func TestLostAnswerOfReadIsRepeated(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].update(func(f *fakeServer) { f.dropAnswers, f.position = 1, s.servers["p"].position })
	}
	s.mustSucceed(session, read("2"))
}

// Guards against a statement that runs outside its transaction because the upstream refused
// the begin.
func TestStatementWaitsForItsTransaction(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.servers["p"].update(func(f *fakeServer) { f.isPrimary = false })
	s.expectCode(s.handle(session, write("2")), rescode.GroupFenced)
	for id, server := range s.servers {
		if got := server.runs(); len(got) > 0 {
			t.Errorf("%s ran %v", id, got)
		}
	}
	if s.gate.left != manyRequests {
		t.Error("a transaction that has not run was counted")
	}
	if session.State() != FailedTransaction {
		t.Errorf("state %d", session.State())
	}
	s.expectCode(s.handle(session, read("3")), rescode.TransactionFailed)
	s.mustSucceed(session, Statement{ID: "4", Kind: Rollback})
}

// Guards against a transaction that continues on another connection after its own was lost,
// and against a refusal that states that a commit whose answer was lost had no effect.
func TestLostTransactions(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	s.servers["p"].update(func(f *fakeServer) { f.dropAnswers = 1 })
	s.expectCode(s.handle(session, write("3")), rescode.TransactionAborted)
	s.expectCode(s.handle(session, Statement{ID: "4", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)

	s.mustSucceed(session, Statement{ID: "5", Kind: Begin})
	s.mustSucceed(session, write("6"))
	s.servers["p"].update(func(f *fakeServer) { f.dropAnswers = 1 })
	s.expectCode(s.handle(session, Statement{ID: "7", Kind: Commit, Text: "COMMIT"}), rescode.AnswerLost)
	if session.State() != Idle {
		t.Errorf("state %d after a commit", session.State())
	}
}

// Guards against reads that miss the session's own commit.
func TestOwnWriteIsReadFromReplicaThatHasIt(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	for _, id := range []string{"2", "3", "4"} {
		s.mustSucceed(session, read(id))
	}
	for _, replica := range []string{"r1", "r2"} {
		if got := s.servers[replica].runs(); len(got) > 0 {
			t.Errorf("%s, which lacks the write, ran %v", replica, got)
		}
	}
	s.servers["r1"].update(func(f *fakeServer) { f.position = s.servers["p"].position })
	pools := s.engine.group("wax").pools
	pools["r1"].setPosition(s.servers["p"].position)
	pools["p"].recordAnswer(time.Second)
	s.mustSucceed(session, read("5"))
	if got := len(s.servers["r1"].runs()); got != 1 {
		t.Errorf("r1, which has the write, ran %d reads", got)
	}
}

// Guards against a node that serves with a configuration that may be out of date.
func TestNodeWithoutLeaseServesNothing(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, read("2"))
	s.control.leaseExpired = true
	s.expectCode(s.handle(session, read("3")), rescode.ProxyDetached)
	if _, refusal := s.engine.OpenSession(context.Background(), "intake", "key"); refusal == nil || refusal.Code != rescode.ProxyDetached {
		t.Errorf("a new session without a lease: refusal %+v", refusal)
	}
}

// Guards against a withdrawn key that still works for connected callers, inside a transaction
// too, and against the old team of a key that was moved to another team.
func TestWithdrawnKeyEndsConnectedCaller(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	inside := s.open("intake", "key")
	s.mustSucceed(session, read("1"))
	s.mustSucceed(inside, Statement{ID: "2", Kind: Begin})
	s.mustSucceed(inside, read("3"))
	s.configure(2, "new-key", "melt")
	a := s.handle(session, read("4"))
	s.expectCode(a, rescode.KeyWithdrawn)
	if !a.Close {
		t.Error("the session was not closed")
	}
	s.expectCode(s.handle(inside, read("5")), rescode.KeyWithdrawn)
	s.configure(3, "key", "bench")
	if got := s.handle(s.open("intake", "key"), read("6")); got.Refusal != nil {
		t.Errorf("a key that another team holds now was refused: %+v", got.Refusal)
	}
	runs := s.servers["p"].runs()
	if last := runs[len(runs)-1]; last.team != "bench" {
		t.Errorf("ran for team %q", last.team)
	}
}

// Guards against statements that run with the session values or prepared statements of
// another caller.
func TestSessionsOnOneConnectionDoNotMix(t *testing.T) {
	s := newTestNode(t)
	first, second := s.open("intake", "key"), s.open("intake", "key")
	s.mustSucceed(first, Statement{ID: "1", Kind: SetValue, Name: "zone", Value: "a"})
	s.mustSucceed(first, Statement{ID: "2", Kind: Prepare, Name: "s1", Shape: "q1", Writes: true})
	s.mustSucceed(second, Statement{ID: "3", Kind: Prepare, Name: "s1", Shape: "q2"})
	s.mustSucceed(first, Statement{ID: "4", Kind: Execute, Name: "s1", Value: "x", Text: "first"})
	s.mustSucceed(second, Statement{ID: "5", Kind: Execute, Name: "s1", Value: "x", Text: "second"})
	s.mustSucceed(first, Statement{ID: "6", Kind: Execute, Name: "s1", Value: "x", Text: "third"})
	values := map[string]map[string]string{}
	for _, r := range s.servers["p"].runs() {
		values[r.text] = r.values
	}
	want := map[string]map[string]string{"first": {"zone": "a"}, "second": {}, "third": {"zone": "a"}}
	if diff := cmp.Diff(want, values); diff != "" {
		t.Error(diff)
	}
	s.mustSucceed(second, Statement{ID: "7", Kind: Forget, Name: "s1"})
	s.expectCode(s.handle(second, Statement{ID: "8", Kind: Execute, Name: "s1", Value: "x"}), rescode.UnknownStatement)
}

// Guards against a statement of a team on a connection of another team.
func TestConnectionBelongsToOneTeam(t *testing.T) {
	s := newTestNode(t)
	for i, key := range []string{"key", "other-key", "key", "other-key"} {
		s.mustSucceed(s.open("intake", key), write(string(rune('a'+i))))
	}
	for _, r := range s.servers["p"].runs() {
		want := map[string]string{"WRITE a": "melt", "WRITE b": "other", "WRITE c": "melt", "WRITE d": "other"}[r.text]
		if r.team != want {
			t.Errorf("%s ran for team %s", r.text, r.team)
		}
	}
}

// Guards against requests beyond the team's rate.
func TestRateLimitIsEnforced(t *testing.T) {
	s := newTestNode(t)
	s.gate.left = 2
	session := s.open("intake", "key")
	s.mustSucceed(session, read("1"))
	s.mustSucceed(session, Statement{ID: "2", Kind: Begin})
	s.mustSucceed(session, read("3"))
	s.mustSucceed(session, read("4"))
	s.mustSucceed(session, Statement{ID: "5", Kind: Commit, Text: "COMMIT"})
	s.expectCode(s.handle(session, read("6")), rescode.RateExceeded)
}

// Guards against an idle transaction that holds its connection for ever.
func TestIdleTransactionIsEnded(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	session.AbortIdleTransaction()
	if p := s.engine.group("wax").pools["p"]; p.inUse != 0 || p.open != 0 {
		t.Errorf("%d connections in use, %d open", p.inUse, p.open)
	}
	s.expectCode(s.handle(session, Statement{ID: "3", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)
}

// Guards against a primary that this node cannot reach but reports as healthy.
func TestUnreachablePrimaryIsReported(t *testing.T) {
	s := newTestNode(t)
	s.servers["p"].update(func(f *fakeServer) { f.unreachable = true })
	s.handle(s.open("intake", "key"), write("1"))
	views := s.engine.Primaries(clock.Now())
	if len(views) != 1 || views[0].FailingMs == 0 {
		t.Errorf("reported primaries %v", views)
	}
}

// Guards against a connection in an unknown state that the next caller gets after a panic in the
// middle of an exchange, inside a transaction and outside one.
func TestConnectionIsClosedAfterPanic(t *testing.T) {
	for _, transaction := range []bool{false, true} {
		s := newTestNode(t)
		session := s.open("intake", "key")
		if transaction {
			s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
			s.mustSucceed(session, write("2"))
		}
		s.servers["p"].update(func(f *fakeServer) { f.panics = true })
		func() {
			defer func() { _ = recover() }()
			s.handle(session, write("3"))
			t.Error("the fake connection did not panic")
		}()
		session.Close()
		if p := s.engine.group("wax").pools["p"]; p.open != 0 || p.inUse != 0 {
			t.Errorf("in a transaction %t: %d connections are open, %d in use", transaction, p.open, p.inUse)
		}
	}
}
