package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// code returns the result code of an answer, OK without a refusal.
func code(a Answer) rescode.Code {
	if a.Refusal == nil {
		return rescode.OK
	}
	return a.Refusal.Code
}

func (s *system) expect(a Answer, want rescode.Code) {
	s.t.Helper()
	if got := code(a); got != want {
		s.t.Errorf("answered %s, want %s", got, want)
	}
}

// Guards against old data from a primary that was replaced and still answers reads: a
// read that must see every commit runs only behind the proof that the server leads.
func TestReplacedPrimaryRunsNoRead(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.must(session, read("1"))
	s.servers["p"].set(func(f *fakeServer) { f.leads = false })
	a := s.do(session, read("2"))
	s.expect(a, rescode.GroupFenced)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the replaced primary ran %d reads, want 1", got)
	}
}

// Guards against a write that takes effect twice because its answer was lost, and
// against a refusal that says it has not run.
func TestLostAnswerOfWriteIsNotRepeated(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.servers["p"].set(func(f *fakeServer) { f.lose = 1 })
	s.expect(s.do(session, write("1")), rescode.AnswerLost)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the write ran %d times", got)
	}
	if s.tokens.left != manyTokens-1 {
		t.Error("the token of a write that may have run came back")
	}
}

// Guards against a caller who gets no answer to a read that can run elsewhere.
func TestLostAnswerOfReadIsRepeated(t *testing.T) {
	s := newSystem(t)
	session := s.open("lots", "key")
	s.must(session, write("1"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].set(func(f *fakeServer) { f.lose, f.position = 1, s.servers["p"].position })
	}
	s.must(session, read("2"))
}

// Guards against a statement that runs outside its transaction, because the upstream
// refused to begin it.
func TestStatementWaitsForItsTransaction(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.must(session, Statement{ID: "1", Kind: Begin})
	s.servers["p"].set(func(f *fakeServer) { f.leads = false })
	s.expect(s.do(session, write("2")), rescode.GroupFenced)
	for id, server := range s.servers {
		if got := server.runs(); len(got) > 0 {
			t.Errorf("%s ran %v", id, got)
		}
	}
	if s.tokens.left != manyTokens {
		t.Error("the token of a transaction that has not run is gone")
	}
	if session.State() != FailedTransaction {
		t.Errorf("state %d", session.State())
	}
	s.expect(s.do(session, read("3")), rescode.TransactionFailed)
	s.must(session, Statement{ID: "4", Kind: Rollback})
}

