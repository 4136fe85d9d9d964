package proxy

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// remoteListener gives callers an address that is not loopback, so that they must
// authenticate with SCRAM.
type remoteListener struct{ net.Listener }

type remoteConn struct{ net.Conn }

func (l remoteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return remoteConn{conn}, err
}

func (remoteConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 1}
}

// Guards against serving a caller without a key of its team, and against rejecting
// active keys, with both authentication methods.
func TestOnlyActiveKeysOfTheTeamAuthenticate(t *testing.T) {
	s := newSystem(t, 0)
	const second = "jlk_driver24_abcdefghijklmnopqrstuvwxyz222222"
	driver := s.state.Teams["driver"]
	driver.Keys["driver24"] = keyVerifier("driver24", second, driver.ScramSalt)
	local := s.proxy()
	remote := s.proxy()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = remote.Serve(remoteListener{listener}) }()
	remote.address = listener.Addr().String()
	cases := []struct {
		team, key string
		code      rescode.Code
	}{
		{"driver", keyDriver, 0},
		{"driver", second, 0},
		{"sorter", keySorter, 0},
		{"driver", keySorter, rescode.WrongKey},
		{"sorter", second, rescode.WrongKey},
		{"driver", "secret", rescode.WrongKey},
		{"driver", keyDriver[:len(keyDriver)-1] + "5", rescode.WrongKey},
		{"nobody", keyDriver, rescode.UnknownTeam},
		{"public", "", 0},
	}
	for name, p := range map[string]*testProxy{"cleartext": local, "SCRAM": remote} {
		for _, c := range cases {
			conn, err := p.tryConnect(c.team, c.key)
			if codeOf(err) != c.code || err != nil && c.code == 0 {
				t.Errorf("%s, %s with %.12s: got %v, want %v", name, c.team, c.key, err, c.code)
			}
			if conn != nil {
				_ = conn.Close(context.Background())
			}
		}
	}
}

// Guards against accepting a key that crosses a network in the clear.
func TestCleartextIsRefusedFromRemoteAddress(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Serve(remoteListener{listener}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "driver", "database": "wax"}})
	f.Send(&pgproto3.PasswordMessage{Password: keyDriver})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		message, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if refusal, ok := message.(*pgproto3.ErrorResponse); ok {
			if !strings.HasPrefix(refusal.Detail, fmt.Sprintf("jayloom code %d ", rescode.CleartextRefused)) {
				t.Errorf("got refusal %q, want code CleartextRefused", refusal.Detail)
			}
			return
		}
	}
}

// Guards against accepting the session token or the cancel key of one team with the key
// of another.
func TestTokenAndCancelKeyOfAnotherTeam(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	driver := p.driver(t)
	exec(t, driver, "INSERT INTO intake VALUES (1, 'x')")
	token := sessionToken(t, driver.PgConn())
	if _, err := p.tryConnect("sorter", keySorter, settingSession+"="+token); codeOf(err) != rescode.SessionTokenInvalid {
		t.Errorf("with the token of another team: got %v, want code SessionTokenInvalid", err)
	}
	sorter := p.connect(t, "sorter", keySorter)
	_, err := sorter.Exec(context.Background(), "SET jayloom.session = '"+token+"'")
	wantCode(t, err, rescode.SessionTokenInvalid)

	failed := make(chan error, 1)
	go func() {
		_, err := sorter.Exec(context.Background(), "SELECT pg_sleep(0.3)")
		failed <- err
	}()
	eventually(t, "the statement runs", func() bool { return len(statements(s.primary, "pg_sleep")) > 0 })
	// The driver's cancel key must reach only the driver's own statements.
	if err := driver.PgConn().CancelRequest(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err != nil {
		t.Errorf("the cancel key of another team cancelled the statement: %v", err)
	}
}

// Guards against forwarding a key to an upstream in any message of a caller.
func TestNoKeyReachesAnUpstream(t *testing.T) {
	s := newSystem(t, 1)
	p := s.proxy()
	ctx := context.Background()
	conn := p.driver(t)
	_, err := conn.Exec(ctx, "INSERT INTO intake VALUES (1, '"+keyDriver+"')")
	wantCode(t, err, rescode.KeyInStatement)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
		_, err = conn.Exec(ctx, "INSERT INTO intake VALUES (1, $1)", mode, keySorter)
		wantCode(t, err, rescode.KeyInStatement)
	}
	exec(t, conn, "BEGIN")
	_, err = conn.Exec(ctx, "SELECT '"+keyDriver+"'")
	wantCode(t, err, rescode.KeyInStatement)
	if _, err := conn.Exec(ctx, "INSERT INTO intake VALUES (2, 'x')"); err == nil {
		t.Error("a transaction continued after a refused statement")
	}
	exec(t, conn, "ROLLBACK")
	if _, err := p.tryConnect("driver", keyDriver, "application_name="+keyDriver); codeOf(err) != rescode.KeyInStatement {
		t.Errorf("with a key in a startup parameter: got %v, want code KeyInStatement", err)
	}
	for split := 1; split < len(keyDriver); split += 11 {
		wantCode(t, copySplit(conn.PgConn(), split), rescode.KeyInStatement)
	}
	if got := queryText(t, conn, "SELECT count(*)::text FROM intake"); got != "0" {
		t.Errorf("%s rows of refused requests were stored", got)
	}
	for _, key := range []string{keyDriver, keySorter} {
		if s.capture.contains(key) || s.capture.contains(key[12:]) {
			t.Error("an upstream received a key")
		}
	}
}

