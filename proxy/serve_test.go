package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

func asPgError(err error, target **pgconn.PgError) bool {
	return errors.As(err, target)
}

// Guards against a form of the protocol that is not served at all.
func TestServesEveryProtocolForm(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy().driver(t)
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for i, mode := range modes {
		exec(t, conn, "INSERT INTO intake (id, note) VALUES ($1, $2)", mode, i, "crayons")
		if got := queryText(t, conn, "SELECT note FROM intake WHERE id = $1", mode, i); got != "crayons" {
			t.Errorf("mode %v: got note %q, want crayons", mode, got)
		}
		if got := queryText(t, conn, "SHOW jayloom.route", mode); got != "" {
			t.Errorf("mode %v: SHOW jayloom.route returned %q, want an empty value", mode, got)
		}
	}
	copied, err := conn.CopyFrom(context.Background(), pgx.Identifier{"intake"}, []string{"id", "note"},
		pgx.CopyFromRows([][]any{{100, "a"}, {101, "b"}}))
	if err != nil || copied != 2 {
		t.Fatalf("COPY: got %d rows, %v, want 2 rows", copied, err)
	}
	batch := &pgx.Batch{}
	for i := range 50 {
		batch.Queue("INSERT INTO intake (id, note) VALUES ($1, 'batch')", 200+i)
	}
	if err := conn.SendBatch(context.Background(), batch).Close(); err != nil {
		t.Fatal(err)
	}
	if got := queryText(t, conn, "SELECT count(*)::text FROM intake"); got != "57" {
		t.Errorf("got %s rows, want 57", got)
	}
}

// Guards against the proxy waiting for an upstream answer that arrives late or never
// before it sends the caller an answer that is ready.
func TestReadyAnswersAreNotDelayed(t *testing.T) {
	const read = "/*route='read'*/ "
	cases := map[string]func(f *pgproto3.Frontend){
		"answer before a slow statement": func(f *pgproto3.Frontend) {
			f.Send(&pgproto3.Query{String: read + "SELECT 1"})
			f.Send(&pgproto3.Query{String: read + "SELECT pg_sleep(3600)"})
		},
		"repeated Flush": func(f *pgproto3.Frontend) {
			f.Send(&pgproto3.Parse{Query: "SELECT 1"})
			for range 3 {
				f.Send(&pgproto3.Flush{})
			}
			f.Send(&pgproto3.Sync{})
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			conn := newSystem(t, 0).proxy().driver(t).PgConn()
			// Without a deadline a failure would hang the test.
			_ = conn.Conn().SetReadDeadline(time.Now().Add(10 * time.Second))
			send(conn.Frontend())
			receive(t, conn.Frontend(), 'Z')
			_ = conn.Conn().Close()
		})
	}
}
