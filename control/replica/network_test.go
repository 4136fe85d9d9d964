package replica

import (
	"context"
	"net"
	"sync"
)

// fakeNetwork can isolate replicas silently: reads and writes block while a replica is
// isolated, and no connection is closed.
type fakeNetwork struct {
	mu       sync.Mutex
	isolated map[string]bool
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{isolated: map[string]bool{}, changed: make(chan struct{})}
}

// setIsolated isolates the replica at an address, or reconnects it.
func (n *fakeNetwork) setIsolated(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitUntilConnected returns once neither address is isolated, or when done is closed.
func (n *fakeNetwork) waitUntilConnected(from, to string, done <-chan struct{}) {
	for {
		n.mu.Lock()
		cut, changed := n.isolated[from] || n.isolated[to], n.changed
		n.mu.Unlock()
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

// dialerFor returns a gRPC dialer for the replica at an address.
func (n *fakeNetwork) dialerFor(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.waitUntilConnected(from, to, ctx.Done())
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		return &fakeNetworkConn{Conn: connection, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// fakeNetworkConn is a connection whose reads and writes block while either end is
// isolated.
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
