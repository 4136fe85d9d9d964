package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Guards against a graceful shutdown that interrupts a request or a transaction.
func TestDrainInterruptsNoRequest(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	ctx := context.Background()
	idle, open, busy := p.driver(t), p.driver(t), p.driver(t)
	exec(t, open, "BEGIN")
	running := make(chan error, 1)
	go func() {
		_, err := busy.Exec(ctx, "SELECT pg_sleep(0.2)")
		running <- err
	}()
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep")) > 0 })
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		limit, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		p.Drain(limit)
	}()
	message, err := idle.PgConn().ReceiveMessage(ctx)
	if refusal, ok := message.(*pgproto3.ErrorResponse); ok {
		err = pgconn.ErrorResponseToPgError(refusal)
	}
	wantCode(t, err, rescode.ProxyDraining)
	exec(t, open, "INSERT INTO intake VALUES (1, 'x')")
	exec(t, open, "COMMIT")
	if err := <-running; err != nil {
		t.Errorf("a running statement was interrupted: %v", err)
	}
	<-drained
	if _, err := p.tryConnect("driver", keyDriver); err == nil {
		t.Error("a draining proxy accepted a caller")
	}
}

// Guards against a transaction that never ends and so keeps the proxy from stopping.
func TestDrainEndsAtItsDeadline(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	open := p.driver(t)
	exec(t, open, "BEGIN")
	limit, cancel := context.WithCancel(context.Background())
	cancel()
	p.Drain(limit)
	eventually(t, "the caller is gone", func() bool { return p.registry.count() == 0 })
}

// Guards against starting new work on an upstream that is leaving, and against
// interrupting transactions that run there.
func TestLeavingUpstreamFinishesItsTransactions(t *testing.T) {
	s := newSystem(t, 1)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "/*route='old'*/ BEGIN")
	if n := len(statements(s.replicas[0], "BEGIN")); n != 1 {
		t.Fatalf("got %d BEGIN statements on the replica, want 1", n)
	}
	s.change(func(state *controlpb.FleetState) {
		state.Upstreams[s.replicas[0].Addr()].State = controlpb.UpstreamState_UPSTREAM_STATE_LEAVING
	})
	exec(t, conn, "SELECT 'inside'")
	exec(t, conn, "COMMIT")
	exec(t, conn, "/*route='old'*/ SELECT 'after'")
	if len(statements(s.replicas[0], "inside")) != 1 || len(statements(s.replicas[0], "after")) != 0 {
		t.Error("the leaving upstream received new work or lost its transaction")
	}
	eventually(t, "its connections are closed", func() bool { return s.replicas[0].Sessions() == 0 })
}
