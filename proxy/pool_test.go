package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy/wire"
)

// fakeDialer opens connections whose remote end the test controls.
type fakeDialer struct {
	t      *testing.T
	mu     sync.Mutex
	shares *variableShares
	refuse atomic.Bool
	// refused counts the failed attempts.
	refused atomic.Int64
	// remote holds the upstream's ends in the order of opening.
	remote []net.Conn
}

func (d *fakeDialer) Dial(context.Context, string, string) (*upstreamConn, error) {
	if d.refuse.Load() {
		d.refused.Add(1)
		return nil, net.ErrClosed
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }()
	ours, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	theirs, err := listener.Accept()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.remote = append(d.remote, theirs)
	d.mu.Unlock()
	d.t.Cleanup(func() { _ = ours.Close(); _ = theirs.Close() })
	return &upstreamConn{net: ours, rd: wire.NewReader(ours, 1<<20), out: wire.NewWriter(ours), prepared: map[string]bool{}}, nil
}

// variableShares allows a number of connections that a test changes.
type variableShares struct {
	fakeShares
	limit atomic.Int64
}

func (c *variableShares) Allowed(time.Duration, string) int { return int(c.limit.Load()) }

func testPool(t *testing.T, allowed int) (*pool, *fakeDialer) {
	d := &fakeDialer{t: t, shares: &variableShares{}}
	d.shares.limit.Store(int64(allowed))
	set := &poolSet{dialer: d, queuePerTeam: 100, maxPinnedPercent: 50, reportNow: func() {}, pools: map[string]*pool{},
		holder: d.shares, parameters: map[string]map[string]string{}}
	return set.get("127.0.0.1:1", "wax"), d
}

func mustAcquire(t *testing.T, p *pool, team string, session uint64) *upstreamConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := p.acquire(ctx, connOwner{team: team, session: session})
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against a late answer on a connection being read by the next session that
// acquires it.
func TestConnectionWithUnreadDataIsNotReused(t *testing.T) {
	cases := map[string]func(conn *upstreamConn, remote net.Conn){
		"arrived before release": func(conn *upstreamConn, remote net.Conn) {
			_, _ = remote.Write([]byte("C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I"))
			_, _ = conn.rd.Next()
		},
		"arrived while idle": func(conn *upstreamConn, remote net.Conn) {
			conn.pool.release(conn)
			_, _ = remote.Write([]byte("Z\x00\x00\x00\x05I"))
		},
		"closed while idle": func(conn *upstreamConn, remote net.Conn) {
			conn.pool.release(conn)
			_ = remote.Close()
		},
		"unsent data": func(conn *upstreamConn, _ net.Conn) { conn.query("SELECT 1") },
	}
	ways := map[string]func(*upstreamConn) (int, error){"send": (*upstreamConn).send, "post": (*upstreamConn).sendNoWait}
	for name, arrange := range cases {
		for way, send := range ways {
			p, d := testPool(t, 1)
			first := mustAcquire(t, p, "driver", 1)
			arrange(first, d.remote[0])
			p.release(first)
			// The peer's bytes or end have arrived once the socket is readable.
			eventually(t, name, func() bool { return name == "unsent data" || !first.isClean() })
			next := mustAcquire(t, p, "driver", 1)
			if next != first {
				continue
			}
			// The connection may be acquired again, but nothing may be sent on it.
			next.query("SELECT 1")
			if sent, err := send(next); sent != 0 || !errors.Is(err, wire.ErrStaleConn) {
				t.Errorf("%s: %s wrote %d bytes to the connection: %v", name, way, sent, err)
			}
		}
	}
}

// Guards against exceeding the limit of pinned connections while statements that pin
// are still running, and against losing the permits of statements that did not pin.
func TestRunningStatementsCountAsPins(t *testing.T) {
	p, _ := testPool(t, 4)
	conn := mustAcquire(t, p, "driver", 1)
	permits := 0
	for range 4 {
		if p.acquirePinPermit() {
			permits++
		}
	}
	if permits != 2 {
		t.Fatalf("got %d permits for 4 connections of which half may be pinned", permits)
	}
	p.pin(conn, true)
	if p.acquirePinPermit() {
		t.Error("got a third permit beside a pinned connection and an unused permit")
	}
	p.releasePinPermit()
	if !p.acquirePinPermit() {
		t.Error("got no permit after one was released")
	}
}

