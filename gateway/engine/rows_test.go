package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/rescode"
)

// rowRecorder is a RowWriter that keeps the rows, or fails.
type rowRecorder struct {
	rows []string
	err  error
}

func (r *rowRecorder) WriteRows(rows []string, _ time.Time) error {
	r.rows = append(r.rows, rows...)
	return r.err
}

// newRelayingNode returns a node whose servers pass a row on before the rest of an answer, and a session.
func newRelayingNode(t *testing.T, writer RowWriter) (*testNode, *Session) {
	s := newTestNode(t)
	for _, server := range s.servers {
		server.update(func(f *fakeServer) { f.firstRows = []string{"first"} })
	}
	session := s.open("lots", "key")
	session.SendRowsTo(writer)
	return s, session
}

// Guards against rows that a caller is sent twice, because a read is repeated after a part of its answer was passed on.
func TestReadIsNotRepeatedBehindPassedRows(t *testing.T) {
	w := &rowRecorder{}
	s, session := newRelayingNode(t, w)
	for _, server := range s.servers {
		server.update(func(f *fakeServer) { f.dropAnswers = 1 })
	}
	s.expectCode(s.handle(session, read("1")), rescode.StatementTimeout)
	if diff := cmp.Diff([]string{"first"}, w.rows); diff != "" {
		t.Error(diff)
	}
	for _, server := range s.servers {
		server.update(func(f *fakeServer) { f.dropAnswers = 0 })
	}
	s.mustSucceed(session, read("2"))
}

// Guards against an upstream that is taken out of use because a caller does not read its answer.
func TestCallerThatReadsNoRowsSaysNothingAboutTheUpstream(t *testing.T) {
	s, session := newRelayingNode(t, &rowRecorder{err: errors.New("connection reset")})
	a := s.handle(session, read("1"))
	if a.Refusal == nil || a.Refusal.Reason != reasonCallerGone {
		t.Errorf("answered %+v", a)
	}
	for id, p := range s.engine.group("wax").pools {
		if p.failing {
			t.Errorf("%s counts as failing", id)
		}
	}
}

// Guards against a primary that is taken out of use because a caller reads a large answer too slowly.
func TestAnswerCutByItsTimeoutSaysNothingAboutTheUpstream(t *testing.T) {
	s, session := newRelayingNode(t, &rowRecorder{})
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	s.mustSucceed(session, read("2"))
	p, _ := s.engine.group("wax").primaryPool()
	// Without a recent answer, one failure suffices.
	p.answeredAt = 0
	s.servers["p"].update(func(f *fakeServer) { f.dropAnswers = 1 })
	s.expectCode(s.handle(session, read("3")), rescode.TransactionAborted)
	if p.failing {
		t.Error("the primary counts as failing")
	}
}

// Guards against rows for a statement of the engine itself that a caller is sent.
func TestOnlyStatementsOfCallersPassRowsOn(t *testing.T) {
	w := &rowRecorder{}
	s, session := newRelayingNode(t, w)
	s.mustSucceed(session, Statement{ID: "1", Kind: Begin})
	if len(w.rows) != 0 {
		t.Errorf("rows %q for a begin", w.rows)
	}
	s.mustSucceed(session, read("2"))
	if diff := cmp.Diff([]string{"first"}, w.rows); diff != "" {
		t.Error(diff)
	}
}

// Guards against a primary that is taken out of use because a caller has read a large answer for so long that no time
// was left for the rollback behind it.
func TestLateRollbackBehindPassedRowsSaysNothingAboutTheUpstream(t *testing.T) {
	s, _ := newRelayingNode(t, &rowRecorder{})
	session := s.open("intake", "key")
	session.SendRowsTo(&rowRecorder{})
	s.mustSucceed(session, read("1"))
	p, _ := s.engine.group("wax").primaryPool()
	// Without a recent answer, one failure suffices.
	p.answeredAt = 0
	s.servers["p"].update(func(f *fakeServer) { f.dropRollbacks = true })
	s.mustSucceed(session, read("2"))
	if p.failing {
		t.Error("the primary counts as failing")
	}
}
