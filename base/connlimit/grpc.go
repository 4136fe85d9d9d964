package connlimit

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"
)

// handshakeTimeout bounds the time until a client has begun to speak HTTP/2.
const handshakeTimeout = 5 * time.Second

// ServerOptions make a gRPC server keep the connections on which a call has begun, so that connections without one
// cannot displace them.
func (l *Listener) ServerOptions() []grpc.ServerOption {
	keep := func(ctx context.Context) {
		if p, ok := peer.FromContext(ctx); ok {
			l.Keep(p.Addr.String())
		}
	}
	return []grpc.ServerOption{
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			keep(ctx)
			return next(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			keep(stream.Context())
			return next(server, stream)
		}),
	}
}
