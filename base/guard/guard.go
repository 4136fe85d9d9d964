// Package guard keeps a panic in one connection, call or stream from ending the whole process.
package guard

import (
	"context"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/grpc-ecosystem/go-grpc-middleware/v2/interceptors/recovery"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var metricPanics = metrics.NewCounter("jayloom_recovered_panics_total")

// Recover ends a panic, logs it with its stack and counts it. It must be deferred itself. what
// names what has panicked.
func Recover(log *logrus.Entry, what string) {
	if cause := recover(); cause != nil {
		record(log, what, cause)
	}
}

func record(log *logrus.Entry, what string, cause any) {
	metricPanics.Inc()
	log.WithFields(logrus.Fields{"event": "panic", "in": what, "cause": cause, "stack": string(debug.Stack())}).
		Error("a panic was recovered; only what caused it has ended")
}

// ServerOptions make a gRPC server answer a call or stream that panics with codes.Internal.
func ServerOptions(log *logrus.Entry) []grpc.ServerOption {
	handler := recovery.WithRecoveryHandlerContext(func(_ context.Context, cause any) error {
		record(log, "grpc", cause)
		return status.Error(codes.Internal, "the call ended with an internal error")
	})
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(recovery.UnaryServerInterceptor(handler)),
		grpc.ChainStreamInterceptor(recovery.StreamServerInterceptor(handler)),
	}
}
