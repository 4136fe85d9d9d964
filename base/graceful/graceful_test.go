package graceful

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
)

// testTimeout is how long the stops of these tests may take.
const testTimeout = 2 * time.Second

// slowCalls serves one call over HTTP and gRPC that ends when release is closed.
type slowCalls struct {
	controlpb.UnimplementedPeeringServer
	begun, release chan struct{}
}

func (s *slowCalls) wait(ctx context.Context) {
	s.begun <- struct{}{}
	select {
	case <-s.release:
	case <-ctx.Done():
	}
}

// Cancel implements controlpb.PeeringServer.
func (s *slowCalls) Cancel(ctx context.Context, _ *controlpb.CancelRequest) (*controlpb.CancelReply, error) {
	s.wait(ctx)
	return &controlpb.CancelReply{Found: true}, nil
}

func (s *slowCalls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.wait(r.Context())
	_, _ = io.WriteString(w, "answer")
}

func testListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// callHTTP and callGRPC return the channel of the call's error.
func callHTTP(address string) <-chan error {
	result := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + address)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		result <- err
	}()
	return result
}

func callGRPC(t *testing.T, address string) <-chan error {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	result := make(chan error, 1)
	go func() {
		_, err := controlpb.NewPeeringClient(conn).Cancel(context.Background(), &controlpb.CancelRequest{})
		result <- err
	}()
	return result
}

// Guards against a stop that cuts a call which a server has accepted.
func TestStopAnswersAcceptedCalls(t *testing.T) {
	for name, released := range map[string]bool{"soon done": true, "never done": false} {
		t.Run(name, func(t *testing.T) {
			calls := &slowCalls{begun: make(chan struct{}, 2), release: make(chan struct{})}
			httpListener, grpcListener := testListener(t), testListener(t)
			c := NewCalls()
			grpcServer := grpc.NewServer(c.ServerOption())
			controlpb.RegisterPeeringServer(grpcServer, calls)
			go func() { _ = grpcServer.Serve(grpcListener) }()
			httpServer := &http.Server{Handler: c.Handler(calls), ReadHeaderTimeout: testTimeout}
			go func() { _ = httpServer.Serve(httpListener) }()
			httpResult := callHTTP(httpListener.Addr().String())
			grpcResult := callGRPC(t, grpcListener.Addr().String())
			<-calls.begun
			<-calls.begun
			began := time.Now()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				if err := c.Stop(testTimeout, grpcServer, httpServer); err != nil {
					t.Errorf("the stop reports: %v", err)
				}
			}()
			if released {
				time.AfterFunc(100*time.Millisecond, func() { close(calls.release) })
			}
			if err := <-httpResult; err != nil {
				t.Errorf("HTTP call: %v", err)
			}
			if err := <-grpcResult; err != nil {
				t.Errorf("gRPC call: %v", err)
			}
			<-stopped
			if took := time.Since(began); took > testTimeout {
				t.Errorf("the stop took %v", took)
			}
		})
	}
}

// Guards against a stop that waits without a bound for a call that ignores its context, or
// that does not say that it has cut one.
func TestStopCutsCallsAfterItsTimeout(t *testing.T) {
	stuck := make(chan struct{})
	defer close(stuck)
	begun := make(chan struct{})
	listener := testListener(t)
	server := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-stuck
	})}
	go func() { _ = server.Serve(listener) }()
	result := callHTTP(listener.Addr().String())
	<-begun
	began := time.Now()
	if err := NewCalls().Stop(testTimeout/4, nil, server); err == nil {
		t.Error("the stop reports no cut call")
	}
	if took := time.Since(began); took > testTimeout {
		t.Errorf("the stop took %v", took)
	}
	if err := <-result; err == nil {
		t.Error("the stuck call was answered")
	}
}
