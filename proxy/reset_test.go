package proxy

import (
	"context"
	"testing"

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
