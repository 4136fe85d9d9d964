package controlclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// maxRelayedBytes is the size of a document of an operator up to which a node passes it on. A larger
// one would keep a thin link busy for longer than the operator and the control stream can wait.
const maxRelayedBytes = 32 << 10

// Call makes a unary call to the leader. If the called node is not the leader or none is known,
// it tries again until ctx ends.
func (c *Client) Call(ctx context.Context, f func(context.Context, controlpb.GatewayClient) error) error {
	lastErr := errors.New("no leader is known")
	for {
		address := c.awaitLeader(ctx)
		if address == "" {
			return lastErr
		}
		err := c.callAt(ctx, address, f)
		if err == nil || !isRedirect(err) {
			return err
		}
		lastErr = err
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// AnnounceUpstream passes the announcement of an upstream on to the leader, or answers it if it repeats one that the leader
// has acknowledged. It reports whether this node answers further ones, so that the upstream is best sent here again.
func (c *Client) AnnounceUpstream(ctx context.Context, a *controlpb.UpstreamAnnouncement) (answersNext bool, err error) {
	relays := c.relaysContacts()
	if relays && c.contacts.answer(clock.Now(), a) {
		metricRelayedAnnouncements.Inc()
		return true, nil
	}
	stream := c.contacts.stream()
	err = c.Call(ctx, func(ctx context.Context, client controlpb.GatewayClient) error {
		_, err := client.Announce(ctx, a)
		return err
	})
	return err == nil && relays && c.contacts.remember(stream, a), err
}

// relaysContacts reports whether this node answers unchanged announcements: in a large fleet, while it has a control
// stream.
func (c *Client) relaysContacts() bool {
	v := c.View()
	return v.Leader != "" && len(v.Topology.GetUpstreams()) >= minRelayedFleet
}

// awaitLeader returns the address of the leader, or an empty string if the node finds none before ctx
// ends.
func (c *Client) awaitLeader(ctx context.Context) string {
	for ctx.Err() == nil {
		if c.leadsItself() {
			return c.opts.Address
		}
		if address := c.View().Leader; address != "" {
			return address
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return ""
}

// RedirectRead returns the address of the leader from which an operator is to read the configuration
// directly, or an empty string if this node passes it on.
func (c *Client) RedirectRead(ctx context.Context) string {
	leader := c.awaitLeader(ctx)
	return redirectLarge(leader, c.opts.Address, c.View().CatalogBytes)
}

// RedirectWrite returns the address of the leader to which an operator is to send a configuration of
// the given size directly, or an empty string if this node passes it on.
func (c *Client) RedirectWrite(ctx context.Context, bytes int) string {
	return redirectLarge(c.awaitLeader(ctx), c.opts.Address, bytes)
}

// redirectLarge returns the leader if a document of the given size is not to pass through this node.
//
// Load pattern: operators use any of a hundred nodes, most of which have a thin link, to read and to
// change a configuration of hundreds of kilobytes.
func redirectLarge(leader, self string, bytes int) string {
	if leader == self || bytes <= maxRelayedBytes {
		return ""
	}
	return leader
}

func (c *Client) callAt(ctx context.Context, address string, f func(context.Context, controlpb.GatewayClient) error) error {
	if address == c.opts.Address && c.opts.Local != nil {
		return f(ctx, localClient{service: c.opts.Local})
	}
	connection, err := c.connections.get(address)
	if err != nil {
		return err
	}
	return f(ctx, controlpb.NewGatewayClient(connection))
}

// isRedirect reports whether the call was refused by a node that is not the leader. After any
// other error the call may have been executed.
func isRedirect(err error) bool {
	for _, detail := range status.Convert(err).Details() {
		if _, ok := detail.(*controlpb.Redirect); ok {
			return true
		}
	}
	return false
}
