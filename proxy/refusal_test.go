package proxy

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Guards against an error that says "not run" although an upstream ran the request.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	const marker = "INSERT INTO intake VALUES (1, 'marker')"
	tagged := func(tag string) string { return "/*" + tag + "*/ " + marker }
	cases := []struct {
		code       rescode.Code
		sql        string
		parameters []string
		team, key  string
		arrange    func(s *system, p *testProxy)
	}{
		{code: rescode.UnknownRoute, sql: tagged("route='none'")},
		{code: rescode.RouteServiceMismatch, sql: tagged("route='tray'")},
		{code: rescode.BadTag, sql: tagged("route='write',slot='x'")},
		{code: rescode.UnknownSlot, sql: tagged("route='write',slot='7'")},
		{code: rescode.SlotRequired, sql: marker, parameters: []string{"dbname=tray"}},
		{code: rescode.KeyRequired, sql: marker, team: "public"},
		{code: rescode.KeyRequired, sql: tagged("route='write'"), team: "public"},
		{code: rescode.RouteNotAllowed, sql: tagged("route='write'"), arrange: func(s *system, _ *testProxy) {
			s.change(func(state *controlpb.FleetState) { state.Teams["driver"].Routes = []string{"read"} })
		}},
		{code: rescode.KeyInStatement, sql: marker + " -- " + keyDriver},
		{code: rescode.RateExceeded, sql: marker, arrange: func(_ *system, p *testProxy) { p.tokens.withhold("driver", true) }},
		{code: rescode.GroupFenced, sql: tagged("route='safe'"), arrange: func(s *system, _ *testProxy) {
			s.change(func(state *controlpb.FleetState) {
				state.Groups["wax-1"].Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
			})
		}},
		{code: rescode.GroupFenced, sql: tagged("route='safe'"), arrange: func(s *system, p *testProxy) { s.expireLease(p, false) }},
		{code: rescode.NoUpstream, sql: tagged("route='safe'"), arrange: func(s *system, _ *testProxy) {
			s.change(func(state *controlpb.FleetState) {
				state.Upstreams[s.primary.Addr()].State = controlpb.UpstreamState_UPSTREAM_STATE_LEAVING
			})
		}},
		{code: rescode.UpstreamConnectFailed, sql: marker, arrange: func(s *system, _ *testProxy) {
			s.primary.Crash()
			closeConnectionsAt(s.t, s.primary.Addr())
		}},
		{code: rescode.ProxyDetached, sql: marker, arrange: func(s *system, p *testProxy) {
			s.servingLease = -time.Second
			s.publishTo(p)
		}},
		{code: rescode.QueueTimeout, sql: tagged("route='safe'"), arrange: func(s *system, p *testProxy) {
			holdTransactions(s.t, p, 4)
		}},
		{code: rescode.QueueFull, sql: marker, arrange: func(s *system, p *testProxy) {
			p.pools.queuePerTeam = 0
			holdTransactions(s.t, p, 4)
		}},
		{code: rescode.PinLimit, sql: marker + "; SELECT set_config('a.b', 'c', false)", arrange: func(s *system, p *testProxy) {
			for range 2 {
				exec(s.t, p.driver(s.t), "SET application_name TO 'pinned'")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.code.String(), func(t *testing.T) {
			s := newSystem(t, 0)
			p := s.proxy()
			team, key := "driver", keyDriver
			if c.team != "" {
				team, key = c.team, ""
			}
			conn := p.connect(t, team, key, c.parameters...)
			if c.arrange != nil {
				c.arrange(s, p)
			}
			for protocol, send := range protocols {
				if protocol == "extended" && strings.Contains(c.sql, ";") {
					continue
				}
				_, err := send(conn, c.sql)
				wantCode(t, err, c.code)
			}
			if n := len(statements(s.primary, "marker")); n != 0 {
				t.Errorf("the refused statement ran %d times", n)
			}
		})
	}
}

// closeConnectionsAt listens at the address of a crashed server and closes each
// connection. Otherwise a stand-in of another test process could get the port and answer.
func closeConnectionsAt(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
}

// Guards against reporting lost session state, which means "not run", for a statement
// that ran without that state, on the old connection or on another one.
func TestStatementWithoutItsSessionStateDidNotRun(t *testing.T) {
	for protocol, send := range protocols {
		s := newSystem(t, 0)
		conn := s.proxy().driver(t)
		exec(t, conn, "SET application_name TO 'kept'")
		s.change(func(state *controlpb.FleetState) {
			group := state.Groups["wax-1"]
			group.Term++
			group.History = append(group.History, &controlpb.TermStart{Term: group.Term, StartLsn: 1, Timeline: 2})
		})
		_, err := send(conn, "INSERT INTO intake VALUES (1, 'marker')")
		wantCode(t, err, rescode.UpstreamLost)
		if n := len(statements(s.primary, "marker")); n != 0 {
			t.Errorf("%s: the refused statement ran %d times", protocol, n)
		}
	}
}

// holdTransactions opens n transactions, each on a connection of its own.
func holdTransactions(t *testing.T, p *testProxy, n int) {
	for range n {
		exec(t, p.driver(t), "BEGIN")
	}
}

// Guards against requiring a key for a request on a public route.
func TestPublicCallerOnOpenRoute(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	exec(t, p.driver(t), "INSERT INTO intake VALUES (1, 'first')")
	conn := p.connect(t, "public", "", "jayloom.route=open")
	if got := queryText(t, conn, "SELECT note FROM intake WHERE id = 1"); got != "first" {
		t.Errorf("read %q", got)
	}
	exec(t, conn, "BEGIN")
	_, err := conn.Exec(context.Background(), "/*route='write'*/ SELECT 1")
	wantCode(t, err, rescode.KeyRequired)
}

// Guards against a transaction that commits although one of its statements was refused.
func TestRefusalFailsTheTransaction(t *testing.T) {
	for _, send := range protocols {
		s := newSystem(t, 0)
		p := s.proxy()
		conn := p.driver(t)
		ctx := context.Background()
		exec(t, conn, "BEGIN")
		exec(t, conn, "INSERT INTO intake VALUES (1, 'x')")
		p.tokens.withhold("driver", true)
		_, err := send(conn, "INSERT INTO intake VALUES (2, 'x')")
		wantCode(t, err, rescode.RateExceeded)
		p.tokens.withhold("driver", false)
		tag, err := conn.Exec(ctx, "COMMIT")
		if err != nil || tag.String() != "ROLLBACK" {
			t.Errorf("COMMIT gave %v, %v", tag, err)
		}
		if got := queryText(t, conn, "SELECT count(*)::text FROM intake"); got != "0" {
			t.Errorf("%s rows of a transaction with a refused statement were committed", got)
		}
	}
}

// Guards against crashes on input that is not the protocol, and against reading messages
// whose announced length exceeds the limit.
func TestMalformedInput(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) {
		o.Settings.AuthenticationTimeoutMs = 100
		o.Settings.MaxMessageBytes = 1 << 20
	})
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "public", "database": "wax"}}).Encode(nil)
	long := binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<30)
	cases := map[string]struct {
		bytes []byte
		code  string
	}{
		"HTTP":             {[]byte("GET / HTTP/1.1\r\n\r\n"), "54000"},
		"long startup":     {binary.BigEndian.AppendUint32(nil, 1<<20), "54000"},
		"negative length":  {binary.BigEndian.AppendUint32(nil, 3), "08P01"},
		"old version":      {append(binary.BigEndian.AppendUint32(nil, 8), 0, 2, 0, 0), "08P01"},
		"no terminator":    {append(binary.BigEndian.AppendUint32(nil, 12), 0, 3, 0, 0, 'u', 's', 'e', 'r'), "08P01"},
		"silence":          {nil, "08004"},
		"long message":     {append(bytes.Clone(startup), long...), "54000"},
		"unknown message":  {append(bytes.Clone(startup), 'y', 0, 0, 0, 4), "08P01"},
		"negative message": {append(bytes.Clone(startup), 'Q', 0, 0, 0, 1), "08P01"},
		"unended query":    {append(bytes.Clone(startup), 'Q', 0, 0, 0, 5, 'x'), "08P01"},
		"cut bind":         {append(bytes.Clone(startup), 'B', 0, 0, 0, 5, 'x'), "08P01"},
	}
	for name, c := range cases {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(c.bytes); err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		if !bytes.Contains(answer, []byte("C"+c.code+"\x00")) {
			t.Errorf("%s: answered %q, want SQLSTATE %s", name, answer, c.code)
		}
	}
	exec(t, p.driver(t), "SELECT 1")
}

