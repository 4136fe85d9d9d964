package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
)

// streamRecorder is a Voter service that reports each stream on a channel.
type streamRecorder struct {
	controlpb.UnimplementedVoterServer
	opened chan struct{}
}

func (r *streamRecorder) Exchange(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.ExchangeReply]) error {
	r.opened <- struct{}{}
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// serve serves the recorder on an address until stop is called.
func (r *streamRecorder) serve(t *testing.T, address string) (bound string, stop func()) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	controlpb.RegisterVoterServer(server, r)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server.Stop
}

// Guards against a lost connection that a member detects only when it sends. The message
// is then lost, and a follower's first one is the pre-vote that replaces the leader.
func TestIdlePeerReconnects(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	recorder := &streamRecorder{opened: make(chan struct{}, 1)}
	address, stop := recorder.serve(t, "127.0.0.1:0")
	logger := logrus.New()
	logger.SetOutput(t.Output())
	tr := newTransport(ctx, dialOptions([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}), logrus.NewEntry(logger))
	tr.send(address, &controlpb.ConsensusMessage{})
	<-recorder.opened
	stop()
	_, stop = recorder.serve(t, address)
	defer stop()
	select {
	case <-recorder.opened:
	case <-ctx.Done():
		t.Fatal("no new stream without a message to send")
	}
	cancel()
	tr.close()
}
