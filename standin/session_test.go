package standin_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/audit"
	"github.com/jayloom/jayloom/standin/wire"
)

// Guards against work that others see before COMMIT, or that survives ROLLBACK.
func TestTransactionIsPrivateUntilCommit(t *testing.T) {
	s := startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a')")
	writer, reader := connect(t, s), connect(t, s)
	for _, end := range []struct {
		command string
		after   int64
	}{{"ROLLBACK", 1}, {"COMMIT", 3}} {
		mustExec(t, writer, "BEGIN")
		mustExec(t, writer, "INSERT INTO trays (station) VALUES ('b'), ('c'), ('d')")
		mustExec(t, writer, "DELETE FROM trays WHERE station = 'd'")
		mustExec(t, writer, "UPDATE trays SET n = 9 WHERE station = 'a'")
		if got := queryInt(t, writer, "SELECT sum(n) + count(*) FROM trays"); got != 12 {
			t.Fatalf("the transaction reads %d, want 12", got)
		}
		if got := queryInt(t, reader, "SELECT sum(n) + count(*) FROM trays"); got != 1 {
			t.Fatalf("another session reads %d before %s, want 1", got, end.command)
		}
		mustExec(t, writer, end.command)
		if got := queryInt(t, reader, "SELECT count(*) FROM trays"); got != end.after {
			t.Fatalf("%d rows after %s, want %d", got, end.command, end.after)
		}
	}
}

// Guards against a transaction that goes on after an error.
func TestFailedTransactionRefusesStatements(t *testing.T) {
	c := connect(t, startWith(t, trays))
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT INTO trays (station) VALUES ('a')")
	_, err := c.Exec(t.Context(), "SELECT 1/0")
	wantState(t, err, "22012")
	if status := c.PgConn().TxStatus(); status != 'E' {
		t.Fatalf("transaction state is %c, want E", status)
	}
	_, err = c.Exec(t.Context(), "SELECT 1")
	wantState(t, err, "25P02")
	tag, err := c.Exec(t.Context(), "COMMIT")
	if err != nil || tag.String() != "ROLLBACK" {
		t.Fatalf("COMMIT answered %q, %v", tag, err)
	}
	if got := queryInt(t, c, "SELECT count(*) FROM trays"); got != 0 {
		t.Fatal("work of the failed transaction was kept")
	}
}

// Guards against statements of one query, or of one pipeline, that take effect
// although a later one failed.
func TestImplicitTransactionIsAtomic(t *testing.T) {
	c := connect(t, startWith(t, trays))
	_, err := c.Exec(t.Context(), "INSERT INTO trays (station) VALUES ('a'); SELECT 1/0", pgx.QueryExecModeSimpleProtocol)
	wantState(t, err, "22012")
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO trays (station) VALUES ('b')")
	batch.Queue("INSERT INTO trays (id, station) VALUES (1, 'c'), (1, 'd')")
	wantState(t, c.SendBatch(t.Context(), batch).Close(), "23505")
	if got := queryInt(t, c, "SELECT count(*) FROM trays"); got != 0 {
		t.Fatalf("%d rows of failed transactions were kept", got)
	}
}

