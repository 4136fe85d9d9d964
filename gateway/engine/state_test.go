package engine

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/sessionmem"
)

const (
	// testMemory and testMaxSessions are those of a node with 284 MB and 4200 file descriptors.
	testMemory      = 57 << 20
	testMaxSessions = 2940
	// largeText is the size of large texts, in bytes; largeTextCount of them exceed the memory of the node.
	largeText      = 512 << 10
	largeTextCount = 800
)

// newBoundedNode returns a node of the usual size.
func newBoundedNode(t *testing.T) (*testNode, *sessionmem.Budget) {
	s := newTestNode(t)
	budget := sessionmem.New(testMemory, testMaxSessions)
	s.engine.opts.SessionMemory = budget
	return s, budget
}

func set(name, value string) Statement {
	return Statement{ID: "s", Kind: SetValue, Name: name, Value: value}
}

// statesThatGrow are the ways in which a caller makes its session hold more. Each returns the n-th statement.
var statesThatGrow = map[string]func(n int) Statement{
	"prepared": func(n int) Statement {
		return prepare(fmt.Sprintf("s%d", n), false, strings.Repeat("q", largeText))
	},
	"values": func(n int) Statement { return set(fmt.Sprintf("t%d", n), strings.Repeat("v", largeText)) },
	"names":  func(n int) Statement { return prepare(fmt.Sprintf("%01024d", n), false, "q") },
	"tiny":   func(n int) Statement { return set(fmt.Sprintf("%d", n), "") },
}

// fill sends statements until one is refused, and returns its refusal and the number of those that were not.
func (s *testNode) fill(session *Session, grow func(n int) Statement) (*Refusal, int) {
	s.t.Helper()
	for n := 0; ; n++ {
		if a := s.handle(session, grow(n)); a.Refusal != nil {
			return a.Refusal, n
		}
		if session.state.Held() > testMemory {
			s.t.Fatalf("a session holds %d bytes after %d statements", session.state.Held(), n)
		}
	}
}

// Guards against a session that holds so much that it ends the node.
func TestSessionStateIsBounded(t *testing.T) {
	for name, grow := range statesThatGrow {
		t.Run(name, func(t *testing.T) {
			s, budget := newBoundedNode(t)
			greedy := s.open("intake", "key")
			s.mustSucceed(greedy, prepare("first", true, "q2"))
			refusal, _ := s.fill(greedy, grow)
			if refusal.Code != rescode.StatementLimit || refusal.Reason != reasonSessionStateFull {
				t.Errorf("refused with %v, %s", refusal.Code, refusal.Reason)
			}
			for n := range largeTextCount {
				s.handle(greedy, grow(largeTextCount+n))
			}
			if held := greedy.state.Held(); held > budget.SessionLimit() {
				t.Errorf("the session holds %d bytes, its limit is %d", held, budget.SessionLimit())
			}
			// The session goes on with what was acknowledged, and no other is concerned.
			s.mustSucceed(greedy, execute("1", "first", "lot x"))
			s.expectCode(s.handle(greedy, execute("2", "missing", "lot x")), rescode.UnknownStatement)
			s.prepareOrdinary(s.open("intake", "key"))
		})
	}
}

// prepareOrdinary prepares what an ordinary caller does: some dozens of statements of a few KB.
func (s *testNode) prepareOrdinary(session *Session) {
	s.t.Helper()
	for n := range 36 {
		s.mustSucceed(session, prepare(fmt.Sprintf("s%d", n), false, strings.Repeat("q", 4<<10)))
	}
}

// Guards against many sessions that together end the node, and against ordinary callers that are refused for what
// those hold.
func TestStateOfAllSessionsIsBounded(t *testing.T) {
	s, _ := newBoundedNode(t)
	var sessions []*Session
	open := func() *Session {
		session := s.open("intake", "key")
		sessions = append(sessions, session)
		return session
	}
	openGreedy := func(count int) {
		for range count {
			refusal, _ := s.fill(open(), statesThatGrow["names"])
			if refusal.Code != rescode.StatementLimit && refusal.Code != rescode.SessionMemoryFull {
				t.Fatalf("refused with %v", refusal.Code)
			}
		}
	}
	openGreedy(30)
	for range 5 {
		s.prepareOrdinary(open())
	}
	openGreedy(200)
	for range 50 {
		little := open()
		for n := range 30 {
			s.mustSucceed(little, prepare(fmt.Sprintf("s%d", n), false, "q2c"))
		}
	}
	total := int64(0)
	for _, session := range sessions {
		total += session.state.Held()
	}
	if total > testMemory {
		t.Errorf("sessions hold %d bytes", total)
	}
}

