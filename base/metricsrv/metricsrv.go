// Package metricsrv serves the metrics of a process over HTTP.
package metricsrv

import (
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/httpsrv"
)

// maxConnections bounds the open connections of a server: collectors of metrics, operators and announcements of upstreams.
const maxConnections = 128

// Handle adds GET /metrics to mux.
func Handle(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// Serve serves handler on listener in a goroutine until the returned server is closed. Clients that misbehave are bounded
// as package httpsrv says.
func Serve(listener net.Listener, handler http.Handler, log *logrus.Entry) *http.Server {
	server, bounded := httpsrv.New(listener, handler, httpsrv.Options{Name: "http", MaxConnections: maxConnections, Log: log})
	go func() {
		// Serve always returns an error, http.ErrServerClosed after Close or Shutdown.
		_ = server.Serve(bounded)
	}()
	return server
}

// Start listens on address and serves /metrics there.
func Start(address string, log *logrus.Entry) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for metrics on %s", address)
	}
	mux := http.NewServeMux()
	Handle(mux)
	return Serve(listener, mux, log), nil
}
