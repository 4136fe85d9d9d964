package main

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/graceful"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy"
	"github.com/jayloom/jayloom/proxy/controlclient"
	"github.com/jayloom/jayloom/proxy/view"
)

// cancelDuration is how long a cancel request takes that waits for its upstream.
const cancelDuration = 300 * time.Millisecond

// slowPeering answers cancel requests after cancelDuration.
type slowPeering struct {
	controlpb.UnimplementedPeeringServer
	begun chan struct{}
}

// Cancel implements controlpb.PeeringServer.
func (s *slowPeering) Cancel(context.Context, *controlpb.CancelRequest) (*controlpb.CancelReply, error) {
	close(s.begun)
	time.Sleep(cancelDuration)
	return &controlpb.CancelReply{Found: true}, nil
}

// testProcess returns a process without callers and without control.
func testProcess() *process {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	store := view.NewStore()
	p := &process{settings: settings.Default(), log: log, calls: graceful.NewCalls()}
	p.proxyServer = proxy.New(proxy.Options{
		Settings: p.settings.Proxy,
		Store:    store,
		Tokens:   rate.NewHolder(rate.DefaultConfig()),
		Shares:   share.NewHolder(),
		Log:      log,
	})
	p.controlClient = controlclient.New(store, controlclient.Options{Member: &controlpb.ProxyMember{Name: "p1"}, Log: log})
	return p
}

// Guards against the stop of a proxy that cuts a cancel request of another proxy.
func TestShutDownAnswersPeers(t *testing.T) {
	p := testProcess()
	peering := &slowPeering{begun: make(chan struct{})}
	p.peeringServer = grpc.NewServer()
	controlpb.RegisterPeeringServer(p.peeringServer, peering)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.peeringServer.Serve(listener) }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	// A client that has ended lets shutDown reach the peering server at once.
	p.controlClient.Run(ctx)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	result := make(chan error, 1)
	go func() {
		_, err := controlpb.NewPeeringClient(conn).Cancel(t.Context(), &controlpb.CancelRequest{})
		result <- err
	}()
	<-peering.begun
	p.shutDown()
	if err := <-result; err != nil {
		t.Errorf("the cancel request of another proxy: %v", err)
	}
}
