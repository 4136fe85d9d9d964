package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
)

func prepare(name string, writes bool, shape string) Statement {
	return Statement{ID: "p", Kind: Prepare, Name: name, Writes: writes, Shape: shape}
}

func execute(id, name, arguments string) Statement {
	return Statement{ID: id, Kind: Execute, Text: "EXECUTE " + name + " " + arguments, Name: name, Value: arguments}
}

// ensure returns the name that p has on the connection, and the statement that prepares it if it is missing there.
func (n *preparedNames) ensure(p preparedStatement) (name string, st Statement, missing bool) {
	held := sessionStatement{preparedStatement: p, key: p.key()}
	if name, ok := n.lookup(held.key); ok {
		return name, Statement{}, false
	}
	added := n.next(held)
	n.apply(preparedChange{added: added})
	return added.name, added.prepare(p), true
}

// Guards against names at upstreams that hold text of a caller, which an upstream reads as more than a name.
func TestUpstreamNamesHoldNoTextOfCallers(t *testing.T) {
	var names preparedNames
	for i, c := range []struct {
		statement preparedStatement
		want      string
		missing   bool
	}{
		{preparedStatement{false, "sg READ q2"}, "p1", true},
		{preparedStatement{true, "sg READ q2"}, "p2", true},
		{preparedStatement{false, "sg READ q2"}, "p1", false},
		{preparedStatement{false, "p2"}, "p3", true},
	} {
		name, st, missing := names.ensure(c.statement)
		if name != c.want || missing != c.missing {
			t.Errorf("%d: name %q, missing %v", i, name, missing)
		}
		want := Statement{}
		if c.missing {
			want = Statement{Kind: Prepare, Name: c.want, Writes: c.statement.writes, Shape: c.statement.shape}
		}
		if diff := cmp.Diff(want, st); diff != "" {
			t.Errorf("%d: %s", i, diff)
		}
	}
}

// Guards against a name that stands for an earlier statement, if the upstream did not carry out a reset.
func TestUpstreamNameIsGivenOnce(t *testing.T) {
	var names preparedNames
	names.ensure(preparedStatement{shape: "a"})
	names.clear()
	if name, _, missing := names.ensure(preparedStatement{shape: "b"}); name != "p2" || !missing {
		t.Errorf("name %q, missing %v", name, missing)
	}
}

// Guards against statements of one access that run as the other for callers that share a connection.
func TestCallersOfOneShapeKeepTheirAccess(t *testing.T) {
	s := newTestNode(t)
	reader, writer := s.open("intake", "key"), s.open("intake", "key")
	s.mustSucceed(reader, prepare("s1", false, "q2"))
	s.mustSucceed(writer, prepare("s1", true, "q2"))
	s.mustSucceed(reader, execute("1", "s1", "lot"))
	s.mustSucceed(writer, execute("2", "s1", "lot"))
	var ran []preparedStatement
	for _, r := range s.servers["p"].runs() {
		ran = append(ran, r.prepared)
	}
	want := []preparedStatement{{false, "q2"}, {true, "q2"}}
	if diff := cmp.Diff(want, ran, cmp.AllowUnexported(preparedStatement{})); diff != "" {
		t.Error(diff)
	}
}

// Guards against the repetition of a prepared write whose answer was lost.
func TestLostAnswerOfPreparedWriteIsNotRepeated(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, prepare("r", true, "q2"))
	s.servers["p"].update(func(f *fakeServer) { f.dropAnswers = 1 })
	s.expectCode(s.handle(session, execute("1", "r", "lot x")), rescode.AnswerLost)
	if got := len(s.servers["p"].runs()); got != 1 {
		t.Errorf("the write ran %d times", got)
	}
}

