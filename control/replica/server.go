package replica

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/consensus"
)

// voterServer implements the Voter service for one replica.
type voterServer struct {
	controlpb.UnimplementedVoterServer
	r *Replica
}

// Register adds the Voter service to a server made with ServerOptions.
func (r *Replica) Register(s grpc.ServiceRegistrar) {
	controlpb.RegisterVoterServer(s, &voterServer{r: r})
}

// Exchange passes received messages to the goroutine of Run until the stream ends or the
// replica stops.
func (v *voterServer) Exchange(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.ExchangeReply]) error {
	for {
		in, err := stream.Recv()
		if err != nil {
			return err
		}
		m, ok := fromWire(in)
		if !ok {
			countDropped(droppedMalformed)
			continue
		}
		// A VM that has lost its disk has a new identity but still gets messages for the
		// old one.
		if m.To != v.r.identity {
			countDropped(droppedOtherMember)
			continue
		}
		select {
		case v.r.inbox <- receivedMessage{message: m, fromAddress: in.FromAddress}:
			metricReceived.Inc()
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-v.r.stopped:
			return status.Error(codes.Unavailable, "the replica has stopped")
		}
	}
}

// Introduce returns this replica's identity and its committed membership.
func (v *voterServer) Introduce(_ context.Context, _ *controlpb.Introduction) (*controlpb.Introduction, error) {
	return v.r.introduction(), nil
}

func (r *Replica) introduction() *controlpb.Introduction {
	out := &controlpb.Introduction{Identity: string(r.identity), Address: r.config.Address}
	if m := r.membership.Load(); m != nil {
		out.Formed = true
		out.Membership = membershipToWire(*m)
	}
	return out
}

// receivedMessage is a message and the address of its sender.
type receivedMessage struct {
	message     consensus.Message
	fromAddress string
}
