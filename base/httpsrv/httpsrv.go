// Package httpsrv returns HTTP servers that unknown clients may reach: their connections, headers and times are bounded.
package httpsrv

import (
	"io"
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
	// bodyProtection is how long a connection is kept while the body of its request arrives, answerProtection how long
	// from then on for the answer.
	bodyProtection   = 2 * time.Second
	answerProtection = 5 * time.Second
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

// protect keeps connections whose request is being served, for a time that neither a slow body nor a slow reader of the
// answer can extend.
func protect(l *connlimit.Listener, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keepFor := func(d time.Duration) { l.Protect(r.RemoteAddr, clock.Now()+d) }
		if r.Body == nil || r.Body == http.NoBody {
			keepFor(answerProtection)
		} else {
			keepFor(bodyProtection)
			r.Body = &watchedBody{ReadCloser: r.Body, complete: func() { keepFor(answerProtection) }}
		}
		defer l.Protect(r.RemoteAddr, 0)
		next.ServeHTTP(w, r)
	})
}

// watchedBody calls complete when the body has been read whole.
type watchedBody struct {
	io.ReadCloser
	complete func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete()
	}
	return n, err
}
