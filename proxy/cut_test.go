package proxy

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
)

// testDrainTimeout is the time in which the proxies of these tests have to stop.
const testDrainTimeout = time.Second

// drainWithin drains a proxy as a process does on SIGTERM, and returns how long it took.
func (p *testProxy) drainWithin(timeout time.Duration) time.Duration {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.Drain(ctx)
	return time.Since(began)
}

// receiveError returns the error that a caller receives without having sent a request.
func receiveError(conn *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	message, err := conn.PgConn().ReceiveMessage(ctx)
	if refusal, ok := message.(*pgproto3.ErrorResponse); ok {
		return pgconn.ErrorResponseToPgError(refusal)
	}
	return err
}

// sendAsync sends a statement and returns the channel of its outcome.
func sendAsync(conn *pgx.Conn, sql string) <-chan error {
	outcome := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
		outcome <- err
	}()
	return outcome
}

// Guards against a drain that ends connections without an answer to what runs on them:
// each caller must learn whether its statement or transaction has an effect.
func TestDrainDeadlineAnswersEveryCaller(t *testing.T) {
	const neverEnds = "SELECT pg_sleep(3600)"
	cases := map[string]struct {
		// before runs on the connection, statement is running at the deadline.
		before, statement string
		want              rescode.Code
	}{
		"single statement":          {"", neverEnds, rescode.AnswerLost},
		"statement of transaction":  {"BEGIN", neverEnds, rescode.TransactionAborted},
		"idle transaction":          {"BEGIN", "", rescode.TransactionAborted},
		"COMMIT with its statement": {"BEGIN", neverEnds + "; COMMIT", rescode.AnswerLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy()
			conn := p.driver(t)
			if c.before != "" {
				exec(t, conn, c.before)
			}
			var outcome <-chan error
			if c.statement != "" {
				outcome = sendAsync(conn, c.statement)
				eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep")) > 0 })
			}
			took := make(chan time.Duration, 1)
			go func() { took <- p.drainWithin(testDrainTimeout) }()
			var err error
			if outcome != nil {
				err = <-outcome
			} else {
				err = receiveError(conn)
			}
			wantCode(t, err, c.want)
			if got := <-took; got > testDrainTimeout+200*time.Millisecond {
				t.Errorf("the drain took %v, its limit is %v", got, testDrainTimeout)
			}
		})
	}
}

// Guards against a drain whose deadline a caller can defer by not reading its answer.
func TestDrainEndsCallersThatDoNotRead(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "BEGIN")
	if took := p.drainWithin(testDrainTimeout); took > testDrainTimeout+200*time.Millisecond {
		t.Errorf("the drain took %v, its limit is %v", took, testDrainTimeout)
	}
	eventually(t, "the caller is gone", func() bool { return p.registry.count() == 0 })
}

// lateDialer opens connections that become ready only after release, whether or not the
// request still waits.
type lateDialer struct {
	accountDialer
	opened, release chan struct{}
}

// Dial implements Dialer.
func (d lateDialer) Dial(ctx context.Context, address, service string) (*upstreamConn, error) {
	conn, err := d.accountDialer.Dial(context.WithoutCancel(ctx), address, service)
	close(d.opened)
	<-d.release
	return conn, err
}

// Guards against a statement that waits for a connection and is sent to the upstream after
// its session was ended.
func TestEndedSessionSendsNothing(t *testing.T) {
	ends := map[string]struct {
		end  func(s *system, p *testProxy)
		want rescode.Code
	}{
		"drain":         {func(_ *system, p *testProxy) { p.endSessions() }, rescode.ProxyDraining},
		"key withdrawn": {func(s *system, _ *testProxy) { s.withdrawDriverKeys() }, rescode.KeyWithdrawn},
	}
	for name, c := range ends {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			d := lateDialer{opened: make(chan struct{}), release: make(chan struct{})}
			p := s.proxy(func(o *Options) {
				d.accountDialer = accountDialer{account: s.account()}
				o.Dialer = d
			})
			outcome := sendAsync(p.driver(t), "INSERT INTO intake VALUES (1, 'queued')")
			<-d.opened
			c.end(s, p)
			close(d.release)
			wantCode(t, <-outcome, c.want)
			if n := len(statements(s.primary, "queued")); n != 0 {
				t.Errorf("the statement of the ended session was sent %d times", n)
			}
		})
	}
}

