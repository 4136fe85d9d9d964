// Package metricsrv serves the metrics of a process over HTTP.
package metricsrv

import (
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Handle adds GET /metrics to mux.
func Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// Serve serves handler on listener in a goroutine until the returned server is closed.
func Serve(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		// Serve always returns an error, http.ErrServerClosed after Close or Shutdown.
		_ = server.Serve(listener)
	}()
	return server
}

// Start listens on address and serves /metrics there.
func Start(address string) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for metrics on %s", address)
	}
	mux := http.NewServeMux()
	Handle(mux)
	return Serve(listener, mux), nil
}
