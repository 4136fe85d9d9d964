package proxy

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
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

// Guards against a drain that ends an idle caller between two segments of its request: the
// request is either served or refused as not run, and never dropped half read.
func TestDrainAwaitsRestOfRequest(t *testing.T) {
	for name, complete := range map[string]bool{"completed": true, "never completed": false} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy()
			conn := p.driver(t)
			text, err := (&pgproto3.Query{String: "INSERT INTO intake VALUES (1, 'halves')"}).Encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			half := len(text) / 2
			if _, err := conn.PgConn().Conn().Write(text[:half]); err != nil {
				t.Fatal(err)
			}
			go p.drainWithin(testDrainTimeout)
			time.Sleep(3 * drainGracePeriod)
			want, runs := rescode.ProxyDraining, 0
			if complete {
				want, runs = rescode.Code(0), 1
				if _, err := conn.PgConn().Conn().Write(text[half:]); err != nil {
					t.Fatal(err)
				}
			}
			if err := receiveError(conn); codeOf(err) != want || complete && err != nil {
				t.Errorf("got %v, want code %v", err, want)
			}
			if n := len(statements(s.primary, "halves")); n != runs {
				t.Errorf("the statement ran %d times, want %d", n, runs)
			}
		})
	}
}

// splitConn writes in two segments with a pause once split is set.
type splitConn struct {
	net.Conn
	split *atomic.Bool
}

// Write implements net.Conn.
func (c splitConn) Write(b []byte) (int, error) {
	if !c.split.Load() {
		return c.Conn.Write(b)
	}
	first, err := c.Conn.Write(b[:len(b)/2])
	if err != nil {
		return first, err
	}
	time.Sleep(3 * drainGracePeriod)
	second, err := c.Conn.Write(b[first:])
	return first + second, err
}

// Guards against a drain that ends a caller between two segments of a TLS record without an
// answer. The proxy can't see such a part of a request, so it may refuse it as not run.
func TestDrainAnswersPartialTLSRecord(t *testing.T) {
	s := newSystem(t, 0)
	certificate, pool := testCertificate(t)
	p := s.proxy(func(o *Options) {
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	})
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://driver:%s@%s/wax?sslmode=verify-full", keyDriver, p.address))
	if err != nil {
		t.Fatal(err)
	}
	config.TLSConfig.RootCAs = pool
	var split atomic.Bool
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return splitConn{conn, &split}, err
	}
	conn, err := pgx.ConnectConfig(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	split.Store(true)
	outcome := sendAsync(conn, "INSERT INTO intake VALUES (1, 'record')")
	time.Sleep(drainGracePeriod / 2)
	go p.drainWithin(testDrainTimeout)
	err = <-outcome
	runs := len(statements(s.primary, "record"))
	served := err == nil && runs == 1
	refused := codeOf(err) == rescode.ProxyDraining && runs == 0
	if !served && !refused {
		t.Errorf("the statement ran %d times and its caller got %v", runs, err)
	}
	t.Logf("served %v, refused %v", served, refused)
}

// Guards against a caller that logs in after the drain has ended, and whose request the
// stop of the process then cuts.
func TestDrainRefusesUnfinishedLogin(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	opened, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = opened.Close() }()
	eventually(t, "the login begins", func() bool { return p.unauthenticated.count() == 1 })
	p.drainWithin(testDrainTimeout)
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://driver:%s@%s/wax?sslmode=disable", keyDriver, p.address))
	if err != nil {
		t.Fatal(err)
	}
	config.DialFunc = func(context.Context, string, string) (net.Conn, error) { return opened, nil }
	conn, err := pgx.ConnectConfig(t.Context(), config)
	if err == nil {
		_, err = conn.Exec(t.Context(), "INSERT INTO intake VALUES (1, 'late')")
	}
	if n := len(statements(s.primary, "late")); n != 0 {
		t.Errorf("a statement ran %d times after the drain had ended", n)
	}
	wantCode(t, err, rescode.ProxyDraining)
}
