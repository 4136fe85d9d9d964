package proxy

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// slowWriter is a connection whose first write returns only after the server's whole
// answer was read and another read has begun.
type slowWriter struct {
	net.Conn
	once sync.Once

	mu      sync.Mutex
	ready   bool
	waiting chan struct{}
}

func (c *slowWriter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(func() { <-c.waiting })
	return n, err
}

func (c *slowWriter) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.ready {
		select {
		case <-c.waiting:
		default:
			close(c.waiting)
		}
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = c.ready || bytes.HasSuffix(p[:n], []byte("Z\x00\x00\x00\x05I"))
	return n, err
}

// Guards against losing the first answer on a new connection to a background read that
// the driver started because a write of the login was slow: the caller would wait for
// the answer forever.
func TestFirstAnswerAfterASlowLogin(t *testing.T) {
	s := newSystem(t, 0)
	d := accountDialer{account: s.account(), dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return &slowWriter{Conn: conn, waiting: make(chan struct{})}, err
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := d.Dial(ctx, s.primary.Addr(), "wax")
	if err != nil {
		t.Fatal(err)
	}
	// Ends a read without an answer when the test times out.
	context.AfterFunc(ctx, func() { _ = conn.net.Close() })
	answer, err := runInternal(conn, "SELECT 1")
	if err != nil || answer.failed {
		t.Errorf("the first statement: %v", err)
	}
}