// Guards against callers that do not authenticate exhausting the proxy's resources.
func TestLimitsOnCallers(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) { o.Settings.MaxUnauthenticated, o.Settings.MaxClients = 2, 1 })
	var silent []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, conn)
	}
	eventually(t, "the silent callers count", func() bool { return p.unauthenticated.count() == 2 })
	// A newcomer is refused while the others may still log in. Later it displaces the oldest, who is told why.
	if _, err := p.tryConnect("driver", keyDriver); codeOf(err) != rescode.TooManyUnauthenticated {
		t.Errorf("a newcomer beside fresh callers: %v", err)
	}
	eventually(t, "a newcomer displaces the oldest caller", func() bool {
		driver, err := p.tryConnect("driver", keyDriver)
		if err != nil {
			return false
		}
		t.Cleanup(func() { _ = driver.Close(context.Background()) })
		return true
	})
	code := fmt.Sprintf("jayloom code %d ", rescode.TooManyUnauthenticated)
	if answer, err := io.ReadAll(silent[0]); err != nil || !bytes.Contains(answer, []byte(code)) {
		t.Errorf("the oldest silent caller read %q, %v", answer, err)
	}
	if n := p.unauthenticated.count(); n != 1 {
		t.Errorf("%d silent callers are left, want the youngest", n)
	}
	for _, conn := range silent {
		_ = conn.Close()
	}
	eventually(t, "the silent callers are gone", func() bool { return p.unauthenticated.count() == 0 })
	if _, err := p.tryConnect("driver", keyDriver); codeOf(err) != rescode.TooManyConnections {
		t.Errorf("got %v", err)
	}
}

// Guards against serving without TLS when the settings require it, and against accepting
// plaintext data that was sent ahead of the TLS handshake as protected data.
func TestTLSIsRequired(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(func(o *Options) {
		o.Settings.RequireTLS = true
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	})
	if _, err := p.tryConnect("driver", keyDriver); codeOf(err) != rescode.TLSRequired {
		t.Errorf("got %v", err)
	}
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
	if _, err := conn.Write(append(request, "injected"...)); err != nil {
		t.Fatal(err)
	}
	if answer, _ := io.ReadAll(conn); !bytes.Contains(answer, []byte("C08P01")) {
		t.Errorf("answered %q", answer)
	}
}
