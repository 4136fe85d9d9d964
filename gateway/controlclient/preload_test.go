package controlclient

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/compress"
)

// storedCatalog is a voter that has stored a configuration.
type storedCatalog struct {
	controlpb.UnimplementedGatewayServer
	catalog *controlpb.Catalog
	// topology is compressed.
	topology []byte
}

func (s storedCatalog) Preload(context.Context, *controlpb.PreloadRequest) (*controlpb.PreloadReply, error) {
	return &controlpb.PreloadReply{Catalog: s.catalog, CompressedTopology: s.topology}, nil
}

func startVoter(t *testing.T, stored *controlpb.Catalog) string {
	t.Helper()
	return startVoterWith(t, storedCatalog{catalog: stored})
}

func startVoterWith(t *testing.T, stored storedCatalog) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	controlpb.RegisterGatewayServer(server, stored)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// Load pattern: 300 nodes start at the same time and all need the configuration (litbrot-ops-large
// trouble-1). Guards against a stored configuration, which may be out of date, that is used before
// the leader has answered, and against one that replaces a newer one.
func TestPreloadedConfigurationNeedsTheLeader(t *testing.T) {
	c := newTestClient()
	c.connections = newConnectionCache(nil, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	defer c.connections.closeAll()
	c.preload(context.Background(), startVoter(t, nil))
	if c.View().Catalog != nil {
		t.Error("a configuration was received from a voter without one")
	}
	c.preload(context.Background(), startVoter(t, &controlpb.Catalog{Version: 3}))
	if c.View().Catalog == nil || c.View().Catalog.Version != 3 {
		t.Fatalf("configuration %v", c.View().Catalog)
	}
	if c.MayServe(clock.Now()) {
		t.Error("the node serves with a configuration that no leader has confirmed")
	}
	update := &controlpb.NodeUpdate{CatalogChange: &controlpb.CatalogChange{BaseVersion: 3, Changed: &controlpb.Catalog{Version: 5}}}
	if err := c.apply(update, "leader"); err != nil || c.View().Catalog.Version != 5 {
		t.Errorf("the leader's change gives %v, %v", c.View().Catalog, err)
	}
	if err := c.apply(&controlpb.NodeUpdate{Catalog: &controlpb.Catalog{Version: 4}}, "leader"); err != nil || c.View().Catalog.Version != 5 {
		t.Errorf("after an older configuration: %v, %v", c.View().Catalog, err)
	}
}

// Guards against an invalid configuration of a voter that ends the process or is used.
func TestInvalidPreloadIsIgnored(t *testing.T) {
	c := newTestClient()
	c.connections = newConnectionCache(nil, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	defer c.connections.closeAll()
	c.preload(context.Background(), startVoter(t, &controlpb.Catalog{Version: 9, Teams: []*controlpb.CatalogTeam{{}}}))
	if c.View().Catalog != nil {
		t.Errorf("configuration %v", c.View().Catalog)
	}
}

// Guards against malformed data from another node that ends the process or is taken for a
// configuration.
func TestMalformedUpdateEndsTheStream(t *testing.T) {
	for name, u := range map[string]*controlpb.NodeUpdate{
		"configuration":   {CompressedCatalog: []byte("wax")},
		"change of it":    {CompressedCatalogChange: []byte("wax")},
		"topology":        {CompressedTopology: []byte("wax")},
		"change of that":  {CompressedTopologyChange: []byte("wax")},
		"empty, no error": {},
	} {
		c := newTestClient()
		err := c.apply(u, "leader")
		if (err == nil) != (name == "empty, no error") {
			t.Errorf("%s: %v", name, err)
		}
		if v := c.View(); v.Catalog != nil || v.Topology != nil {
			t.Errorf("%s: %v, %v", name, v.Catalog, v.Topology)
		}
	}
}

// Load pattern: 300 nodes of a fleet with 2,700 upstreams start at the same time. Guards against a whole topology from the
// leader for each, against one of a voter that replaces a newer one, and against a malformed one that ends the attempt.
func TestPreloadedTopologyIsCompletedByTheLeader(t *testing.T) {
	c := newTestClient()
	c.connections = newConnectionCache(nil, []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())})
	defer c.connections.closeAll()
	stored := &controlpb.Topology{Revision: 7, Upstreams: []*controlpb.TopologyUpstream{{Id: "a", Service: "wax"}}}
	data, err := compress.Message(stored)
	if err != nil {
		t.Fatal(err)
	}
	c.preload(context.Background(), startVoterWith(t, storedCatalog{catalog: &controlpb.Catalog{Version: 3}, topology: []byte("odd")}))
	if c.View().Topology != nil || c.View().Catalog == nil {
		t.Errorf("topology %v, configuration %v", c.View().Topology, c.View().Catalog)
	}
	c.preload(context.Background(), startVoterWith(t, storedCatalog{catalog: &controlpb.Catalog{Version: 3}, topology: data}))
	if got := c.View().Topology.GetRevision(); got != 7 || c.MayServe(clock.Now()) {
		t.Fatalf("topology %d; the node serves: %v", got, c.MayServe(clock.Now()))
	}
	update := &controlpb.NodeUpdate{TopologyChange: &controlpb.TopologyChange{BaseRevision: 7, Changed: &controlpb.Topology{
		Revision: 9, Upstreams: []*controlpb.TopologyUpstream{{Id: "b", Service: "wax"}},
	}}}
	if err := c.apply(update, "leader"); err != nil || len(c.View().Topology.Upstreams) != 2 {
		t.Errorf("the leader's change gives %v, %v", c.View().Topology, err)
	}
	c.preload(context.Background(), startVoterWith(t, storedCatalog{catalog: &controlpb.Catalog{Version: 3}, topology: data}))
	if got := c.View().Topology.Revision; got != 9 {
		t.Errorf("topology %d of a voter replaced that of the leader", got)
	}
}
