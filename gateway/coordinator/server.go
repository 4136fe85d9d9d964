package coordinator

import (
	"context"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// updateQueue bounds the updates that wait for a node which does not read.
const updateQueue = 16

// Directory names the leader for a node that does not lead.
type Directory interface {
	// Leader returns the address of the leader, or nothing, and those of the voters.
	Leader() (leader string, voters []string)
}

// Server answers nodes. On a node that does not lead it names the leader.
type Server struct {
	controlpb.UnimplementedGatewayServer
	directory Directory
	// leader is nil on a node without a data folder.
	leader *Leader
}

// NewServer returns the Gateway service of a node. leader is nil on a node that
// cannot lead.
func NewServer(directory Directory, leader *Leader) *Server {
	return &Server{directory: directory, leader: leader}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	controlpb.RegisterGatewayServer(r, s)
}

func (s *Server) leads() bool {
	return s.leader != nil && s.leader.mayAct(clock.Now())
}

// redirect is the error of a node that does not lead.
func (s *Server) redirect() error {
	leader, voters := s.directory.Leader()
	st := status.New(codes.Unavailable, "this node does not lead")
	detailed, err := st.WithDetails(&controlpb.Redirect{Leader: leader, Voters: voters})
	if err != nil {
		return st.Err()
	}
	return detailed.Err()
}

// PutCatalog implements controlpb.GatewayServer.
func (s *Server) PutCatalog(ctx context.Context, in *controlpb.Catalog) (*controlpb.CatalogReply, error) {
	if !s.leads() {
		return nil, s.redirect()
	}
	version, err := s.leader.putCatalog(ctx, in)
	if err != nil {
		return nil, err
	}
	return &controlpb.CatalogReply{Version: version}, nil
}

// GetCatalog implements controlpb.GatewayServer. The lease is checked after the read:
// a leader that was replaced meanwhile must not answer with an older configuration.
func (s *Server) GetCatalog(context.Context, *controlpb.GetCatalogRequest) (*controlpb.Catalog, error) {
	if !s.leads() {
		return nil, s.redirect()
	}
	c := s.leader.store.current().Catalog
	if !s.leads() {
		return nil, s.redirect()
	}
	if c == nil {
		return nil, status.Error(codes.NotFound, "no configuration is in force")
	}
	return c, nil
}

// Announce implements controlpb.GatewayServer.
func (s *Server) Announce(ctx context.Context, in *controlpb.UpstreamAnnouncement) (*controlpb.AnnouncementReply, error) {
	if !s.leads() {
		return nil, s.redirect()
	}
	done := make(chan struct{})
	if !s.leader.post(ctx, announced{in, done}) {
		return nil, s.redirect()
	}
	select {
	case <-done:
		return &controlpb.AnnouncementReply{}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Attend implements controlpb.GatewayServer.
func (s *Server) Attend(stream grpc.BidiStreamingServer[controlpb.NodeReport, controlpb.NodeUpdate]) error {
	if !s.leads() {
		return s.redirect()
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	a := &attendance{updates: make(chan *controlpb.NodeUpdate, updateQueue), end: cancel}
	defer s.leader.post(context.Background(), attendanceEnded{a})
	go s.receive(ctx, cancel, stream, a)
	for {
		select {
		case <-ctx.Done():
			return s.redirect()
		case u := <-a.updates:
			// An update extends leases, so it must not leave after the leader's has ended.
			if !s.leads() {
				return s.redirect()
			}
			if err := stream.Send(u); err != nil {
				return err
			}
		}
	}
}

func (s *Server) receive(
	ctx context.Context, cancel context.CancelFunc,
	stream grpc.BidiStreamingServer[controlpb.NodeReport, controlpb.NodeUpdate], a *attendance,
) {
	defer cancel()
	for {
		report, err := stream.Recv()
		if err != nil {
			if err != io.EOF && ctx.Err() == nil {
				s.leader.log.WithError(err).WithField("node", a.node).Debug("stream of a node ended")
			}
			return
		}
		if !s.leader.post(ctx, reportReceived{a, report}) {
			return
		}
	}
}

// toStatus turns a refusal of the replica into an error of the call.
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
