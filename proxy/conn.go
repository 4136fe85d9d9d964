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

// maxUpstreamMessageBytes bounds a message of an upstream, as PostgreSQL itself does.
const maxUpstreamMessageBytes = 1 << 30

// unknownSession is a number that no session has: what the connection carries is to
// be discarded before anybody uses it.
const unknownSession = math.MaxUint64

// upstreamConn is a connection to an upstream. While it is lent, it belongs to the
// goroutine of the borrower.
type upstreamConn struct {
	pool *pool
	net  net.Conn
	// tls is what the connection was secured with, nil for none.
	tls          *tls.Config
	rd           *wire.Reader
	out          *wire.Writer
	roundTripper *wire.RoundTripper
	processID    uint32
	secret       []byte
	parameters   map[string]string

	// lastSession is the session whose settings and statements the connection
	// carries, 0 for none.
	lastSession uint64
	// prepared holds the proxy-chosen names of the statements that are prepared.
	prepared map[string]bool
	// unnamed is the statement that is prepared without a name.
	unnamed *statement
	// readOnly is what default_transaction_read_only was set to.
	readOnly bool
	pinned   bool
	// tainted says that the session may have changed how statements are understood.
	tainted bool
	// listens says that LISTEN was run, so that notifications come at any time.
	listens bool
	// fresh says that the connection was lent and nothing was sent since.
	unused bool
	// unsafe says that the connection must not be lent again.
	unsafe bool

	cancel cancelGuard
}

// cancelGuard keeps a cancel request from reaching another caller's statement.
type cancelGuard struct {
	mu     sync.Mutex
	holder uint64
	// hit says that a cancel request was sent; it may take effect at any later time.
	cancelSent bool
}

// bind makes the session the one whose cancel requests are sent on.
func (g *cancelGuard) bind(session uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder = session
}

// unbind ends that, and reports whether a cancel request was sent meanwhile.
func (g *cancelGuard) unbind() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder = 0
	return g.cancelSent
}

// claim marks the connection as hit if it still serves the session.
func (g *cancelGuard) claim(session uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != session {
		return false
	}
	g.cancelSent = true
	return true
}

// clearSessionState records that DISCARD ALL was sent.
func (c *upstreamConn) clearSessionState() {
	c.lastSession = 0
	c.readOnly = false
	c.listens = false
	c.tainted = false
	c.unnamed = nil
	clear(c.prepared)
}

// query appends a simple query, which ends the unnamed statement.
func (c *upstreamConn) query(sql string) {
	c.out.Query(sql)
	c.unnamed = nil
}

// send writes what is pending, of which at least one message must be answered, and
// waits for the answer to begin where the socket allows it. It returns how many bytes
// were handed to the connection. The first send of a borrower fails with
// wire.ErrNotQuiet, and sends nothing, when the upstream has closed the connection or
// data was left behind.
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

// post is send without the wait.
func (c *upstreamConn) sendNoWait() (int, error) {
	unused := c.unused
	c.unused = false
	if unused && !c.isClean() {
		metricStaleConns.Inc()
		return 0, wire.ErrStaleConn
	}
	return c.out.Flush()
}

// quiet reports whether the connection is open and has nothing unread. An answer
// left behind would be taken for the answer to the next request.
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
	return socket.Quiet(plain)
}

// isTLSClean reports whether TLS holds no record that was taken from the socket but not
// read yet. A read whose deadline has passed returns such a record, and otherwise
// fails before it reads from the socket.
func isTLSClean(c *tls.Conn) bool {
	if c.SetReadDeadline(time.Unix(0, 1)) != nil {
		return false
	}
	var b [1]byte
	n, err := c.Read(b[:])
	return n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}
