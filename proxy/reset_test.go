package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Guards against session state that a caller sets after DISCARD ALL in one batch, and that reaches the next caller
// on the connection.
func TestStateSetAfterDiscardStaysWithItsCaller(t *testing.T) {
	for name, sql := range map[string]string{
		"setting": "SET search_path TO hidden", "function": "SELECT set_config('search_path', 'hidden', false)",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy(oneConnection)
			conn := p.driver(t)
			batch := &pgconn.Batch{}
			batch.ExecParams("DISCARD ALL", nil, nil, nil, nil)
			batch.ExecParams(sql, nil, nil, nil, nil)
			if _, err := conn.PgConn().ExecBatch(context.Background(), batch).ReadAll(); err != nil {
				t.Fatal(err)
			}
			_ = conn.Close(context.Background())
			next := p.connect(t, "sorter", keySorter)
			if got := queryText(t, next, "SHOW search_path"); got == "hidden" {
				t.Error("a setting of another caller is visible")
			}
		})
	}
}

// Guards against a statement that is unknown, or whose name is taken for the next caller, because it was prepared
// after DISCARD ALL or DEALLOCATE ALL in one batch.
func TestStatementsPreparedAfterDiscardAreKept(t *testing.T) {
	for _, reset := range []string{"DISCARD ALL", "DEALLOCATE ALL"} {
		t.Run(reset, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy(oneConnection)
			conn := p.driver(t)
			pipeline := conn.PgConn().StartPipeline(context.Background())
			pipeline.SendQueryParams(reset, nil, nil, nil, nil)
			pipeline.SendPrepare("later", "SELECT 'prepared'", nil)
			if err := pipeline.Sync(); err != nil {
				t.Fatal(err)
			}
			if err := pipeline.Close(); err != nil {
				t.Fatal(err)
			}
			result := conn.PgConn().ExecPrepared(context.Background(), "later", nil, nil, nil).Read()
			if result.Err != nil {
				t.Errorf("its own caller: %v", result.Err)
			}
			_ = conn.Close(context.Background())
			next := p.connect(t, "sorter", keySorter)
			if _, err := next.Prepare(context.Background(), "first", "SELECT 'next'"); err != nil {
				t.Errorf("the next caller: %v", err)
			}
		})
	}
}

// Guards against session state that a discarded answer of a replica has left there, and that the caller's later
// reads on the replica run with.
func TestDiscardedAnswerLeavesNoState(t *testing.T) {
	s := newSystem(t, 1)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "INSERT INTO intake VALUES (1, 'first')")
	s.catchUp(s.replicas[0])
	s.publish()
	exec(t, conn, "/*route='read'*/ SELECT note FROM intake WHERE id = 1")
	s.replicas[0].SetLag(10 * time.Second)
	exec(t, conn, "UPDATE intake SET note = 'second' WHERE id = 1")
	s.reportReplicasCaughtUp()
	exec(t, conn, "/*route='read'*/ SET search_path TO hidden")
	if len(statements(s.replicas[0], "SET search_path")) != 1 {
		t.Fatal("the statement did not run on the replica")
	}
	s.replicas[0].SetLag(0)
	s.catchUp(s.replicas[0])
	s.publish()
	exec(t, conn, "DISCARD ALL")
	if got := queryText(t, conn, "/*route='read'*/ SHOW search_path"); got == "hidden" {
		t.Error("a setting of a discarded answer is in force")
	}
	if len(statements(s.replicas[0], "SHOW search_path")) != 1 {
		t.Error("the read did not run on the replica")
	}
}