// Guards against more open connections than the share, and against waiting although the
// share allows another connection.
func TestPoolStaysWithinItsShare(t *testing.T) {
	p, d := testPool(t, 2)
	a, b := mustAcquire(t, p, "driver", 1), mustAcquire(t, p, "driver", 2)
	got := make(chan *upstreamConn, 1)
	go func() { got <- mustAcquire(t, p, "sorter", 3) }()
	eventually(t, "a request waits", func() bool { return p.demand(0) == share.PoolDemand{Upstream: p.address, Open: 2, Wanted: 3} })
	d.shares.limit.Store(3)
	p.enforceLimits(false)
	c := <-got
	d.shares.limit.Store(1)
	p.enforceLimits(false)
	p.release(a)
	p.release(b)
	if open := p.demand(0).Open; open != 1 {
		t.Errorf("%d connections are open under a share of 1", open)
	}
	// An expired share closes connections in use as well.
	d.shares.limit.Store(0)
	p.enforceLimits(false)
	if _, err := c.net.Write([]byte("x")); err == nil {
		t.Error("a connection stayed open after its share expired")
	}
	if len(d.remote) != 3 {
		t.Errorf("%d connections were opened", len(d.remote))
	}
}

// Guards against callers getting each other's connections while there are enough, which
// costs a reset and the prepared statements each time.
func TestCallersKeepTheirConnections(t *testing.T) {
	p, _ := testPool(t, 3)
	var conns []*upstreamConn
	for session := range uint64(3) {
		conn := mustAcquire(t, p, "driver", session+1)
		conn.lastSession = session + 1
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		p.release(conn)
	}
	for _, session := range []uint64{2, 1, 3, 1} {
		conn := mustAcquire(t, p, "driver", session)
		if conn.lastSession != session {
			t.Errorf("session %d got the connection of %d", session, conn.lastSession)
		}
		p.release(conn)
	}
	if conn := mustAcquire(t, p, "driver", 9); conn.lastSession != 2 {
		t.Errorf("a new session got the connection of %d; that of 2 was idle longest", conn.lastSession)
	}
}

// Guards against dialing an upstream that refuses connections again for each request.
func TestDialBackoffAfterRefusal(t *testing.T) {
	p, d := testPool(t, 5)
	held := mustAcquire(t, p, "driver", 1)
	d.refuse.Store(true)
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		_, err := p.acquire(ctx, connOwner{team: "driver", session: 2})
		cancel()
		if err == nil {
			t.Fatal("a connection was acquired")
		}
	}
	if n := d.refused.Load(); n != 1 {
		t.Errorf("dialed %d times", n)
	}
	p.release(held)
	mustAcquire(t, p, "driver", 2)
}

// Guards against losing a connection that is handed to a waiter as its context ends.
func TestCanceledWaitLosesNoConnection(t *testing.T) {
	p, _ := testPool(t, 1)
	for range 200 {
		held := mustAcquire(t, p, "driver", 1)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if conn, err := p.acquire(ctx, connOwner{team: "sorter", session: 2}); err == nil {
				p.release(conn)
			} else if err.Code != rescode.QueueTimeout {
				t.Error(err)
			}
		}()
		go cancel()
		p.release(held)
		<-done
	}
	if open := p.demand(0).Open; open > 1 {
		t.Errorf("%d connections are open", open)
	}
	mustAcquire(t, p, "driver", 1)
}

// closeIdleConns makes all idle connections look as if the upstream had closed them.
func closeIdleConns(t *testing.T, p *testProxy) {
	t.Helper()
	ended := 0
	eventually(t, "a connection is idle", func() bool {
		for _, pool := range p.pools.list() {
			pool.mu.Lock()
			for _, conn := range pool.idle {
				_ = conn.net.(*net.TCPConn).CloseRead()
				ended++
			}
			pool.mu.Unlock()
		}
		return ended > 0
	})
}

// Guards against a request that is lost or runs twice because the upstream closed its
// pooled connection while it was idle.
func TestRequestsSkipClosedConnections(t *testing.T) {
	const marker = "INSERT INTO intake VALUES (7, 'marker')"
	requests := map[string]func(p *testProxy, conn *pgx.Conn){
		"simple": func(_ *testProxy, conn *pgx.Conn) { exec(t, conn, marker, pgx.QueryExecModeSimpleProtocol) },
		"batch":  func(_ *testProxy, conn *pgx.Conn) { exec(t, conn, marker, pgx.QueryExecModeExec) },
		"identity": func(_ *testProxy, conn *pgx.Conn) {
			exec(t, conn, marker+" /*request='r-1'*/", pgx.QueryExecModeSimpleProtocol)
		},
		"startup parameter": func(p *testProxy, _ *pgx.Conn) {
			exec(t, p.driver(t, "application_name=van"), marker, pgx.QueryExecModeSimpleProtocol)
		},
		"position query": func(p *testProxy, _ *pgx.Conn) {
			if _, err := p.barrierOf("wax-1").wait(context.Background()); err != nil {
				t.Error(err)
			}
		},
	}
	for name, request := range requests {
		s := newSystem(t, 0)
		p := s.proxy()
		conn := p.driver(t)
		exec(t, conn, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
		closeIdleConns(t, p)
		dials := metricDials.Get()
		request(p, conn)
		if metricDials.Get() == dials {
			t.Errorf("%s: no new connection was opened", name)
		}
		if n := len(statements(s.primary, "marker")); n > 1 || n == 0 && name != "position query" {
			t.Errorf("%s: ran %d times", name, n)
		}
	}
}
