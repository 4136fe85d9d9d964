package engine

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/topology"
)

// drainPlace lets the node know that a data centre drains for the given time.
func (s *testNode) drainPlace(place string, left time.Duration) {
	s.control.view.PlaceDrains = map[string]topology.PlaceDrain{place: {Order: 1, EndsAt: clock.Now() + left}}
	s.engine.Update(&s.control.view)
}

func (s *testNode) endPlaceDrains() {
	s.control.view.PlaceDrains = nil
	s.engine.Update(&s.control.view)
}

// expectPlaceDrained checks that a statement was refused with a code that promises that nothing is kept.
func (s *testNode) expectPlaceDrained(session *Session, st Statement, want rescode.Code) {
	s.t.Helper()
	a := s.handle(session, st)
	if a.Refusal == nil || a.Refusal.Code != want || a.Refusal.Reason != reasonPlaceDrained || a.Refusal.Upstream != "p" {
		s.t.Errorf("%s: answered with %+v", st.Kind, a.Refusal)
	}
}

// Guards against statements that reach a drained data centre after the end of its drain: single ones, the first of a
// transaction, and those of a transaction that is open there; and against an unknown end that is taken as endless.
func TestNothingReachesADrainedPlace(t *testing.T) {
	for name, end := range map[string]func(*testNode){
		"known end":   func(s *testNode) { s.drainPlace("here", 0) },
		"in margin":   func(s *testNode) { s.drainPlace("here", drainMargin/2) },
		"unknown end": func(s *testNode) { s.drainPlace("here", -clock.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestNode(t)
			commits, writes, rolls := s.open("intake", "key"), s.open("intake", "key"), s.open("lots", "key")
			for _, session := range []*Session{commits, writes, rolls} {
				s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
				s.mustSucceed(session, write("2"))
			}
			end(s)
			s.expectPlaceDrained(commits, Statement{ID: "3", Kind: Commit, Text: "COMMIT"}, rescode.TransactionAborted)
			s.expectPlaceDrained(writes, write("3"), rescode.TransactionAborted)
			s.mustSucceedRollback(writes)
			s.mustSucceedRollback(rolls)
			s.expectPlaceDrained(commits, write("4"), rescode.GroupFenced)
			s.expectRuns("p", 3)
			s.servers["p"].update(func(f *fakeServer) { f.largestBatch = 0 })
			s.engine.group("wax").queryPosition(context.Background(), s.engine.group("wax").pools["p"])
			if s.servers["p"].largestBatch > 0 {
				t.Error("the node has asked the primary for its position")
			}
			for i, c := range s.servers["p"].conns {
				if !c.closed {
					t.Errorf("connection %d is open: its transaction is not rolled back", i)
				}
			}
			s.endPlaceDrains()
			s.mustSucceed(commits, write("5"))
			s.expectRuns("p", 4)
		})
	}
}

// Guards against refusals before the end of the drain, and reads that go to a draining data centre although others
// can serve them.
func TestDrainingPlaceServesWritesUntilTheEnd(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].update(func(f *fakeServer) { f.position = s.servers["p"].position })
	}
	s.drainPlace("here", time.Minute)
	s.mustSucceed(session, read("2"))
	s.expectRuns("r2", 1)
	s.mustSucceed(session, write("3"))
	s.expectRuns("p", 2)
	s.expectRuns("r1", 0)
}
