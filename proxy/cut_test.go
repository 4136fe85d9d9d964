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
