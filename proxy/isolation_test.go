package proxy

import (
	"context"
	"encoding/binary"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/standin"
)

// oneConnection makes all callers share one upstream connection.
func oneConnection(o *Options) { o.Shares = fakeShares(1) }

// disconnect closes a caller's network connection without a Terminate message.
func disconnect(conn *pgx.Conn) {
	_ = conn.PgConn().Conn().Close()
}

// Guards against uncommitted work of a disconnected caller that is committed by, or
// visible to, the next one.
func TestDisconnectedCallerLeavesNoWork(t *testing.T) {
	steps := map[string]func(t *testing.T, conn *pgx.Conn){
		"in a transaction": func(t *testing.T, conn *pgx.Conn) {
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO intake VALUES (1, 'left')")
		},
		"in a COPY": func(t *testing.T, conn *pgx.Conn) {
			f := conn.PgConn().Frontend()
			f.Send(&pgproto3.Query{String: "COPY intake FROM STDIN"})
			f.Send(&pgproto3.CopyData{Data: []byte("1\tleft\n")})
			receive(t, f, 'G')
		},
		"in a pipeline": func(t *testing.T, conn *pgx.Conn) {
			f := conn.PgConn().Frontend()
			f.Send(&pgproto3.Parse{Query: "INSERT INTO intake VALUES (1, 'left')"})
			f.Send(&pgproto3.Bind{})
			f.Send(&pgproto3.Execute{})
			f.Send(&pgproto3.Flush{})
			receive(t, f, 'C')
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy(oneConnection)
			conn := p.driver(t)
			step(t, conn)
			disconnect(conn)
			next := p.connect(t, "sorter", keySorter)
			exec(t, next, "BEGIN")
			exec(t, next, "INSERT INTO intake VALUES (2, 'next')")
			exec(t, next, "COMMIT")
			if got := queryText(t, next, "SELECT count(*)::text FROM intake"); got != "1" {
				t.Errorf("got %s rows, want only the 1 that was committed", got)
			}
		})
	}
}

// receive reads messages up to the first one of a type.
func receive(t *testing.T, f *pgproto3.Frontend, kind byte) {
	t.Helper()
	if err := f.Flush(); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	for {
		message, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := message.(type) {
		case *pgproto3.CopyInResponse:
			if kind == 'G' {
				return
			}
		case *pgproto3.CommandComplete:
			if kind == 'C' {
				return
			}
		case *pgproto3.ReadyForQuery:
			if kind == 'Z' {
				return
			}
		case *pgproto3.ErrorResponse:
			t.Fatalf("%s %s %s", m.Code, m.Message, m.Detail)
		}
	}
}

// Guards against session state of one caller that reaches another on the same upstream
// connection, or that its own caller loses.
func TestSessionStateStaysWithItsCaller(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Shares = fakeShares(2) })
	ctx := context.Background()
	first, busy := p.driver(t), p.driver(t)
	exec(t, first, "SET search_path TO hidden")
	exec(t, busy, "SELECT 1")
	exec(t, first, "CREATE TEMP TABLE scratch (id int)")
	exec(t, busy, "SELECT 1")
	exec(t, first, "INSERT INTO scratch VALUES (7)")
	if _, err := first.Prepare(ctx, "jl1", "SELECT 'prepared'"); err != nil {
		t.Fatal(err)
	}
	if got := queryText(t, first, "SHOW search_path"); got != "hidden" {
		t.Errorf("search_path of its own caller is %q, want hidden", got)
	}
	if got := queryText(t, first, "SELECT id::text FROM scratch"); got != "7" {
		t.Errorf("the temporary table of its own caller has %q, want 7", got)
	}
	_ = first.Close(ctx)
	// This keeps busy's connection, so that next gets the one that first released.
	exec(t, busy, "BEGIN")

	next := p.connect(t, "sorter", keySorter)
	if got := queryText(t, next, "SHOW search_path"); got == "hidden" {
		t.Error("a setting of another caller is visible")
	}
	if _, err := next.Exec(ctx, "SELECT id FROM scratch"); err == nil {
		t.Error("a temporary table of another caller is visible")
	}
	f := next.PgConn().Frontend()
	f.Send(&pgproto3.Bind{PreparedStatement: "jl1"})
	f.Send(&pgproto3.Sync{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	if message, err := f.Receive(); err != nil {
		t.Fatal(err)
	} else if _, refused := message.(*pgproto3.ErrorResponse); !refused {
		t.Errorf("a prepared statement of another caller answered with %T", message)
	}
}

// Guards against a prepared statement that is unknown, or another caller's, on the
// connection that its caller acquires next.
func TestPreparedStatementsFollowTheirCaller(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection)
	ctx := context.Background()
	callers := map[string]*pgx.Conn{"a": p.driver(t), "b": p.driver(t), "c": p.connect(t, "sorter", keySorter)}
	for name, conn := range callers {
		if _, err := conn.Prepare(ctx, "mine", "SELECT '"+name+"' || $1::text"); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		for name, conn := range callers {
			if got := queryText(t, conn, "mine", "!"); got != name+"!" {
				t.Errorf("caller %s got answer %q", name, got)
			}
		}
	}
	exec(t, callers["a"], "DISCARD ALL")
	if _, err := callers["a"].Exec(ctx, "mine", "!"); err == nil {
		t.Error("a prepared statement survived DISCARD ALL")
	}
}

