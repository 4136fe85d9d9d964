package proxy

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/proxy/wire"
	"github.com/jayloom/jayloom/standin"
)

// certificateFile writes a certificate to a file that settings can refer to.
func certificateFile(t *testing.T, certificate tls.Certificate) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]}
	if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func upstreamTLS(certificate tls.Certificate) systemOption {
	return func(c *standin.Config) {
		c.TLS = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	}
}

func verifyUpstream(ca string) func(*Options) {
	return func(o *Options) {
		o.Settings.Upstream.TLS = settings.UpstreamTLS{SSLMode: settings.SSLVerifyFull, CA: ca}
	}
}

// Guards against sending statements or the system's password to an upstream, or receiving
// answers from it, in the clear, and against TLS connections that are not reused.
func TestUpstreamsOverTLS(t *testing.T) {
	certificate, _ := testCertificate(t)
	s := newSystem(t, 0, upstreamTLS(certificate))
	p := s.proxy(verifyUpstream(certificateFile(t, certificate)))
	conn := p.driver(t)
	const secret = "not to be read in transit"
	opened := metricDials.Get()
	exec(t, conn, "INSERT INTO intake VALUES (1, '"+secret+"')")
	for range 10 {
		if got := queryText(t, conn, "SELECT note FROM intake WHERE id = 1"); got != secret {
			t.Fatalf("got %q, want the text inserted", got)
		}
	}
	if n := metricDials.Get() - opened; n != 1 {
		t.Errorf("%d connections were opened for consecutive statements, want 1", n)
	}
	if s.capture.contains(secret) || s.capture.contains("jayloom-proxy") {
		t.Error("the upstream received unencrypted text")
	}
}

// Guards against accepting a server with another certificate as the upstream.
func TestUpstreamWithWrongCertificateIsRefused(t *testing.T) {
	certificate, _ := testCertificate(t)
	foreign, _ := testCertificate(t)
	s := newSystem(t, 0, upstreamTLS(foreign))
	p := s.proxy(verifyUpstream(certificateFile(t, certificate)))
	_, err := p.driver(t).Exec(context.Background(), "INSERT INTO intake VALUES (1, 'x')")
	wantCode(t, err, rescode.UpstreamConnectFailed)
}

// Guards against cancel requests that a server with TLS does not accept, and against
// cancel keys that can be read, and used, in transit.
func TestCancelOverTLS(t *testing.T) {
	certificate, _ := testCertificate(t)
	s := newSystem(t, 0, upstreamTLS(certificate))
	p := s.proxy(verifyUpstream(certificateFile(t, certificate)))
	conn := p.driver(t)
	cancelRunning(t, s, conn)
	if s.capture.contains(string(binary.BigEndian.AppendUint32(nil, codeCancel))) {
		t.Error("the upstream received a cancel request in the clear")
	}
}

// Guards against a late answer that the TLS layer has buffered but not returned: the next
// holder of the connection would read it.
func TestRecordBufferedByTLSIsNotClean(t *testing.T) {
	certificate, pool := testCertificate(t)
	ours, theirs := socketPair(t)
	joined := &joiningConn{Conn: theirs}
	server := tls.Server(joined, &tls.Config{Certificates: []tls.Certificate{certificate}})
	client := tls.Client(ours, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	handshake := make(chan error, 1)
	go func() { handshake <- server.Handshake() }()
	if err := client.Handshake(); err != nil {
		t.Fatal(err)
	}
	if err := <-handshake; err != nil {
		t.Fatal(err)
	}
	conn := &upstreamConn{net: client, rd: wire.NewReader(client, 1<<20), out: wire.NewWriter(client)}
	const ready = "Z\x00\x00\x00\x05I"
	send := func(records int) {
		joined.join = true
		for range records {
			if _, err := server.Write([]byte(ready)); err != nil {
				t.Fatal(err)
			}
		}
		joined.send(t)
	}
	read := func() {
		t.Helper()
		if _, err := conn.rd.Next(); err != nil {
			t.Fatal(err)
		}
	}
	send(1)
	read()
	if !conn.isClean() {
		t.Fatal("a connection whose answer was read is not clean")
	}
	// The check must leave the connection usable.
	send(2)
	read()
	if conn.isClean() {
		t.Error("a connection with an unread answer is clean")
	}
}

// joiningConn joins the records that TLS writes, so that they arrive together.
type joiningConn struct {
	net.Conn
	join    bool
	pending []byte
}

func (c *joiningConn) Write(p []byte) (int, error) {
	if !c.join {
		return c.Conn.Write(p)
	}
	c.pending = append(c.pending, p...)
	return len(p), nil
}

func (c *joiningConn) send(t *testing.T) {
	t.Helper()
	if _, err := c.Conn.Write(c.pending); err != nil {
		t.Fatal(err)
	}
	c.pending = nil
}

// socketPair returns both ends of a connection.
func socketPair(t *testing.T) (ours, theirs net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if ours, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if theirs, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ours.Close(); _ = theirs.Close() })
	return ours, theirs
}