// copySplit sends COPY data in which a key is split between two messages.
func copySplit(conn *pgconn.PgConn, split int) error {
	f := conn.Frontend()
	f.Send(&pgproto3.Query{String: "COPY intake FROM STDIN"})
	f.Send(&pgproto3.CopyData{Data: []byte("1\t" + keyDriver[:split])})
	f.Send(&pgproto3.CopyData{Data: []byte(keyDriver[split:] + "\n")})
	f.Send(&pgproto3.CopyDone{})
	if err := f.Flush(); err != nil {
		return err
	}
	var failure error
	for {
		message, err := f.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			failure = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// Guards against continuing to serve connected callers after their key was withdrawn.
func TestWithdrawnKeyEndsItsCallers(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy(oneConnection)
	ctx := context.Background()
	idle, queued, open := p.driver(t), p.driver(t), p.driver(t)
	other := p.connect(t, "sorter", keySorter)
	exec(t, open, "BEGIN")
	exec(t, open, "INSERT INTO intake VALUES (1, 'x')")
	waiting := make(chan error, 1)
	go func() {
		_, err := queued.Exec(ctx, "INSERT INTO intake VALUES (2, 'x')")
		waiting <- err
	}()
	eventually(t, "the request is queued", func() bool { return p.pools.get(s.primary.Addr(), "wax").load() >= 2 })
	s.change(func(state *controlpb.FleetState) { delete(state.Teams["driver"].Keys, "driver23") })
	wantCode(t, <-waiting, rescode.KeyWithdrawn)
	for name, conn := range map[string]*pgx.Conn{"idle": idle, "in a transaction": open} {
		// The refusal is sent unsolicited; drivers see it on the next use.
		message, err := conn.PgConn().ReceiveMessage(ctx)
		if refusal, ok := message.(*pgproto3.ErrorResponse); ok {
			err = pgconn.ErrorResponseToPgError(refusal)
		}
		if codeOf(err) != rescode.KeyWithdrawn {
			t.Errorf("%s: got %T, %v", name, message, err)
		}
	}
	if got := queryText(t, other, "SELECT count(*)::text FROM intake"); got != "0" {
		t.Errorf("%s rows of ended callers were stored", got)
	}
	if _, err := p.tryConnect("driver", keyDriver); codeOf(err) != rescode.WrongKey {
		t.Errorf("new connection: got %v", err)
	}
}

// Guards against a proxy without contact to control that serves from a stale view.
func TestDetachedProxyServesNothing(t *testing.T) {
	s := newSystem(t, 0)
	p := s.proxy()
	conn := p.driver(t)
	s.servingLease = -time.Second
	s.publishTo(p)
	_, err := conn.Exec(context.Background(), "INSERT INTO intake VALUES (1, 'detached')")
	wantCode(t, err, rescode.ProxyDetached)
	if _, err := p.tryConnect("driver", keyDriver); codeOf(err) != rescode.ProxyDetached {
		t.Errorf("new connection: got %v", err)
	}
	s.servingLease = time.Hour
	s.publishTo(p)
	exec(t, conn, "SELECT 1")
	if n := len(statements(s.primary, "detached")); n != 0 {
		t.Errorf("the refused statement ran %d times", n)
	}
}

// testCertificate returns a self-signed certificate for 127.0.0.1.
func testCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool
}

// Guards against not serving callers that use TLS, and against not ending them when
// their team is removed.
func TestServesCallersOverTLS(t *testing.T) {
	s := newSystem(t, 0)
	certificate, pool := testCertificate(t)
	p := s.proxy(func(o *Options) {
		o.Settings.RequireTLS = true
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	})
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://driver:%s@%s/wax?sslmode=verify-full", keyDriver, p.address))
	if err != nil {
		t.Fatal(err)
	}
	config.TLSConfig.RootCAs = pool
	conn, err := pgx.ConnectConfig(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", 300_000)
	if got := queryText(t, conn, "SELECT $1::text", long); got != long {
		t.Errorf("the long answer has %d bytes", len(got))
	}
	s.change(func(state *controlpb.FleetState) { delete(state.Teams, "driver") })
	if _, err := conn.PgConn().ReceiveMessage(context.Background()); codeOf(err) != rescode.KeyWithdrawn && !conn.IsClosed() {
		t.Errorf("got %v", err)
	}
}
