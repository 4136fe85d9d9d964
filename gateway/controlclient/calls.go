package controlclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Call runs a unary call at the leader, following redirects, until ctx ends.
func (c *Client) Call(ctx context.Context, f func(context.Context, controlpb.GatewayClient) error) error {
	address := c.View().Leader
	last := errors.New("no leader is known")
	for ctx.Err() == nil {
		if address != "" {
			err := c.callAt(ctx, address, f)
			if err == nil || !redirects(err) {
				return err
			}
			last = err
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
		address = c.View().Leader
	}
	return last
}

func (c *Client) callAt(ctx context.Context, address string, f func(context.Context, controlpb.GatewayClient) error) error {
	connection, err := c.connections.to(address)
	if err != nil {
		return err
	}
	return f(ctx, controlpb.NewGatewayClient(connection))
}

// redirects reports whether the call was refused by a node that does not lead. Only
// then did it certainly not run.
func redirects(err error) bool {
	for _, detail := range status.Convert(err).Details() {
		if _, ok := detail.(*controlpb.Redirect); ok {
			return true
		}
	}
	return false
}

// connections keeps one connection for each address.
type connections struct {
	options []grpc.DialOption
	mu      sync.Mutex
	open    map[string]*grpc.ClientConn
}

func (c *connections) to(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection := c.open[address]; connection != nil {
		return connection, nil
	}
	connection, err := grpc.NewClient(address, c.options...)
	if err != nil {
		return nil, errors.Wrapf(err, "address %s of a node", address)
	}
	c.open[address] = connection
	return connection, nil
}

func (c *connections) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection := c.open[address]; connection != nil {
		_ = connection.Close()
		delete(c.open, address)
	}
}

func (c *connections) closeAll() {
	for _, address := range c.addresses() {
		c.drop(address)
	}
}

func (c *connections) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}
