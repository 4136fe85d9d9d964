package proxy

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/rescode"
)

// watcher passes on what an upstream sends while its caller, who listens for
// notifications, is idle. It has a goroutine of its own; only callers that ran
// LISTEN have one.
type watcher struct {
	conn *upstreamConn
	done chan struct{}
}

// watch starts watching the connection that holds the caller's session state.
func (s *caller) watch() *watcher {
	if s.pinned == nil || !s.pinned.conn.listens || s.bound != nil {
		return nil
	}
	w := &watcher{conn: s.pinned.conn, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		s.passNotifications(w.conn)
	}()
	return w
}

// passNotifications runs until stop or until the upstream is lost. The caller's own
// goroutine waits for a request meanwhile and does not write.
func (s *caller) passNotifications(conn *upstreamConn) {
	for {
		frame, err := conn.rd.Next()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil || !isAsynchronous(frame.Type) {
			conn.unsafe = true
			s.end(rescode.New(rescode.UpstreamLost, "the connection's session state is gone"))
			return
		}
		s.out.Raw(frame.Raw)
		if _, err := s.out.Flush(); err != nil {
			return
		}
	}
}

// stop ends the watching before the connection is used again.
func (w *watcher) stop() {
	if w == nil {
		return
	}
	_ = w.conn.net.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.net.SetReadDeadline(time.Time{})
}