// Guards against a connection that stays in use with a statement that the upstream refused to prepare, whose
// name would then be unknown there for every later caller.
func TestRefusedPrepareEndsTheConnection(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, prepare("s1", false, "q2"))
	s.servers["p"].update(func(f *fakeServer) { f.refusePrepare = 1 })
	s.expectCode(s.handle(session, execute("1", "s1", "lot")), rescode.MalformedPacket)
	s.mustSucceed(session, execute("2", "s1", "lot"))
	if got := s.servers["p"].dials; got != 2 {
		t.Errorf("%d connections were opened, want 2", got)
	}
}

// Guards against a statement that no upstream can be sent and that takes an upstream, its connection or other
// callers' transactions out of use.
func TestUnsendableStatementConcernsItsCallerOnly(t *testing.T) {
	for _, c := range []struct {
		err  error
		want rescode.Code
	}{{ErrTooLarge, rescode.PacketTooLarge}, {ErrUnencodable, rescode.MalformedPacket}} {
		s := newTestNode(t)
		session := s.open("intake", "key")
		s.mustSucceed(session, prepare("s1", false, "q2"))
		s.mustSucceed(session, write("1"))
		s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = c.err })
		s.expectCode(s.handle(session, execute("2", "s1", "lot")), c.want)
		s.expectCode(s.handle(session, write("3")), c.want)
		s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = nil })
		s.mustSucceed(session, execute("4", "s1", "lot"))
		s.mustSucceed(session, write("5"))
		if got := s.servers["p"].dials; got != 1 {
			t.Errorf("%v: %d connections were opened, want 1", c.err, got)
		}
		if s.gate.left != manyRequests-3 {
			t.Errorf("%v: a statement that was not sent was counted", c.err)
		}
	}
}

// Guards against a transaction that goes on without one of its statements.
func TestUnsendableStatementAbortsItsTransaction(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = ErrTooLarge })
	s.expectCode(s.handle(session, write("3")), rescode.TransactionAborted)
	s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = nil })
	s.expectCode(s.handle(session, Statement{ID: "4", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)
	p, _ := s.engine.group("wax").primaryPool()
	if p.failing {
		t.Error("the upstream counts as failing")
	}
}

// Guards against a connection that returns to the pool inside a transaction, in which other callers' writes would
// then run without a commit.
func TestUnsendableReadLeavesNoTransactionOpen(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = ErrTooLarge })
	s.expectCode(s.handle(session, read("1")), rescode.PacketTooLarge)
	s.servers["p"].update(func(f *fakeServer) { f.refuseToSend = nil })
	s.mustSucceed(s.open("intake", "key"), write("2"))
	for _, r := range s.servers["p"].runs() {
		if r.inTransaction {
			t.Errorf("%s ran inside the transaction of another statement", r.text)
		}
	}
}

// Guards against a caller whose statement or session value the upstream refuses and that takes the upstream out of
// use for other callers, as if it did not answer.
func TestRefusedSetupIsAnAnswer(t *testing.T) {
	for _, c := range []struct {
		setup  Statement
		refuse func(*fakeServer)
		want   rescode.Code
	}{
		{prepare("s2", true, "q2"), func(f *fakeServer) { f.refusePrepare = 1 }, rescode.MalformedPacket},
		{Statement{ID: "v", Kind: SetValue, Name: "a", Value: "b"}, func(f *fakeServer) { f.refuseSet = true }, rescode.UpstreamLost},
	} {
		t.Run(c.setup.Kind.String(), func(t *testing.T) {
			s := newTestNode(t)
			session := s.open("intake", "key")
			s.mustSucceed(session, prepare("s2", true, "q1"))
			s.mustSucceed(session, write("1"))
			s.mustSucceed(session, c.setup)
			s.servers["p"].update(c.refuse)
			time.Sleep(failureGracePeriod)
			s.expectCode(s.handle(session, execute("2", "s2", "lot")), c.want)
			if p, _ := s.engine.group("wax").primaryPool(); p.failing {
				t.Error("the upstream counts as failing")
			}
			s.mustSucceed(s.open("intake", "key"), write("3"))
		})
	}
}
