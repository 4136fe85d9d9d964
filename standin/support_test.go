package standin_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/wire"
)

const (
	testUser     = "jayloom"
	testPassword = "upstream-secret"
	trays        = "CREATE TABLE trays (id bigserial PRIMARY KEY, station text NOT NULL, n int DEFAULT 0)"
)

func start(t *testing.T, change func(*standin.Config)) *standin.Server {
	t.Helper()
	c := standin.Config{User: testUser, Password: testPassword, Auth: wire.Scram}
	if change != nil {
		change(&c)
	}
	s, err := standin.Start(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func startWith(t *testing.T, statements string) *standin.Server {
	t.Helper()
	s := start(t, nil)
	run(t, s, statements)
	return s
}

func replica(t *testing.T, primary *standin.Server) *standin.Server {
	t.Helper()
	r := start(t, func(c *standin.Config) { c.Follow = primary.Addr() })
	caughtUp(t, r, primary)
	return r
}

func run(t *testing.T, s *standin.Server, statements string) {
	t.Helper()
	if err := s.Exec(t.Context(), statements); err != nil {
		t.Fatal(err)
	}
}

func caughtUp(t *testing.T, r, primary *standin.Server) {
	t.Helper()
	if err := r.WaitFor(t.Context(), primary.Position()); err != nil {
		t.Fatal(err)
	}
}

func url(s *standin.Server) string {
	return "postgres://" + testUser + ":" + testPassword + "@" + s.Addr() + "/app?sslmode=disable"
}

func connect(t *testing.T, s *standin.Server) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), url(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func mustExec(t *testing.T, c *pgx.Conn, statement string, args ...any) {
	t.Helper()
	if _, err := c.Exec(t.Context(), statement, args...); err != nil {
		t.Fatalf("%s: %v", statement, err)
	}
}

func wantState(t *testing.T, err error, state string) {
	t.Helper()
	if got := stateOf(err); got != state {
		t.Fatalf("SQLSTATE is %q, want %q (%v)", got, state, err)
	}
}

func stateOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func queryInt(t *testing.T, c *pgx.Conn, statement string, args ...any) int64 {
	t.Helper()
	var n int64
	if err := c.QueryRow(t.Context(), statement, args...).Scan(&n); err != nil {
		t.Fatalf("%s: %v", statement, err)
	}
	return n
}

// await polls until condition holds; the test's own deadline bounds it.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-t.Context().Done():
			t.Fatal("the condition never held")
		}
	}
}
