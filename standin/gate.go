package standin

import (
	"io"
	"net"
	"sync"
)

// gate stops all traffic of a server while it is closed, as if its process were
// stopped by SIGSTOP.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while traffic may pass
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gatedConn holds back reads and writes while the gate is closed, and copies
// what is read to the capture.
type gatedConn struct {
	net.Conn
	gate    *gate
	capture io.Writer
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	if c.capture != nil && n > 0 {
		if _, err := c.capture.Write(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}

// lockedWriter lets several connections share one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
