package controlclient

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// preload gets the configuration that a voter has stored, and the topology of a large fleet, so that hundreds of nodes
// which start at the same time need not all get them from the leader. The node does not use them before the leader
// has answered, because it serves only with a lease.
func (c *Client) preload(ctx context.Context, address string) {
	connection, err := c.connections.get(address)
	if err != nil {
		return
	}
	var reply *controlpb.PreloadReply
	err = connection.callWhileReceiving(ctx, preloadTimeout, func(ctx context.Context) error {
		var err error
		reply, err = controlpb.NewGatewayClient(connection).Preload(ctx, &controlpb.PreloadRequest{})
		return err
	})
	if err != nil {
		// The leader sends it.
		return
	}
	stored, err := decode(reply.Catalog, reply.CompressedCatalog, &controlpb.Catalog{})
	if err != nil {
		c.opts.Log.WithError(err).WithFields(logrus.Fields{"event": "preload_invalid", "from": address}).
			Warn("a voter has sent a malformed configuration")
		return
	}
	if stored == nil {
		return
	}
	compiled, refusal := catalog.New(stored)
	if refusal != nil {
		c.opts.Log.WithError(refusal).WithFields(logrus.Fields{"event": "preload_invalid", "from": address}).
			Warn("a voter has stored an invalid configuration")
		return
	}
	next := *c.View()
	next.Voters = nil
	c.setCatalog(&next, stored, compiled)
	if next.Topology == nil {
		next.Topology = c.preloadedTopology(reply, address)
	}
	c.publish(&next)
	c.opts.Log.WithFields(logrus.Fields{"event": "catalog_preloaded", "version": compiled.Version, "from": address}).
		Info("stored configuration received; the leader has to confirm it")
}

// preloadedTopology returns the topology that a voter has stored, or nil.
func (c *Client) preloadedTopology(reply *controlpb.PreloadReply, address string) *controlpb.Topology {
	stored, err := decode(nil, reply.CompressedTopology, &controlpb.Topology{})
	if err != nil {
		c.opts.Log.WithError(err).WithFields(logrus.Fields{"event": "preload_invalid", "from": address}).
			Warn("a voter has sent a malformed topology")
		return nil
	}
	return stored
}
