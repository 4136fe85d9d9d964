package guard

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// panickingGateway panics in each call.
type panickingGateway struct {
	controlpb.UnimplementedGatewayServer
}

func (panickingGateway) Announce(context.Context, *controlpb.UpstreamAnnouncement) (*controlpb.AnnouncementReply, error) {
	panic("malformed announcement")
}

func (panickingGateway) Attend(grpc.BidiStreamingServer[controlpb.NodeReport, controlpb.NodeUpdate]) error {
	var reports []string
	_ = reports[7]
	return nil
}

// Guards against a malformed message that ends the process: the call that panics is answered with
// an error, the stack is logged and the server goes on.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions(logrus.NewEntry(logger))...)
	controlpb.RegisterGatewayServer(server, panickingGateway{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	client := controlpb.NewGatewayClient(connection)
	before := metricPanics.Get()
	for range 2 {
		if _, err := client.Announce(context.Background(), &controlpb.UpstreamAnnouncement{}); status.Code(err) != codes.Internal {
			t.Errorf("the call ended with %v", err)
		}
		stream, err := client.Attend(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); status.Code(err) != codes.Internal {
			t.Errorf("the stream ended with %v", err)
		}
	}
	if got := metricPanics.Get() - before; got != 4 {
		t.Errorf("%d panics were counted, want 4", got)
	}
	server.Stop()
	<-served
	if log := out.String(); !strings.Contains(log, "malformed announcement") || !strings.Contains(log, "guard_test.go") {
		t.Errorf("the log lacks the cause or the stack: %s", log)
	}
}
