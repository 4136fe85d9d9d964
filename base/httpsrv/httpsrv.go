// Package httpsrv returns HTTP servers that unknown clients may reach: their connections, headers and times are bounded.
package httpsrv

import (
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/connlimit"
)

const (
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 2 * time.Second
	// readTimeout bounds the time to read a request, writeTimeout that behind its headers until it is answered.
	readTimeout  = 10 * time.Second
	writeTimeout = 20 * time.Second
	// idleTimeout bounds how long a keep-alive connection may wait for its next request.
	idleTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 8 << 10
)

// Options describe a server.
type Options struct {
	// Name tells the process's listeners apart in metrics and logs.
	Name string
	// MaxConnections bounds the open connections.
	MaxConnections int
	Log            *logrus.Entry
}

// New returns a server and the listener that it must serve.
func New(inner net.Listener, handler http.Handler, o Options) (*http.Server, net.Listener) {
	listener := connlimit.NewListener(inner, o.Name, o.MaxConnections, o.Log)
	server := &http.Server{
		Handler:           protect(listener, handler),
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return server, listener
}

// protect keeps connections whose request is being served, for a time that a slow body cannot extend.
func protect(l *connlimit.Listener, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.Protect(r.RemoteAddr, clock.Now()+connlimit.ProtectionTime)
		defer l.Protect(r.RemoteAddr, 0)
		next.ServeHTTP(w, r)
	})
}
