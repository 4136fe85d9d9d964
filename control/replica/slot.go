package replica

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Slot serves the Voter service for a replica that may be opened again, as after an
// error of its disk.
type Slot struct {
	controlpb.UnimplementedVoterServer
	current atomic.Pointer[Replica]
}

// Put makes r the replica that is served; nil serves none.
func (s *Slot) Put(r *Replica) {
	s.current.Store(r)
}

// Get returns the replica that is served, or nil.
func (s *Slot) Get() *Replica {
	return s.current.Load()
}

// Register adds the Voter service to a server made with ServerOptions.
func (s *Slot) Register(r grpc.ServiceRegistrar) {
	controlpb.RegisterVoterServer(r, s)
}

var errNoReplica = status.Error(codes.Unavailable, "the replica is not open")

// Exchange implements controlpb.VoterServer.
func (s *Slot) Exchange(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.ExchangeReply]) error {
	r := s.Get()
	if r == nil {
		return errNoReplica
	}
	return (&voterServer{r: r}).Exchange(stream)
}

// Introduce implements controlpb.VoterServer.
func (s *Slot) Introduce(context.Context, *controlpb.Introduction) (*controlpb.Introduction, error) {
	r := s.Get()
	if r == nil {
		return nil, errNoReplica
	}
	return r.introduction(), nil
}