// Guards against startup parameters that are lost or leak on shared connections.
func TestStartupParametersFollowTheirCaller(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection)
	a := p.driver(t, "application_name=a", "options='-c statement_timeout=4000'")
	b := p.driver(t, "application_name=b")
	for range 2 {
		for conn, want := range map[*pgx.Conn]string{a: "a 4000", b: "b 0"} {
			got := queryText(t, conn, "SELECT current_setting('application_name')") + " " +
				queryText(t, conn, "SELECT current_setting('statement_timeout')")
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	}
}

// Guards against a cancel request that races with the end of its statement and reaches
// the next caller of the connection.
func TestLateCancelDoesNotReachNextCaller(t *testing.T) {
	s := newSystem(t, 0, func(c *standin.Config) { c.StatementDelay = time.Millisecond })
	p := s.proxy(oneConnection)
	ctx := context.Background()
	first, next := p.driver(t), p.connect(t, "sorter", keySorter)
	for i := range 60 {
		cancelled := make(chan struct{})
		go func() {
			defer close(cancelled)
			timer := time.NewTimer(time.Duration(i%6) * time.Millisecond)
			defer timer.Stop()
			<-timer.C
			_ = first.PgConn().CancelRequest(ctx)
		}()
		// The caller's own statement may or may not be cancelled.
		_, _ = first.Exec(ctx, "SELECT 'first'")
		for range 2 {
			if _, err := next.Exec(ctx, "SELECT 'next'"); err != nil {
				t.Fatalf("round %d: the next caller got %v", i, err)
			}
		}
		<-cancelled
	}
}

// Guards against a cancel request that is claimed after the connection was released or
// acquired by another caller.
func TestCancelGuard(t *testing.T) {
	var g cancelGuard
	g.bind(1)
	g.unbind()
	if g.claim(1) {
		t.Error("a cancel request was claimed on a connection that no session holds")
	}
	g.bind(2)
	if g.claim(1) {
		t.Error("a cancel request was claimed on the connection of the next holder")
	}
	if !g.claim(2) || !g.unbind() {
		t.Error("a cancel request of the holder was not claimed or not recorded")
	}
}

// Guards against a cancel request that is in flight to the upstream when its statement
// ends, and takes effect on the next statement of the connection.
func TestCancelInFlightDoesNotReachNextCaller(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection)
	ctx := context.Background()
	first, next := p.driver(t), p.connect(t, "sorter", keySorter)
	done := make(chan error, 2)
	go func() {
		_, err := first.Exec(ctx, "SELECT pg_sleep(0.1)")
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep(0.1)")) > 0 })
	session := p.registry.find(binary.BigEndian.Uint32(first.PgConn().SecretKey()))
	conn := session.runningConn.Load()
	if !conn.cancel.claim(session.id) {
		t.Fatal("the statement cannot be cancelled")
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	go func() {
		_, err := next.Exec(ctx, "SELECT pg_sleep(0.3)")
		done <- err
	}()
	eventually(t, "the next statement runs", func() bool { return len(statements(s.primary, "pg_sleep(0.3)")) > 0 })
	if err := sendCancel(ctx, conn); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Errorf("the next caller got %v", err)
	}
}

