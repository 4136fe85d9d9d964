package proxy

import (
	"crypto/tls"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/socket"
	"github.com/jayloom/jayloom/proxy/wire"
)

// maxUpstreamMessageBytes bounds a message of an upstream; PostgreSQL has the same
// limit.
const maxUpstreamMessageBytes = 1 << 30

// unknownSession is a number that no session has. It makes the next user of the
// connection reset its state.
const unknownSession = math.MaxUint64

// noSession is the session of a connection without session state. Sessions are numbered from 1.
const noSession = 0

// upstreamConn is a connection to an upstream. While it is acquired, it belongs to the
// goroutine that holds it.
type upstreamConn struct {
	pool *pool
	net  net.Conn
	// tls is the TLS configuration of the connection, nil without TLS.
	tls          *tls.Config
	rd           *wire.Reader
	out          *wire.Writer
	roundTripper *wire.RoundTripper
	processID    uint32
	secret       []byte
	parameters   map[string]string

	// lastSession is the session whose settings and prepared statements the connection
	// has, or noSession.
	lastSession uint64
	// prepared holds the proxy-chosen names of the statements that are prepared.
	prepared map[string]bool
	// unnamed is the statement that is prepared without a name.
	unnamed *statement
	// readOnly is the value that default_transaction_read_only was set to.
	readOnly bool
	pinned   bool
	// tainted is set if the session may have changed settings that alter the meaning of
	// statements.
	tainted bool
	// listens is set if LISTEN was run; notifications may then arrive at any time.
	listens bool
	// unused is set while nothing was sent since the connection was acquired.
	unused bool
	// unsafe is set if the connection must not be acquired again.
	unsafe bool

	cancel cancelGuard
}

// cancelGuard keeps a cancel request from reaching another caller's statement.
type cancelGuard struct {
	mu     sync.Mutex
	holder uint64
	// cancelSent is set once a cancel request was sent; it may take effect at any later
	// time.
	cancelSent bool
}

// bind allows the session's cancel requests.
func (g *cancelGuard) bind(session uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder = session
}

// unbind stops allowing cancel requests, and reports whether one was sent.
func (g *cancelGuard) unbind() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder = 0
	return g.cancelSent
}

// claim records that a cancel request is sent, if the session still holds the
// connection.
func (g *cancelGuard) claim(session uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != session {
		return false
	}
	g.cancelSent = true
	return true
}

// clearSessionState updates the recorded state after DISCARD ALL was sent.
func (c *upstreamConn) clearSessionState() {
	c.lastSession = noSession
	c.readOnly = false
	c.listens = false
	c.tainted = false
	c.unnamed = nil
	clear(c.prepared)
}

// query appends a simple query, which destroys the unnamed prepared statement.
func (c *upstreamConn) query(sql string) {
	c.out.Query(sql)
	c.unnamed = nil
}

// send writes the pending messages, at least one of which must be answered. Where the
// socket allows it, send also waits for the start of the answer. It returns how many
// bytes were written to the connection. The first send after the connection was
// acquired fails with wire.ErrStaleConn, and sends nothing, if the upstream has closed
// the connection or unread data is left.
func (c *upstreamConn) send() (int, error) {
	if c.roundTripper == nil {
		c.roundTripper = wire.NewRoundTripper(c.rd, c.out)
	}
	if c.out.Pending() == 0 || !c.roundTripper.Supported() {
		return c.sendNoWait()
	}
	unused := c.unused
	c.unused = false
	sent, err := c.roundTripper.Send(unused)
	if errors.Is(err, wire.ErrStaleConn) {
		metricStaleConns.Inc()
	}
	return sent, err
}

// sendNoWait is like send but does not wait for the answer.
func (c *upstreamConn) sendNoWait() (int, error) {
	unused := c.unused
	c.unused = false
	if unused && !c.isClean() {
		metricStaleConns.Inc()
		return 0, wire.ErrStaleConn
	}
	return c.out.Flush()
}

// isClean reports whether the connection is open and has no unread data. An unread
// answer would be taken for the answer to the next request.
func (c *upstreamConn) isClean() bool {
	if c.rd.Buffered() > 0 {
		return false
	}
	plain := c.net
	if secured, ok := c.net.(*tls.Conn); ok {
		if !isTLSClean(secured) {
			return false
		}
		plain = secured.NetConn()
	}
	return socket.Usable(plain)
}

// isTLSClean reports whether the TLS layer has buffered no record that is not read yet.
// A read whose deadline has passed returns such a record, and otherwise fails before it
// reads from the socket.
func isTLSClean(c *tls.Conn) bool {
	if c.SetReadDeadline(time.Unix(0, 1)) != nil {
		return false
	}
	var b [1]byte
	n, err := c.Read(b[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}
