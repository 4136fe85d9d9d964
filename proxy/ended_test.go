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