// cancelRunning cancels a statement while it runs.
func cancelRunning(t *testing.T, s *system, conn *pgx.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(9)")
		failed <- err
	}()
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep")) > 0 })
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil || ctx.Err() != nil {
		t.Errorf("the statement was not cancelled: %v", err)
	}
}

// Guards against cancel requests that have no effect.
func TestCancelEndsTheCallersStatement(t *testing.T) {
	s := newSystem(t, 0)
	conn := s.proxy().driver(t)
	cancelRunning(t, s, conn)
}

// peerFunc is a Canceller that calls a function.
type peerFunc func(address string, processID uint32, secret []byte) error

func (f peerFunc) Cancel(_ context.Context, address string, processID uint32, secret []byte) error {
	return f(address, processID, secret)
}

// Guards against losing cancel requests that arrive at another proxy than the one that
// issued the key, and against accepting a wrong secret.
func TestCancelIsForwarded(t *testing.T) {
	s := newSystem(t, 0)
	second := s.proxy()
	first := s.proxy(func(o *Options) {
		o.Peers = peerFunc(func(address string, processID uint32, secret []byte) error {
			if address != second.name {
				t.Errorf("forwarded to %s", address)
			}
			_, err := (&PeeringServer{Server: second.Server}).Cancel(context.Background(),
				&controlpb.CancelRequest{ProcessId: processID, Secret: secret})
			return err
		})
	})
	conn := second.driver(t)
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(9)")
		failed <- err
	}()
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep")) > 0 })
	key := binary.BigEndian.Uint32(conn.PgConn().SecretKey())
	if second.CancelLocal(context.Background(), key+1) {
		t.Error("a wrong secret was accepted")
	}
	first.handleCancelRequest(conn.PgConn().PID(), key)
	if err := <-failed; err == nil {
		t.Error("the statement was not cancelled")
	}
}

// Guards against a caller that does not read its answer and so holds an upstream
// connection forever.
func TestStalledCallerLosesItsConnection(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection, func(o *Options) { o.Settings.CallerWriteTimeoutMs = 50 })
	filler := p.driver(t)
	// The answer is larger than the socket buffers of a connection.
	const rows, rowBytes = 32, 1 << 20
	for i := range rows {
		exec(t, filler, "INSERT INTO intake VALUES ($1, $2)", i, strings.Repeat("x", rowBytes))
	}
	stalled := p.driver(t)
	frontend := stalled.PgConn().Frontend()
	frontend.Send(&pgproto3.Query{String: "SELECT note FROM intake"})
	if err := frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "SELECT note")) > 0 })
	eventually(t, "another caller is served", func() bool {
		_, err := filler.Exec(context.Background(), "INSERT INTO intake VALUES (1000, 'after')")
		return err == nil
	})
}

// Guards against more pinned connections than the limit allows. A caller that has
// received the answer to its SET must be counted before the next request is checked.
func TestPinsCountBeforeTheAnswer(t *testing.T) {
	const callers = 20
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Shares = fakeShares(2 * callers) })
	for i := range callers {
		exec(t, p.driver(t), "SET application_name TO 'pinned'", pgx.QueryExecModeSimpleProtocol)
		pool := p.pools.list()[0]
		pool.mu.Lock()
		counted := pool.pinned + pool.pinPermits
		pool.mu.Unlock()
		if counted != i+1 {
			t.Fatalf("got %d pinned connections, want %d", counted, i+1)
		}
	}
}