// Guards against entries that are counted on although the session does not hold them any more.
func TestDroppedStateIsGivenBack(t *testing.T) {
	s, budget := newBoundedNode(t)
	before := metricSessionStateBytes.Get()
	text := strings.Repeat("q", largeText)
	session := s.open("intake", "key")
	for range largeTextCount {
		s.mustSucceed(session, prepare("s", false, text))
		s.mustSucceed(session, set("s", text))
	}
	if held := session.state.Held(); held < 2*largeText || held > 2*(largeText+2*stateEntryBytes) {
		t.Errorf("a statement and a value hold %d bytes", held)
	}
	s.mustSucceed(session, set("s", "short"))
	for range largeTextCount {
		s.mustSucceed(session, prepare("s", false, text))
		s.mustSucceed(session, Statement{ID: "f", Kind: Forget, Name: "s"})
		s.mustSucceed(session, Statement{ID: "f", Kind: Forget, Name: "s"})
	}
	if held := session.state.Held(); held != stateBytes("s", "short") {
		t.Errorf("a short value holds %d bytes", held)
	}
	if got := metricSessionStateBytes.Get() - before; got != float64(stateBytes("s", "short")) {
		t.Errorf("the gauge has %v bytes for a short value", got)
	}
	session.Close()
	if got := metricSessionStateBytes.Get() - before; got != 0 {
		t.Errorf("the gauge has %v bytes for an ended session", got)
	}
	for range 100 {
		other := s.open("intake", "key")
		if refusal, n := s.fill(other, statesThatGrow["prepared"]); refusal.Code != rescode.StatementLimit || n < 3 {
			t.Fatalf("refused with %v after %d statements: ended sessions are counted", refusal.Code, n)
		}
		other.Close()
	}
	if got := budget.Open().Reserve(budget.SessionLimit()); got != sessionmem.Granted {
		t.Error("ended sessions are counted")
	}
}

// Guards against a refused statement that changes what the session holds, or ends its transaction.
func TestRefusedStateChangesNothing(t *testing.T) {
	s, _ := newBoundedNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, prepare("s", true, "q2"))
	s.mustSucceed(session, set("t", "old"))
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.fill(session, statesThatGrow["prepared"])
	text := strings.Repeat("q", largeText)
	s.expectCode(s.handle(session, prepare("s", true, text)), rescode.StatementLimit)
	s.expectCode(s.handle(session, set("t", text)), rescode.StatementLimit)
	s.mustSucceed(session, execute("2", "s", "lot x"))
	s.mustSucceed(session, Statement{ID: "3", Kind: Commit, Text: "COMMIT"})
	ran := s.servers["p"].runs()[0]
	if ran.prepared.shape != "q2" || ran.values["t"] != "old" || !ran.inTransaction {
		t.Errorf("ran %q with the value %q, in a transaction: %v", ran.prepared.shape, ran.values["t"], ran.inTransaction)
	}
}

// Guards against sessions that hold a START message of 1 MiB each: a public route accepts any key.
func TestLongKeyIsNotHeld(t *testing.T) {
	if got := heldKey(strings.Repeat("k", maxKeyBytes+1)); got != "" {
		t.Errorf("a key of %d bytes is held", len(got))
	}
	if got := heldKey("key"); got != "key" {
		t.Errorf("the key %q is held", got)
	}
	s, _ := newBoundedNode(t)
	if _, refusal := s.engine.OpenSession(context.Background(), "intake", strings.Repeat("k", largeText)); refusal == nil || refusal.Code != rescode.KeyWithdrawn {
		t.Errorf("a long key on a route that needs one: %+v", refusal)
	}
}

// Guards against a caller that fills the log with its refusals.
func TestRefusedStateIsLoggedOnce(t *testing.T) {
	s, _ := newBoundedNode(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	s.engine.log = logrus.NewEntry(logger)
	for range 3 {
		session := s.open("intake", "key")
		for n := range 100 {
			s.handle(session, statesThatGrow["prepared"](n))
		}
	}
	if got := strings.Count(out.String(), string(reasonSessionStateFull)); got != 1 {
		t.Errorf("%d lines were logged:\n%s", got, out.String())
	}
}
