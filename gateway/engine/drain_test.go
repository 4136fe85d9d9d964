package engine

import (
	"context"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// Guards against work that is begun so late that it reaches its upstream after the end of the drain, and against
// a drain whose end is not known being taken as endless.
func TestDrainIsOver(t *testing.T) {
	const end = 100 * time.Second
	for name, c := range map[string]struct {
		now      time.Duration
		draining bool
		endsAt   time.Duration
		want     bool
	}{
		"not draining":         {end, false, 0, false},
		"long before the end":  {end - time.Second, true, end, false},
		"before the margin":    {end - drainMargin - 1, true, end, false},
		"in the margin":        {end - drainMargin, true, end, true},
		"after the end":        {end + time.Second, true, end, true},
		"the end is not known": {end, true, 0, true},
	} {
		if got := drainIsOver(c.now, c.draining, c.endsAt); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// drain lets the node know that an upstream drains for the given time; unknown is set if the leader does not
// know the end.
func (s *testNode) drain(id string, left time.Duration, unknown bool) {
	for _, u := range s.control.view.Topology.Upstreams {
		u.Draining = u.Draining || u.Id == id
	}
	s.control.view.DrainEnds = map[string]time.Duration{id: clock.Now() + left}
	if unknown {
		s.control.view.DrainEnds = nil
	}
	s.engine.Update(&s.control.view)
}

// expectDrained checks that a statement was refused at once with the promise that it has not run.
func (s *testNode) expectDrained(session *Session, st Statement) {
	s.t.Helper()
	begun := time.Now()
	a := s.handle(session, st)
	if a.Refusal == nil || a.Refusal.Reason != reasonDrained || a.Refusal.Upstream != "p" || a.Refusal.RetryAfter == 0 {
		s.t.Errorf("%s: answered with %+v", st.Kind, a.Refusal)
		return
	}
	if info, _ := rescode.Lookup(a.Refusal.Code); info.Execution != rescode.NotRun {
		s.t.Errorf("%s: refused with %s, which does not say that nothing has run", st.Kind, a.Refusal.Code)
	}
	if took := time.Since(begun); took >= primaryWait {
		s.t.Errorf("%s: refused after %s", st.Kind, took)
	}
}

func (s *testNode) expectRuns(id string, want int) {
	s.t.Helper()
	if got := s.servers[id].runs(); len(got) != want {
		s.t.Errorf("%s ran %d statements, want %d: %v", id, len(got), want, got)
	}
}

// Guards against work that is begun on a draining primary after the end of its drain, while no other is
// promoted, and against a refusal that does not promise that nothing has run.
func TestNothingBeginsAfterTheDrain(t *testing.T) {
	for name, unknown := range map[string]bool{"known end": false, "unknown end": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestNode(t)
			intake, lots := s.open("intake", "key"), s.open("lots", "key")
			s.mustSucceed(intake, write("1"))
			s.drain("p", 0, unknown)
			s.expectDrained(intake, write("2"))
			s.expectDrained(intake, read("3"))
			s.expectDrained(lots, write("4"))
			s.mustSucceed(intake, Statement{ID: "5", Kind: Begin})
			s.expectDrained(intake, write("6"))
			s.mustSucceedRollback(intake)
			s.expectRuns("p", 1)
			if s.gate.left != manyRequests-1 {
				t.Errorf("refused operations were counted for their team: %d are left", s.gate.left)
			}
			if failing := s.engine.group("wax").pools["p"].failingFor(clock.Now()); failing != 0 {
				t.Errorf("the primary counts as failing for %s", failing)
			}
		})
	}
}

// Guards against refusals before the end of a drain: until then the primary takes all work.
func TestDrainingPrimaryWorksUntilTheEnd(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.drain("p", time.Minute, false)
	s.mustSucceed(session, write("1"))
	s.mustSucceed(session, read("2"))
	s.expectRuns("p", 2)
}

// Guards against a transaction that is cut although the drain counts only its first statement.
func TestOpenTransactionOutlivesTheDrain(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, write("2"))
	s.drain("p", 0, false)
	s.mustSucceed(session, write("3"))
	s.mustSucceed(session, Statement{ID: "4", Kind: Commit, Text: "COMMIT"})
	s.expectDrained(session, write("5"))
	s.expectRuns("p", 3)
}

// Guards against a statement that is sent after the end because the drain ended while it waited for a
// connection, and against a connection that is used again inside the transaction begun for it.
func TestDrainEndsBeforeTheStatementIsSent(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	if refusal := session.ensureBegun(context.Background(), write("2")); refusal != nil {
		t.Fatal(refusal)
	}
	c := session.tx.conn
	s.drain("p", 0, false)
	a := s.handle(session, write("2"))
	if a.Refusal == nil || a.Refusal.Code != rescode.TransactionAborted || a.Refusal.Reason != reasonDrained {
		t.Errorf("answered with %+v", a.Refusal)
	}
	if !c.broken {
		t.Error("the connection may be used again inside a transaction")
	}
	s.expectRuns("p", 0)
}

// Guards against reads that fail or reach a draining upstream although others can serve them.
func TestReadsGoElsewhereAfterTheDrain(t *testing.T) {
	s := newTestNode(t)
	session := s.open("lots", "key")
	s.mustSucceed(session, write("1"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].update(func(f *fakeServer) { f.position = s.servers["p"].position })
	}
	s.drain("p", 0, false)
	s.drain("r1", 0, true)
	s.mustSucceed(session, read("2"))
	s.expectRuns("p", 1)
	s.expectRuns("r1", 0)
	s.expectRuns("r2", 1)
}

// Guards against refusals that go on once another server is promoted, or the primary has started again.
func TestWorkBeginsAgainAfterTheDrain(t *testing.T) {
	s := newTestNode(t)
	session := s.open("intake", "key")
	s.drain("p", 0, false)
	s.expectDrained(session, write("1"))
	s.servers["p"].update(func(f *fakeServer) { f.isPrimary = false })
	s.servers["r1"].update(func(f *fakeServer) { f.isPrimary = true })
	s.control.view.Topology.Primaries = []*controlpb.TopologyPrimary{{Service: "wax", Upstream: "r1", Term: 2}}
	s.engine.Update(&s.control.view)
	s.mustSucceed(session, write("2"))
	s.expectRuns("r1", 1)

	s = newTestNode(t)
	session = s.open("intake", "key")
	s.drain("p", 0, false)
	s.expectDrained(session, write("1"))
	s.control.view.Topology.Upstreams[0].Draining, s.control.view.DrainEnds = false, nil
	s.engine.Update(&s.control.view)
	s.mustSucceed(session, write("2"))
	s.expectRuns("p", 1)
}