// Guards against a way of returning a connection that hands settings, a transaction or prepared names of one caller
// to the next.
func TestEachWayOfReturningAConnectionClearsIt(t *testing.T) {
	const set = "SET search_path TO hidden"
	execute := func(f *pgproto3.Frontend, texts ...string) {
		for _, sql := range texts {
			f.Send(&pgproto3.Parse{Query: sql})
			f.Send(&pgproto3.Bind{})
			f.Send(&pgproto3.Execute{})
		}
	}
	part := func(t *testing.T, f *pgproto3.Frontend, texts ...string) {
		execute(f, texts...)
		f.Send(&pgproto3.Flush{})
		receive(t, f, 'C')
	}
	sync := func(t *testing.T, f *pgproto3.Frontend) {
		f.Send(&pgproto3.Sync{})
		receiveIgnoringErrors(t, f)
	}
	query := func(t *testing.T, f *pgproto3.Frontend, sql string) {
		f.Send(&pgproto3.Query{String: sql})
		receiveIgnoringErrors(t, f)
	}
	steps := map[string]func(t *testing.T, f *pgproto3.Frontend){
		"setting":                func(t *testing.T, f *pgproto3.Frontend) { query(t, f, set) },
		"setting, not committed": func(t *testing.T, f *pgproto3.Frontend) { query(t, f, "BEGIN; "+set) },
		"setting, committed":     func(t *testing.T, f *pgproto3.Frontend) { query(t, f, "BEGIN; "+set+"; COMMIT") },
		"setting behind a function": func(t *testing.T, f *pgproto3.Frontend) {
			query(t, f, "SELECT set_config('search_path', 'hidden', false)")
		},
		"failed query":       func(t *testing.T, f *pgproto3.Frontend) { query(t, f, set+"; SELECT nothing FROM nowhere") },
		"failed transaction": func(t *testing.T, f *pgproto3.Frontend) { query(t, f, "BEGIN; SELECT nothing FROM nowhere") },
		"discard in a part": func(t *testing.T, f *pgproto3.Frontend) {
			part(t, f, "DISCARD ALL")
			part(t, f, set)
			sync(t, f)
		},
		"discard in a part, no sync": func(t *testing.T, f *pgproto3.Frontend) {
			part(t, f, "DISCARD ALL")
			part(t, f, set)
		},
		"discard and a transaction": func(t *testing.T, f *pgproto3.Frontend) {
			execute(f, "DISCARD ALL", "BEGIN", set, "COMMIT")
			sync(t, f)
		},
		"discard and an open transaction": func(t *testing.T, f *pgproto3.Frontend) {
			execute(f, "DISCARD ALL", "BEGIN", set)
			sync(t, f)
			query(t, f, "COMMIT")
		},
		"discard and a failure": func(t *testing.T, f *pgproto3.Frontend) {
			execute(f, "DISCARD ALL", set, "SELECT nothing FROM nowhere")
			sync(t, f)
		},
		"discard and a prepared statement": func(t *testing.T, f *pgproto3.Frontend) {
			execute(f, "DISCARD ALL")
			f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT 'left'"})
			sync(t, f)
		},
		"failed part": func(t *testing.T, f *pgproto3.Frontend) {
			f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT 'left'"})
			execute(f, set, "SELECT nothing FROM nowhere")
			f.Send(&pgproto3.Flush{})
			_ = f.Flush()
		},
		"failed part, synced": func(t *testing.T, f *pgproto3.Frontend) {
			f.Send(&pgproto3.Parse{Name: "s", Query: "SELECT 'left'"})
			execute(f, set, "SELECT nothing FROM nowhere")
			f.Send(&pgproto3.Flush{})
			sync(t, f)
		},
		"pinned and discarded": func(t *testing.T, f *pgproto3.Frontend) {
			query(t, f, set)
			execute(f, "DISCARD ALL", set)
			sync(t, f)
		},
		"failed COPY": func(t *testing.T, f *pgproto3.Frontend) {
			query(t, f, set)
			f.Send(&pgproto3.Query{String: "COPY intake FROM STDIN"})
			f.Send(&pgproto3.CopyFail{Message: "no"})
			receiveIgnoringErrors(t, f)
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy(oneConnection)
			conn := p.driver(t)
			step(t, conn.PgConn().Frontend())
			disconnect(conn)
			next := p.connect(t, "sorter", keySorter)
			if _, err := next.Prepare(context.Background(), "first", "SELECT 'next'"); err != nil {
				t.Errorf("a name is taken: %v", err)
			}
			if got := queryText(t, next, "SHOW search_path"); got == "hidden" {
				t.Error("a setting of another caller is visible")
			}
			exec(t, next, "INSERT INTO intake VALUES (1, 'next')")
			if state := next.PgConn().TxStatus(); state != 'I' {
				t.Errorf("in transaction state %c", state)
			}
		})
	}
}

// receiveIgnoringErrors reads messages up to ReadyForQuery.
func receiveIgnoringErrors(t *testing.T, f *pgproto3.Frontend) {
	t.Helper()
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		message, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}