// Guards against lost updates between concurrent transactions.
func TestConcurrentIncrementsAddUp(t *testing.T) {
	s := startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a')")
	const clients, each = 8, 25
	errs := make(chan error, clients)
	for range clients {
		c := connect(t, s)
		go func() {
			for range each {
				if _, err := c.Exec(context.Background(), "UPDATE trays SET n = n + 1 WHERE id = 1"); err != nil {
					errs <- err
					return
				}
			}
			errs <- nil
		}()
	}
	for range clients {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if got := queryInt(t, connect(t, s), "SELECT n FROM trays"); got != clients*each {
		t.Fatalf("n is %d, want %d", got, clients*each)
	}
}

// Guards against two transactions that wait for each other forever.
func TestDeadlockIsBroken(t *testing.T) {
	s := startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a'), ('b')")
	one, two := connect(t, s), connect(t, s)
	mustExec(t, one, "BEGIN; UPDATE trays SET n = 1 WHERE id = 1")
	mustExec(t, two, "BEGIN; UPDATE trays SET n = 2 WHERE id = 2")
	waiting := make(chan error, 1)
	go func() {
		_, err := one.Exec(context.Background(), "UPDATE trays SET n = 1 WHERE id = 2")
		waiting <- err
	}()
	_, err := two.Exec(t.Context(), "UPDATE trays SET n = 2 WHERE id = 1")
	first := <-waiting
	if (stateOf(err) == "40P01") == (stateOf(first) == "40P01") {
		t.Fatalf("want exactly one deadlock error, got %v and %v", err, first)
	}
}

// Guards against state that the next user of a pooled connection inherits.
func TestDiscardAll(t *testing.T) {
	c := connect(t, startWith(t, trays))
	mustExec(t, c, "SET application_name = 'mine'; SET my.own = 'x'")
	mustExec(t, c, "SET default_transaction_read_only = on")
	mustExec(t, c, "PREPARE mine AS SELECT 1")
	mustExec(t, c, "BEGIN READ WRITE")
	mustExec(t, c, "CREATE TEMP TABLE scratch (id int)")
	_, err := c.Exec(t.Context(), "DISCARD ALL")
	wantState(t, err, "25001")
	mustExec(t, c, "ROLLBACK")
	mustExec(t, c, "BEGIN READ WRITE; CREATE TEMP TABLE scratch (id int); COMMIT")
	mustExec(t, c, "INSERT INTO scratch VALUES (1)")
	_, err = c.Exec(t.Context(), "SELECT 1; DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	wantState(t, err, "25001")
	mustExec(t, c, "DISCARD ALL")
	_, err = c.Exec(t.Context(), "SELECT * FROM scratch")
	wantState(t, err, "42P01")
	_, err = c.Exec(t.Context(), "EXECUTE mine")
	wantState(t, err, "26000")
	_, err = c.Exec(t.Context(), "SHOW my.own")
	wantState(t, err, "42704")
	if got := c.PgConn().ParameterStatus("application_name"); got != "" {
		t.Fatalf("application_name is still reported as %q", got)
	}
	mustExec(t, c, "INSERT INTO trays (station) VALUES ('a')")
	mustExec(t, c, "SET default_transaction_read_only = on")
	batch := &pgconn.Batch{}
	batch.ExecParams("DISCARD ALL", nil, nil, nil, nil)
	batch.ExecParams("INSERT INTO trays (station) VALUES ('b')", nil, nil, nil, nil)
	if err := c.PgConn().ExecBatch(t.Context(), batch).Close(); err != nil {
		t.Fatalf("the work behind DISCARD ALL ran under the old settings: %v", err)
	}
}

// Guards against a read route that writes on a primary. As in PostgreSQL, the
// setting governs transactions that start after it.
func TestReadOnlySetting(t *testing.T) {
	c := connect(t, startWith(t, trays))
	mustExec(t, c, "SET default_transaction_read_only = on")
	for _, statement := range []string{
		"INSERT INTO trays (station) VALUES ('a')", "UPDATE trays SET n = 1", "DELETE FROM trays",
		"CREATE TABLE other (id int)", "CREATE TEMP TABLE other (id int)", "DROP TABLE trays",
	} {
		_, err := c.Exec(t.Context(), statement)
		if got := stateOf(err); got != "25006" {
			t.Errorf("%s: SQLSTATE is %q, want 25006", statement, got)
		}
	}
	mustExec(t, c, "SET default_transaction_read_only = off")
	mustExec(t, c, "BEGIN READ ONLY")
	_, err := c.Exec(t.Context(), "DELETE FROM trays")
	wantState(t, err, "25006")
	mustExec(t, c, "ROLLBACK")
	mustExec(t, c, "DELETE FROM trays")
}

// Guards against settings that outlive a transaction that was rolled back.
func TestSettingsFollowTransactions(t *testing.T) {
	c := connect(t, start(t, nil))
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "SET my.kept = 'a'")
	mustExec(t, c, "SET LOCAL application_name = 'local'")
	mustExec(t, c, "COMMIT")
	mustExec(t, c, "BEGIN; SET my.kept = 'b'; ROLLBACK")
	var kept, name string
	if err := c.QueryRow(t.Context(), "SELECT current_setting('my.kept'), current_setting('application_name')").Scan(&kept, &name); err != nil {
		t.Fatal(err)
	}
	if kept != "a" || name != "" {
		t.Fatalf("my.kept is %q and application_name %q", kept, name)
	}
}

// Guards against a cancel request that hits nothing, or the wrong session.
func TestCancel(t *testing.T) {
	s := start(t, nil)
	c, bystander := connect(t, s), connect(t, s)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(3600)")
		ended <- err
	}()
	await(t, func() bool {
		entries := s.Audit()
		return len(entries) > 0 && entries[len(entries)-1].Statement == "SELECT pg_sleep(3600)"
	})
	if err := c.PgConn().CancelRequest(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantState(t, <-ended, "57014")
	mustExec(t, bystander, "SELECT 1")
	mustExec(t, c, "SET statement_timeout = 1")
	_, err := c.Exec(t.Context(), "SELECT pg_sleep(3600)")
	wantState(t, err, "57014")
}

// Guards against a limit that is not enforced, or whose places are never freed.
func TestConnectionLimit(t *testing.T) {
	s := start(t, func(c *standin.Config) { c.ConnectionLimit = 2 })
	first := connect(t, s)
	connect(t, s)
	_, err := pgx.Connect(t.Context(), url(s))
	wantState(t, err, "53300")
	first.Close(t.Context())
	await(t, func() bool { return s.Sessions() == 1 })
	connect(t, s)
}

// Guards against an account that is open to wrong passwords or names.
func TestAuthentication(t *testing.T) {
	for _, auth := range []wire.AuthMethod{wire.Scram, wire.Cleartext} {
		s := start(t, func(c *standin.Config) { c.Auth = auth })
		connect(t, s)
		for _, wrong := range []string{testUser + ":wrong", "other:" + testPassword} {
			_, err := pgx.Connect(t.Context(), "postgres://"+wrong+"@"+s.Addr()+"/app?sslmode=disable")
			wantState(t, err, "28P01")
		}
	}
}

// Guards against a portal that returns all rows at once, or forgets its place.
func TestPortalIsFetchedInParts(t *testing.T) {
	c := connect(t, startWith(t, trays+"; INSERT INTO trays (station) VALUES ('a'), ('b'), ('c')"))
	f := c.PgConn().Frontend()
	f.Send(&pgproto3.Parse{Query: "SELECT station FROM trays ORDER BY id"})
	f.Send(&pgproto3.Bind{DestinationPortal: "p"})
	f.Send(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	f.Send(&pgproto3.Execute{Portal: "p", MaxRows: 2})
	f.Send(&pgproto3.Sync{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for ready := false; !ready; {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch typed := m.(type) {
		case *pgproto3.DataRow:
			got = append(got, string(typed.Values[0]))
		case *pgproto3.PortalSuspended:
			got = append(got, "suspended")
		case *pgproto3.CommandComplete:
			got = append(got, string(typed.CommandTag))
		case *pgproto3.ErrorResponse:
			t.Fatal(typed.Message)
		case *pgproto3.ReadyForQuery:
			ready = true
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "suspended", "c", "SELECT 3"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against an audit that hides a write or reports the wrong outcome.
func TestAuditShowsOutcomes(t *testing.T) {
	var file bytes.Buffer
	s := start(t, func(c *standin.Config) { c.AuditFile = &file })
	run(t, s, trays)
	c := connect(t, s)
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT INTO trays (station) VALUES ($1)", "kept")
	mustExec(t, c, "COMMIT")
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT INTO trays (station) VALUES ($1)", "dropped")
	mustExec(t, c, "ROLLBACK")
	_, _ = c.Exec(t.Context(), "INSERT INTO trays VALUES (1, 'twice')")

	type line struct{ statement, args, tag, state, outcome string }
	rows, err := c.Query(t.Context(), "SELECT statement, args, tag, sqlstate, outcome FROM standin_audit WHERE process = pg_backend_pid() AND outcome <> 'open' ORDER BY sequence")
	if err != nil {
		t.Fatal(err)
	}
	got, err := pgx.CollectRows(rows, func(r pgx.CollectableRow) (l line, err error) {
		err = r.Scan(&l.statement, &l.args, &l.tag, &l.state, &l.outcome)
		return l, err
	})
	if err != nil {
		t.Fatal(err)
	}
	insert := "INSERT INTO trays (station) VALUES ($1)"
	want := []line{
		{"BEGIN", "", "BEGIN", "", audit.Committed},
		{insert, "kept", "INSERT 0 1", "", audit.Committed},
		{"COMMIT", "", "COMMIT", "", audit.Committed},
		{"BEGIN", "", "BEGIN", "", audit.RolledBack},
		{insert, "dropped", "INSERT 0 1", "", audit.RolledBack},
		{"ROLLBACK", "", "ROLLBACK", "", audit.RolledBack},
		{"INSERT INTO trays VALUES (1, 'twice')", "", "", "23505", audit.RolledBack},
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(line{})); diff != "" {
		t.Fatal(diff)
	}
	if !bytes.Contains(file.Bytes(), []byte(`"args":["dropped"],"tag":"INSERT 0 1","sqlstate":"","outcome":"rolled back"`)) {
		t.Fatalf("the audit file lacks the dropped write:\n%s", file.String())
	}
}

// Guards against a capture that misses bytes, in which a leaked key would hide.
func TestCaptureHoldsWhatClientsSend(t *testing.T) {
	var capture bytes.Buffer
	s := start(t, func(c *standin.Config) { c.Capture, c.Auth = &capture, wire.Cleartext })
	c := connect(t, s)
	mustExec(t, c, "SELECT 'needle'")
	c.Close(t.Context())
	s.Close()
	for _, sent := range []string{testPassword, "SELECT 'needle'"} {
		if !bytes.Contains(capture.Bytes(), []byte(sent)) {
			t.Errorf("the capture lacks %q", sent)
		}
	}
}

// Guards against session state that a proxy must notice: advisory locks that do not
// exclude others or outlive the session, and the last number of another session.
func TestSessionState(t *testing.T) {
	s := startWith(t, trays)
	holder, waiter := connect(t, s), connect(t, s)
	mustExec(t, holder, "SELECT pg_advisory_lock(7)")
	mustExec(t, waiter, "SET statement_timeout = 1")
	_, err := waiter.Exec(t.Context(), "SELECT pg_advisory_lock(7)")
	wantState(t, err, "57014")
	mustExec(t, holder, "INSERT INTO trays (station) VALUES ('a')")
	if got := queryInt(t, holder, "SELECT lastval()"); got != 1 {
		t.Fatalf("lastval is %d, want 1", got)
	}
	_, err = waiter.Exec(t.Context(), "SELECT lastval()")
	wantState(t, err, "55000")
	mustExec(t, holder, "DISCARD ALL")
	mustExec(t, waiter, "SELECT pg_advisory_lock(7)")
	mustExec(t, waiter, "SELECT pg_advisory_unlock(7)")
	mustExec(t, holder, "SELECT pg_advisory_lock(7)")
	mustExec(t, holder, "LISTEN changes")
	holder.Close(t.Context())
	mustExec(t, waiter, "RESET statement_timeout")
	mustExec(t, waiter, "SELECT pg_advisory_lock(7)")
}

// Guards against startup settings that are dropped, which drivers send.
func TestStartupOptions(t *testing.T) {
	s := start(t, nil)
	config, err := pgconn.ParseConfig(url(s) + "&application_name=desk&options=-c%20jayloom.route%3Dintake%20-c%20default_transaction_read_only%3Don")
	if err != nil {
		t.Fatal(err)
	}
	c, err := pgconn.ConnectConfig(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(t.Context())
	results, err := c.Exec(t.Context(), "SHOW jayloom.route; SHOW default_transaction_read_only; SHOW application_name").ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, r := range results {
		got = append(got, string(r.Rows[0][0]))
	}
	if diff := cmp.Diff([]string{"intake", "on", "desk"}, got); diff != "" {
		t.Fatal(diff)
	}
}