// Guards against a transaction that goes on elsewhere after its connection was lost, and
// against a promise that nothing is kept behind a commit whose answer was lost.
func TestLostTransactions(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.must(session, Statement{ID: "1", Kind: Begin})
	s.must(session, write("2"))
	s.servers["p"].set(func(f *fakeServer) { f.lose = 1 })
	s.expect(s.do(session, write("3")), rescode.TransactionAborted)
	s.expect(s.do(session, Statement{ID: "4", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)

	s.must(session, Statement{ID: "5", Kind: Begin})
	s.must(session, write("6"))
	s.servers["p"].set(func(f *fakeServer) { f.lose = 1 })
	s.expect(s.do(session, Statement{ID: "7", Kind: Commit, Text: "COMMIT"}), rescode.AnswerLost)
	if session.State() != Idle {
		t.Errorf("state %d behind a commit", session.State())
	}
}

// Guards against reads that lack the session's own commit.
func TestOwnWriteIsReadFromReplicaThatHasIt(t *testing.T) {
	s := newSystem(t)
	session := s.open("lots", "key")
	s.must(session, write("1"))
	for _, id := range []string{"2", "3", "4"} {
		s.must(session, read(id))
	}
	for _, replica := range []string{"r1", "r2"} {
		if got := s.servers[replica].runs(); len(got) > 0 {
			t.Errorf("%s, which lacks the write, ran %v", replica, got)
		}
	}
	s.servers["r1"].set(func(f *fakeServer) { f.position = s.servers["p"].position })
	pools := s.engine.group("wax").pools
	pools["r1"].sawPosition(s.servers["p"].position)
	pools["p"].answered(time.Second)
	s.must(session, read("5"))
	if got := len(s.servers["r1"].runs()); got != 1 {
		t.Errorf("r1, which has the write, ran %d reads", got)
	}
}

// Guards against a node that serves on a configuration which may be out of date.
func TestDetachedNodeServesNothing(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.must(session, Statement{ID: "1", Kind: Begin})
	s.must(session, read("2"))
	s.fleet.detached = true
	s.expect(s.do(session, read("3")), rescode.ProxyDetached)
	if _, refusal := s.engine.OpenSession("intake", "key"); refusal == nil || refusal.Code != rescode.ProxyDetached {
		t.Errorf("a new session: %+v", refusal)
	}
}

// Guards against a withdrawn key that works for connected callers, also inside a
// transaction and when another team holds it now.
func TestWithdrawnKeyEndsConnectedCaller(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	inside := s.open("intake", "key")
	s.must(session, read("1"))
	s.must(inside, Statement{ID: "2", Kind: Begin})
	s.must(inside, read("3"))
	s.configure(2, "new-key", "melt")
	a := s.do(session, read("4"))
	s.expect(a, rescode.KeyWithdrawn)
	if !a.Close {
		t.Error("the session goes on")
	}
	s.expect(s.do(inside, read("5")), rescode.KeyWithdrawn)
	s.configure(3, "key", "bench")
	if got := s.do(s.open("intake", "key"), read("6")); got.Refusal != nil {
		t.Errorf("the key of another team now: %+v", got.Refusal)
	}
	runs := s.servers["p"].runs()
	if last := runs[len(runs)-1]; last.team != "bench" {
		t.Errorf("ran for team %q", last.team)
	}
}

// Guards against values and prepared statements of one caller in another's statements.
func TestSessionsOnOneConnectionDoNotMix(t *testing.T) {
	s := newSystem(t)
	first, second := s.open("intake", "key"), s.open("intake", "key")
	s.must(first, Statement{ID: "1", Kind: SetValue, Name: "zone", Value: "a"})
	s.must(first, Statement{ID: "2", Kind: Prepare, Name: "s1", Shape: "q1", Writes: true})
	s.must(second, Statement{ID: "3", Kind: Prepare, Name: "s1", Shape: "q2"})
	s.must(first, Statement{ID: "4", Kind: Execute, Name: "s1", Value: "x", Text: "first"})
	s.must(second, Statement{ID: "5", Kind: Execute, Name: "s1", Value: "x", Text: "second"})
	s.must(first, Statement{ID: "6", Kind: Execute, Name: "s1", Value: "x", Text: "third"})
	values := map[string]map[string]string{}
	for _, r := range s.servers["p"].runs() {
		values[r.text] = r.values
	}
	want := map[string]map[string]string{"first": {"zone": "a"}, "second": {}, "third": {"zone": "a"}}
	if diff := cmp.Diff(want, values); diff != "" {
		t.Error(diff)
	}
	s.must(second, Statement{ID: "7", Kind: Forget, Name: "s1"})
	s.expect(s.do(second, Statement{ID: "8", Kind: Execute, Name: "s1", Value: "x"}), rescode.UnknownStatement)
}

// Guards against a team's request on a connection of another team.
func TestConnectionBelongsToOneTeam(t *testing.T) {
	s := newSystem(t)
	for i, key := range []string{"key", "other-key", "key", "other-key"} {
		s.must(s.open("intake", key), write(string(rune('a'+i))))
	}
	for _, r := range s.servers["p"].runs() {
		want := map[string]string{"WRITE a": "melt", "WRITE b": "other", "WRITE c": "melt", "WRITE d": "other"}[r.text]
		if r.team != want {
			t.Errorf("%s ran for team %s", r.text, r.team)
		}
	}
}

// Guards against requests beyond the team's rate.
func TestRateIsKept(t *testing.T) {
	s := newSystem(t)
	s.tokens.left = 2
	session := s.open("intake", "key")
	s.must(session, read("1"))
	s.must(session, Statement{ID: "2", Kind: Begin})
	s.must(session, read("3"))
	s.must(session, read("4"))
	s.must(session, Statement{ID: "5", Kind: Commit, Text: "COMMIT"})
	s.expect(s.do(session, read("6")), rescode.RateExceeded)
}

// Guards against an idle transaction that holds a connection for ever.
func TestIdleTransactionIsEnded(t *testing.T) {
	s := newSystem(t)
	session := s.open("intake", "key")
	s.must(session, Statement{ID: "1", Kind: Begin})
	s.must(session, write("2"))
	session.AbortIdleTransaction()
	if p := s.engine.group("wax").pools["p"]; p.lent != 0 || p.open != 0 {
		t.Errorf("%d connections lent, %d open", p.lent, p.open)
	}
	s.expect(s.do(session, Statement{ID: "3", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)
}

// Guards against a primary that the node cannot reach being reported as well.
func TestUnreachablePrimaryIsReported(t *testing.T) {
	s := newSystem(t)
	s.servers["p"].set(func(f *fakeServer) { f.dark = true })
	s.do(s.open("intake", "key"), write("1"))
	views := s.engine.Primaries(clock.Now())
	if len(views) != 1 || views[0].FailingMs == 0 {
		t.Errorf("reported %v", views)
	}
}
