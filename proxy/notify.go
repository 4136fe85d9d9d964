package proxy

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/guard"
)

// notificationForwarder forwards what an upstream sends while a listening caller is
// idle. It runs in its own goroutine; only callers that ran LISTEN have one.
type notificationForwarder struct {
	conn *upstreamConn
	done chan struct{}
}

// startNotificationForwarder starts forwarding from the connection that holds the
// caller's session state. It returns nil if the caller is not listening or is in a
// transaction.
func (s *caller) startNotificationForwarder() *notificationForwarder {
	if s.sessionConn == nil || !s.sessionConn.conn.listens || s.txConn != nil {
		return nil
	}
	f := &notificationForwarder{conn: s.sessionConn.conn, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		defer guard.Recover(s.server.opts.Log, "notifications to a caller")
		s.forwardNotifications(f.conn)
	}()
	return f
}

// forwardNotifications runs until stop is called or the upstream is lost. Meanwhile the
// caller's own goroutine waits for a request and does not write.
func (s *caller) forwardNotifications(conn *upstreamConn) {
	finished := false
	defer func() {
		if !finished {
			conn.unsafe = true
			s.end(rescode.New(rescode.UpstreamLost, "the connection's session state is gone"))
		}
	}()
	for {
		frame, err := conn.rd.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			finished = true
			return
		}
		if err != nil || !isAsynchronous(frame.Type) {
			return
		}
		s.out.Raw(frame.Raw)
		if _, err := s.out.Flush(); err != nil {
			finished = true
			return
		}
	}
}

// stop ends the forwarding before the connection is used again.
func (f *notificationForwarder) stop() {
	if f == nil {
		return
	}
	_ = f.conn.net.SetReadDeadline(time.Unix(1, 0))
	<-f.done
	_ = f.conn.net.SetReadDeadline(time.Time{})
}
