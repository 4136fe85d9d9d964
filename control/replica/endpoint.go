package replica

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Endpoint serves the Voter service for a replica that can be replaced, for example by
// one that was reopened after a disk error.
type Endpoint struct {
	controlpb.UnimplementedVoterServer
	current atomic.Pointer[Replica]
}

// SetReplica sets the replica to serve, or nil for none.
func (s *Endpoint) SetReplica(r *Replica) {
	s.current.Store(r)
}

// Replica returns the replica being served, or nil.
func (s *Endpoint) Replica() *Replica {
	return s.current.Load()
}

// Register adds the Voter service to a server made with ServerOptions.
func (s *Endpoint) Register(r grpc.ServiceRegistrar) {
	controlpb.RegisterVoterServer(r, s)
}

var errNoReplica = status.Error(codes.Unavailable, "the replica is not open")

// Exchange implements controlpb.VoterServer.
func (s *Endpoint) Exchange(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.ExchangeReply]) error {
	r := s.Replica()
	if r == nil {
		return errNoReplica
	}
	return (&voterServer{r: r}).Exchange(stream)
}

// Introduce implements controlpb.VoterServer.
func (s *Endpoint) Introduce(context.Context, *controlpb.Introduction) (*controlpb.Introduction, error) {
	r := s.Replica()
	if r == nil {
		return nil, errNoReplica
	}
	return r.introduction(), nil
}
