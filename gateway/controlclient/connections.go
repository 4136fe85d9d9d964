package controlclient

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/base/clock"
)

// DialFunc connects to another node.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// nodeConnection is a connection to another node that records when bytes arrive on it.
type nodeConnection struct {
	*grpc.ClientConn
	received atomic.Int64
}

// receivedAt returns when bytes last arrived.
func (c *nodeConnection) receivedAt() time.Duration {
	return time.Duration(c.received.Load())
}

// callWhileReceiving runs a call until nothing has arrived on the connection, neither within the first
// timeout nor later within answerTimeout, and for maxTransferTime at most.
func (c *nodeConnection) callWhileReceiving(ctx context.Context, timeout time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	startedAt := clock.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
		}
		wait := remainingWait(clock.Now(), startedAt, c.receivedAt())
		if wait <= 0 {
			cancel()
			return <-done
		}
		timer.Reset(wait)
	}
}

// recordingConn records when bytes arrive on a network connection.
type recordingConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(int64(clock.Now()))
	}
	return n, err
}

// connectionCache holds one connection per address. It is safe for concurrent use.
type connectionCache struct {
	dial      DialFunc
	options   []grpc.DialOption
	mu        sync.Mutex
	byAddress map[string]*nodeConnection
}

func newConnectionCache(dial DialFunc, options []grpc.DialOption) *connectionCache {
	if dial == nil {
		dial = dialTCP
	}
	return &connectionCache{dial: dial, options: options, byAddress: map[string]*nodeConnection{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

func (c *connectionCache) get(address string) (*nodeConnection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection := c.byAddress[address]; connection != nil {
		return connection, nil
	}
	connection := &nodeConnection{}
	dialer := grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return recordingConn{conn, &connection.received}, nil
	})
	client, err := grpc.NewClient(address, append(slices.Clone(c.options), dialer)...)
	if err != nil {
		return nil, errors.Wrapf(err, "create client for node %s", address)
	}
	connection.ClientConn = client
	c.byAddress[address] = connection
	return connection, nil
}

func (c *connectionCache) closeConnection(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection := c.byAddress[address]; connection != nil {
		_ = connection.Close()
		delete(c.byAddress, address)
	}
}

func (c *connectionCache) closeAll() {
	c.closeOthers(nil)
}

// closeOthers closes the connections to all addresses but kept.
func (c *connectionCache) closeOthers(kept []string) {
	for _, address := range c.addresses() {
		if !slices.Contains(kept, address) {
			c.closeConnection(address)
		}
	}
}

func (c *connectionCache) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.byAddress))
}