// Guards against a decision on what may begin that ignores the time left, and against one
// that lets a short drain begin nothing.
func TestDrainWindowAdmitsWhatFits(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name                  string
		drain, passed, demand time.Duration
		want                  bool
	}{
		{"at the start", time.Minute, 0, 2 * time.Second, true},
		{"enough time left", time.Minute, 56 * time.Second, 2 * time.Second, true},
		{"too little time left", time.Minute, 57 * time.Second, 2 * time.Second, false},
		{"after the window", time.Minute, 59 * time.Second, 0, false},
		{"short drain, first half of the window", 2 * time.Second, 700 * time.Millisecond, 2 * time.Second, true},
		{"short drain, second half of the window", 2 * time.Second, 800 * time.Millisecond, 2 * time.Second, false},
	}
	for _, c := range cases {
		window := newDrainWindow(start, start.Add(c.drain))
		if got := window.mayBegin(start.Add(c.passed), c.demand); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a COMMIT that a draining proxy sends although it can't await the answer,
// which leaves the outcome of the transaction unknown.
func TestDrainRefusesCommitThatCannotBeAnswered(t *testing.T) {
	for protocol, send := range protocols {
		t.Run(protocol, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy()
			conn := p.driver(t)
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
			s.primary.SetStatementDelay(testDrainTimeout)
			began := time.Now()
			drained := make(chan struct{})
			go func() {
				defer close(drained)
				p.drainWithin(testDrainTimeout)
			}()
			time.Sleep(testDrainTimeout/2 - time.Since(began))
			_, err := send(conn, "COMMIT")
			wantCode(t, err, rescode.TransactionAborted)
			if took := time.Since(began); took > testDrainTimeout*5/8 {
				t.Errorf("the refusal came %v after the drain began, not at once", took)
			}
			<-drained
			s.primary.SetStatementDelay(0)
			if n := len(statements(s.primary, "COMMIT")); n != 0 {
				t.Errorf("the refused COMMIT was sent %d times", n)
			}
		})
	}
}

// Guards against a draining proxy that refuses what it can answer in the time left.
func TestDrainServesTransactionsThatFit(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	conn := p.driver(t)
	exec(t, conn, "BEGIN")
	go p.drainWithin(20 * testDrainTimeout)
	eventually(t, "the proxy drains", func() bool { return p.window.Load() != nil })
	exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
	exec(t, conn, "COMMIT")
	if n := len(statements(s.primary, "COMMIT")); n != 1 {
		t.Errorf("the COMMIT was sent %d times, want 1", n)
	}
}

// Guards against a COPY that a drain or the withdrawal of a key ends without an answer.
func TestInterruptedCopyIsAnswered(t *testing.T) {
	drain := func(_ *system, p *testProxy) { go p.drainWithin(testDrainTimeout) }
	withdraw := func(s *system, _ *testProxy) { s.withdrawDriverKeys() }
	cases := map[string]struct {
		before, copy string
		end          func(s *system, p *testProxy)
		want         rescode.Code
	}{
		"drain":                 {"", "COPY intake FROM STDIN", drain, rescode.ProxyDraining},
		"drain, transaction":    {"BEGIN", "COPY intake FROM STDIN", drain, rescode.TransactionAborted},
		"drain after a COMMIT":  {"BEGIN", "COMMIT; COPY intake FROM STDIN", drain, rescode.AnswerLost},
		"key withdrawn":         {"", "COPY intake FROM STDIN", withdraw, rescode.KeyWithdrawn},
		"key withdrawn, COMMIT": {"BEGIN", "COMMIT; COPY intake FROM STDIN", withdraw, rescode.AnswerLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy()
			conn := p.driver(t)
			if c.before != "" {
				exec(t, conn, c.before)
			}
			f := conn.PgConn().Frontend()
			f.Send(&pgproto3.Query{String: c.copy})
			receive(t, f, 'G')
			f.Send(&pgproto3.CopyData{Data: []byte("1\tx\n")})
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
			c.end(s, p)
			wantCode(t, receiveError(conn), c.want)
			if got := s.rowCount(); got != "0" {
				t.Errorf("%s rows of an interrupted COPY were stored", got)
			}
		})
	}
}

// rowCount returns the number of rows that the primary has.
func (s *system) rowCount() string {
	s.t.Helper()
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, "postgres://jayloom:pw@"+s.primary.Addr()+"/wax?sslmode=prefer")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	return queryText(s.t, conn, "SELECT count(*)::text FROM intake")
}

// Guards against an answer that is not written because the caller has sent Terminate
// together with its request.
func TestTerminateAfterRequestLosesNoAnswer(t *testing.T) {
	requests := map[string]string{
		"read":          "/*route='read'*/ SELECT 'answer'",
		"write":         "INSERT INTO intake VALUES (1, 'x')",
		"local command": "SHOW jayloom.session",
		"refusal":       "/*route='unknown'*/ SELECT 1",
	}
	for name, sql := range requests {
		t.Run(name, func(t *testing.T) {
			conn := newSystem(t, 0).proxy().driver(t)
			f := conn.PgConn().Frontend()
			f.Send(&pgproto3.Query{String: sql})
			f.Send(&pgproto3.Terminate{})
			if err := f.Flush(); err != nil {
				t.Fatal(err)
			}
			for {
				message, err := f.Receive()
				if err != nil {
					t.Fatalf("no end of the answer: %v", err)
				}
				if _, ok := message.(*pgproto3.ReadyForQuery); ok {
					return
				}
			}
		})
	}
}
