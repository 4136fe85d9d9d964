package server

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/stop"
)

// countingConn counts the read deadlines that are set on a connection.
type countingConn struct {
	net.Conn
	deadlines *atomic.Int64
}

func (c countingConn) SetReadDeadline(t time.Time) error {
	c.deadlines.Add(1)
	return c.Conn.SetReadDeadline(t)
}

// countingListener accepts connections that count their read deadlines.
type countingListener struct {
	net.Listener
	deadlines *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.deadlines}, nil
}

// Guards against a stop that polls without a pause once its context has ended, as it does
// 100 ms before the end of a grace period that is shorter than 1.2 s (2.4 s behind the give-up).
func TestStopDoesNotSpinBehindItsContext(t *testing.T) {
	s, l, _ := newTestServer(t, 0)
	var deadlines atomic.Int64
	counting := countingListener{l, &deadlines}
	_ = l.(*net.TCPListener).SetDeadline(time.Now())
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting.Listener = other
	go s.Serve(context.Background(), counting)
	c := connect(t, other)
	expectByte(t, c, 'W')
	sendByte(t, c, 'b')
	expectByte(t, c, 'D')
	const grace = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), grace-100*time.Millisecond)
	defer cancel()
	s.Shutdown(ctx, other, stop.NewPlan(clock.Now(), grace))
	if n := deadlines.Load(); n > 100 {
		t.Errorf("%d read deadlines were set for one idle caller in a stop of %s", n, grace)
	}
}
