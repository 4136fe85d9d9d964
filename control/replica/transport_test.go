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

// streamRecorder is a Voter that tells of each stream.
type streamRecorder struct {
	controlpb.UnimplementedVoterServer
	opened chan struct{}
}

func (o *streamRecorder) Exchange(stream grpc.ClientStreamingServer[controlpb.ConsensusMessage, controlpb.ExchangeReply]) error {
	o.opened <- struct{}{}
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// serve serves o on an address until the returned function is called.
func (o *streamRecorder) serve(t *testing.T, address string) (bound string, stop func()) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	controlpb.RegisterVoterServer(server, o)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server.Stop
}

// Guards against a lost connection that a member notices only when it sends: the
// message is lost, and a follower's first one is the pre-vote that replaces the leader.
func TestIdlePeerReconnects(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	o := &streamRecorder{opened: make(chan struct{}, 1)}
	address, stop := o.serve(t, "127.0.0.1:0")
	logger := logrus.New()
	logger.SetOutput(t.Output())
	tr := newTransport(ctx, dialOptions([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}), logrus.NewEntry(logger))
	tr.send(address, &controlpb.ConsensusMessage{})
	<-o.opened
	stop()
	_, stop = o.serve(t, address)
	defer stop()
	select {
	case <-o.opened:
	case <-ctx.Done():
		t.Fatal("no new stream without a message to send")
	}
	cancel()
	tr.close()
}
