// Package graceful stops HTTP and gRPC servers without cutting the calls they have
// accepted.
package graceful

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
)

// answerReserveFraction is the part of a stop's time that is left to unfinished calls for
// their answers once their contexts have ended.
const answerReserveFraction = 4

// Calls ends the contexts of the calls of some servers shortly before these stop, so that
// a call that waits for something is answered with an error of its own.
type Calls struct {
	ctx context.Context
	end context.CancelFunc
}

// NewCalls returns a Calls whose calls go on until Stop.
func NewCalls() *Calls {
	ctx, end := context.WithCancel(context.Background())
	return &Calls{ctx: ctx, end: end}
}

// context returns a context that ends with parent, or when the calls are ended, and the
// function that releases it.
func (c *Calls) context(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	unregister := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}

// ServerOption makes a gRPC server run its unary calls under c. Streams are not included:
// who serves one has to end it.
func (c *Calls) ServerOption() grpc.ServerOption {
	return grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		ctx, release := c.context(ctx)
		defer release()
		return next(ctx, request)
	})
}

// Handler runs the requests of next under c.
func (c *Calls) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, release := c.context(r.Context())
		defer release()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Stop makes the servers accept nothing new and waits for the accepted calls, whose
// contexts end after three quarters of timeout. What is left after timeout is cut, which
// the error says. Both servers may be nil.
func (c *Calls) Stop(timeout time.Duration, grpcServer *grpc.Server, httpServer *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	early := time.AfterFunc(timeout-timeout/answerReserveFraction, c.end)
	defer early.Stop()
	var stops sync.WaitGroup
	var grpcErr, httpErr error
	stops.Go(func() { grpcErr = stopGRPC(ctx, grpcServer) })
	stops.Go(func() { httpErr = stopHTTP(ctx, httpServer) })
	stops.Wait()
	return errors.CombineErrors(grpcErr, httpErr)
}

func stopGRPC(ctx context.Context, server *grpc.Server) error {
	if server == nil {
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.GracefulStop()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		// Stop makes GracefulStop return.
		server.Stop()
		<-done
		return errors.New("gRPC calls or streams were cut")
	}
}

func stopHTTP(ctx context.Context, server *http.Server) error {
	if server == nil {
		return nil
	}
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errors.CombineErrors(errors.Wrap(err, "HTTP connections were cut"), server.Close())
}
