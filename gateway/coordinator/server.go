package coordinator

import (
	"context"
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/topology"
)

// updateQueueSize is the number of updates that may wait to be sent to a node.
const updateQueueSize = 16

// Directory locates the leader on a node that is not the leader.
type Directory interface {
	// Leader returns the address of the leader, empty if unknown, and the voters.
	Leader() (leader string, voters *controlpb.VoterSet)
	// LearnVoters records the voters that another node names, unless newer ones are known.
	LearnVoters(voters *controlpb.VoterSet) bool
}

// Server implements the Gateway service. On a node that is not the leader, it redirects to the
// leader.
type Server struct {
	controlpb.UnimplementedGatewayServer
	directory Directory
	// leader is nil on a node without a data folder.
	leader   *Leader
	preloads preloads
}

// minPreloadedFleet is the number of upstreams from which nodes get the topology from voters too.
const minPreloadedFleet = 256

// preloads holds the newest configuration and topology in the form in which nodes are sent them. It is safe for
// concurrent use.
type preloads struct {
	mu       sync.Mutex
	catalog  preloaded[*controlpb.Catalog]
	topology preloaded[*controlpb.Topology]
}

// preloaded is a stored message and the form in which nodes are sent it.
type preloaded[T interface {
	comparable
	proto.Message
}] struct {
	stored T
	sent   encoded[T]
}

// of returns the answer to a node that asks for the stored state.
func (p *preloads) of(state *controlpb.GatewayState, log *logrus.Entry) *controlpb.PreloadReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := &controlpb.PreloadReply{}
	if c := state.Catalog; c != nil {
		if p.catalog.stored != c {
			p.catalog.stored, p.catalog.sent = c, encode(withoutDocument(c), log)
		}
		reply.Catalog, reply.CompressedCatalog = p.catalog.sent.plain, p.catalog.sent.compressed
	}
	if t := state.Topology; len(t.GetUpstreams()) >= minPreloadedFleet {
		if p.topology.stored != t {
			p.topology.stored, p.topology.sent = t, encode(t, log)
		}
		reply.CompressedTopology = p.topology.sent.compressed
	}
	return reply
}

// NewServer returns the Gateway service of a node. leader is nil on a node without a data folder.
func NewServer(directory Directory, leader *Leader) *Server {
	return &Server{directory: directory, leader: leader}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	controlpb.RegisterGatewayServer(r, s)
}

// Leads reports whether this node is the leader.
func (s *Server) Leads() bool {
	return s.leader != nil && s.leader.holdsLease(clock.Now())
}

// redirect returns the error for a call to a node that is not the leader.
func (s *Server) redirect() error {
	leader, voters := s.directory.Leader()
	st := status.New(codes.Unavailable, "this node is not the leader")
	detailed, err := st.WithDetails(&controlpb.Redirect{
		Leader: leader, Voters: voters.GetAddresses(), VotersIndex: voters.GetIndex(),
	})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}

// PutCatalog implements controlpb.GatewayServer.
func (s *Server) PutCatalog(ctx context.Context, in *controlpb.Catalog) (*controlpb.CatalogReply, error) {
	if !s.Leads() {
		return nil, s.redirect()
	}
	version, err := s.leader.putCatalog(ctx, in)
	if err != nil {
		return nil, err
	}
	return &controlpb.CatalogReply{Version: version}, nil
}

// GetCatalog implements controlpb.GatewayServer. The lease is checked again after the read:
// a leader that has been replaced in the meantime must not return an older configuration. The reply
// has the operator's document only, which holds all else.
func (s *Server) GetCatalog(context.Context, *controlpb.GetCatalogRequest) (*controlpb.Catalog, error) {
	if !s.Leads() {
		return nil, s.redirect()
	}
	c := s.leader.store.current().Catalog
	if !s.Leads() {
		return nil, s.redirect()
	}
	if c == nil {
		return nil, status.Error(codes.NotFound, "no configuration is in force")
	}
	return &controlpb.Catalog{Version: c.Version, Document: c.Document}, nil
}

