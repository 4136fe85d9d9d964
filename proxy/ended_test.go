package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// withdrawDriverKeys withdraws all keys of the team "driver".
func (s *system) withdrawDriverKeys() {
	s.change(func(state *controlpb.FleetState) { state.Teams["driver"].Keys = nil })
}

// Guards against a write that was committed and is reported as not run, because its session
// was ended while the write waited for a replica.
func TestEndedSessionReportsCommittedWriteAsUnknown(t *testing.T) {
	s := newSystem(t, 1)
	s.replicas[0].SetLag(time.Hour)
	conn := s.proxy().driver(t, "jayloom.route=safe")
	outcome := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO intake VALUES (1, 'x')", pgx.QueryExecModeSimpleProtocol)
		outcome <- err
	}()
	eventually(t, "the write runs", func() bool { return len(statements(s.primary, "INSERT")) > 0 })
	// The position query is sent with the write; its answer starts the wait for a replica.
	time.Sleep(50 * time.Millisecond)
	s.withdrawDriverKeys()
	wantCode(t, <-outcome, rescode.ReplicaWaitTimeout)
	if !conn.IsClosed() {
		t.Error("the caller stays connected although its key was withdrawn")
	}
}

// Guards against a write that has run and is reported as not run, because its repetition
// after a lost answer could not be sent any more.
func TestUnsentRepetitionReportsUnknownOutcome(t *testing.T) {
	ends := map[string]func(s *system, p *testProxy){
		"deadline":      func(*system, *testProxy) {},
		"drain":         func(_ *system, p *testProxy) { p.endSessions() },
		"key withdrawn": func(s *system, _ *testProxy) { s.withdrawDriverKeys() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			// The answer is lost and the repetition has to wait for a primary.
			p, d := s.faultyProxy("marker", func(int64) bool {
				s.change(func(state *controlpb.FleetState) {
					state.Groups["wax-1"].Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
				})
				return true
			})
			outcome := sendAsync(p.driver(t, "jayloom.route=upsert"), "INSERT INTO intake VALUES (1, 'marker')")
			eventually(t, "the answer is lost", func() bool { return d.hits.Load() == 1 })
			// Time for the repetition to begin its wait.
			time.Sleep(50 * time.Millisecond)
			end(s, p)
			wantCode(t, <-outcome, rescode.PrimaryReplaced)
			if n := len(statements(s.primary, "marker")); n != 1 {
				t.Errorf("the write ran %d times, want 1", n)
			}
		})
	}
}
