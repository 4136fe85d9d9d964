package controlclient

import (
	"context"

	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/api/controlpb"
)

// LocalService is the Gateway service of this node. While the node leads, calls to the leader are made
// without the network: under load its control stream to itself may end like any other.
type LocalService interface {
	controlpb.GatewayServer
	// Leads reports whether this node is the leader.
	Leads() bool
}

// localClient makes the unary calls of a GatewayClient in this process. It has no streams.
type localClient struct {
	controlpb.GatewayClient
	service LocalService
}

// PutCatalog implements controlpb.GatewayClient.
func (l localClient) PutCatalog(ctx context.Context, in *controlpb.Catalog, _ ...grpc.CallOption) (*controlpb.CatalogReply, error) {
	return l.service.PutCatalog(ctx, in)
}

// GetCatalog implements controlpb.GatewayClient.
func (l localClient) GetCatalog(ctx context.Context, in *controlpb.GetCatalogRequest, _ ...grpc.CallOption) (*controlpb.Catalog, error) {
	return l.service.GetCatalog(ctx, in)
}

// Announce implements controlpb.GatewayClient.
func (l localClient) Announce(
	ctx context.Context, in *controlpb.UpstreamAnnouncement, _ ...grpc.CallOption,
) (*controlpb.AnnouncementReply, error) {
	return l.service.Announce(ctx, in)
}

// DrainPlace implements controlpb.GatewayClient.
func (l localClient) DrainPlace(
	ctx context.Context, in *controlpb.SetPlaceDrain, _ ...grpc.CallOption,
) (*controlpb.SetPlaceDrainReply, error) {
	return l.service.DrainPlace(ctx, in)
}

// ListPlaces implements controlpb.GatewayClient.
func (l localClient) ListPlaces(
	ctx context.Context, in *controlpb.ListPlacesRequest, _ ...grpc.CallOption,
) (*controlpb.PlaceList, error) {
	return l.service.ListPlaces(ctx, in)
}

// leadsItself reports whether this node is the leader.
func (c *Client) leadsItself() bool {
	return c.opts.Local != nil && c.opts.Local.Leads()
}
