package control

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// forwardedKey is the metadata key of calls that another control VM has forwarded.
// They are not forwarded again, so that two VMs with outdated views of the leader
// cannot send a call back and forth.
const forwardedKey = "jayloom-forwarded"

// leaderConn caches a connection to the current leader.
type leaderConn struct {
	credentials credentials.TransportCredentials

	mu struct {
		sync.Mutex
		address string
		conn    *grpc.ClientConn
	}
}

func (l *leaderConn) client(address string) (controlpb.ControlClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mu.conn != nil && l.mu.address == address {
		return controlpb.NewControlClient(l.mu.conn), nil
	}
	l.closeLocked()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(l.credentials))
	if err != nil {
		return nil, errors.Wrapf(err, "address of the leader %s", address)
	}
	l.mu.address = address
	l.mu.conn = conn
	return controlpb.NewControlClient(conn), nil
}

func (l *leaderConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

func (l *leaderConn) closeLocked() {
	if l.mu.conn == nil {
		return
	}
	// The connection is dropped in any case, so an error of Close has no effect.
	_ = l.mu.conn.Close()
	l.mu.conn = nil
}

// leaderClient returns a client of the leader, or NotLeader if none is known.
func (s *Server) leaderClient() (controlpb.ControlClient, error) {
	leaderStatus := s.replicator.Status()
	if leaderStatus.LeaderAddress == "" || leaderStatus.LeaderAddress == s.settings.AdvertiseGRPC {
		return nil, rescode.New(rescode.NotLeader, "no leader is known")
	}
	return s.leaderConn.client(leaderStatus.LeaderAddress)
}

// forwardToLeader sends a call on to the leader and returns its answer.
func forwardToLeader[Q, R any](
	ctx context.Context, s *Server, credential string, request Q,
	call func(controlpb.ControlClient, context.Context, Q, ...grpc.CallOption) (R, error),
) (R, error) {
	var zero R
	if md, ok := metadata.FromIncomingContext(ctx); ok && len(md.Get(forwardedKey)) > 0 {
		return zero, statusError(rescode.New(rescode.NotLeader, "the call was forwarded to a control VM that does not lead"))
	}
	leader, err := s.leaderClient()
	if err != nil {
		return zero, statusError(err)
	}
	outgoing := metadata.AppendToOutgoingContext(ctx, authorizationKey, bearerPrefix+credential, forwardedKey, "1")
	return call(leader, outgoing, request)
}

// statusError converts an error with a result code to a gRPC status.
func statusError(err error) error {
	var refusal *rescode.Error
	if !errors.As(err, &refusal) {
		return status.Error(codes.Internal, err.Error())
	}
	switch refusal.Code {
	case rescode.OperatorCredentialWrong, rescode.AnnouncementCredentialWrong:
		return status.Error(codes.PermissionDenied, refusal.Error())
	default:
		return status.Error(codes.Unavailable, refusal.Error())
	}
}

func sortEvents(events []*controlpb.Event) {
	slices.SortStableFunc(events, func(a, b *controlpb.Event) int {
		return int(a.UnixMs - b.UnixMs)
	})
}