// Announce implements controlpb.GatewayServer.
func (s *Server) Announce(ctx context.Context, in *controlpb.UpstreamAnnouncement) (*controlpb.AnnouncementReply, error) {
	if !s.Leads() {
		return nil, s.redirect()
	}
	if err := topology.CheckAnnouncement(in); err != nil {
		countRefusedEntry(entryFromNode, err)
		s.leader.log.WithFields(logrus.Fields{"event": "announcement_refused", "cause": err.Error()}).
			Warn("announcement passed on by a node refused")
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	done := make(chan struct{})
	if !s.leader.post(ctx, announcementReceived{in, done}) {
		return nil, s.redirect()
	}
	select {
	case <-done:
		// A leader that was replaced meanwhile has not taken the announcement, or the next one may not know of it.
		if !s.Leads() {
			return nil, s.redirect()
		}
		return &controlpb.AnnouncementReply{}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// DrainPlace implements controlpb.GatewayServer.
func (s *Server) DrainPlace(ctx context.Context, in *controlpb.SetPlaceDrain) (*controlpb.SetPlaceDrainReply, error) {
	if !s.Leads() {
		return nil, s.redirect()
	}
	if err := s.leader.drainPlace(ctx, in); err != nil {
		return nil, err
	}
	return &controlpb.SetPlaceDrainReply{}, nil
}

// ListPlaces implements controlpb.GatewayServer.
func (s *Server) ListPlaces(ctx context.Context, _ *controlpb.ListPlacesRequest) (*controlpb.PlaceList, error) {
	if !s.Leads() {
		return nil, s.redirect()
	}
	list, err := s.leader.listPlaces(ctx)
	if err != nil {
		return nil, err
	}
	if !s.Leads() {
		return nil, s.redirect()
	}
	return list, nil
}

// AnnounceVoters implements controlpb.GatewayServer.
func (s *Server) AnnounceVoters(_ context.Context, in *controlpb.VoterSet) (*controlpb.AnnounceVotersReply, error) {
	s.directory.LearnVoters(in)
	return &controlpb.AnnounceVotersReply{}, nil
}

// Preload implements controlpb.GatewayServer.
func (s *Server) Preload(context.Context, *controlpb.PreloadRequest) (*controlpb.PreloadReply, error) {
	if s.leader == nil {
		return &controlpb.PreloadReply{}, nil
	}
	return s.preloads.of(s.leader.store.current(), s.leader.log), nil
}

// Attend implements controlpb.GatewayServer.
func (s *Server) Attend(stream grpc.BidiStreamingServer[controlpb.NodeReport, controlpb.NodeUpdate]) error {
	if !s.Leads() {
		return s.redirect()
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	ns := &nodeStream{updates: make(chan *controlpb.NodeUpdate, updateQueueSize), cancel: cancel}
	defer s.leader.post(context.Background(), streamEnded{ns})
	go s.receiveReports(ctx, cancel, stream, ns)
	for {
		select {
		case <-ctx.Done():
			return s.redirect()
		case u := <-ns.updates:
			// An update extends the node's serving lease, so it must not be sent after the
			// leader's own lease has expired.
			if !s.leader.awaitLease(ctx) {
				return s.redirect()
			}
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

func (s *Server) receiveReports(
	ctx context.Context, cancel context.CancelFunc,
	stream grpc.BidiStreamingServer[controlpb.NodeReport, controlpb.NodeUpdate], ns *nodeStream,
) {
	defer cancel()
	for {
		report, err := stream.Recv()
		if err != nil {
			if err != io.EOF && ctx.Err() == nil {
				s.leader.log.WithError(err).WithField("node", ns.node).Debug("node's control stream failed")
			}
			return
		}
		if !s.leader.post(ctx, reportReceived{ns, report}) {
			return
		}
	}
}

// toStatus converts an error of the replica to a gRPC status error.
func toStatus(err error) error {
	var coded *rescode.Error
	if e, ok := err.(*rescode.Error); ok {
		coded = e
	}
	if coded != nil && coded.Code == rescode.InvalidCommand {
		return status.Error(codes.InvalidArgument, coded.Detail)
	}
	return status.Error(codes.Unavailable, err.Error())
}
