package replica

import (
	"context"
	"net"
	"sync"
)

// fakeNetwork cuts connections between replicas silently: reads and writes stand still
// until the cut is healed, and no connection ends by itself.
type fakeNetwork struct {
	mu       sync.Mutex
	isolated map[string]bool
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{isolated: map[string]bool{}, changed: make(chan struct{})}
}

// setIsolated cuts or heals all links of the replica at an address.
func (l *fakeNetwork) setIsolated(address string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated[address] = cut
	close(l.changed)
	l.changed = make(chan struct{})
}

// waitUntilConnected returns once the link is not cut, or when done is closed.
func (l *fakeNetwork) waitUntilConnected(from, to string, done <-chan struct{}) {
	for {
		l.mu.Lock()
		cut, changed := l.isolated[from] || l.isolated[to], l.changed
		l.mu.Unlock()
		if !cut {
			return
		}
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}

// dialerFor connects from the replica at an address.
func (l *fakeNetwork) dialerFor(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		l.waitUntilConnected(from, to, ctx.Done())
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		return &fakeNetworkConn{Conn: connection, network: l, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// fakeNetworkConn is one connection.
type fakeNetworkConn struct {
	net.Conn
	network  *fakeNetwork
	from, to string
	once     sync.Once
	closed   chan struct{}
}

func (c *fakeNetworkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.waitUntilConnected(c.from, c.to, c.closed)
	return n, err
}

func (c *fakeNetworkConn) Write(b []byte) (int, error) {
	c.network.waitUntilConnected(c.from, c.to, c.closed)
	return c.Conn.Write(b)
}

func (c *fakeNetworkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
