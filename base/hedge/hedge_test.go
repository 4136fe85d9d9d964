package hedge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a late connection to a host that is down when it is first dialled and starts
// shortly after: without further attempts it is reached only when the kernel retransmits the
// first SYN. In a recorded run (paplate-riga-grown trouble-1) a voter was reached 0.5 s after its
// start.
func TestHostStartsAfterFirstAttempt(t *testing.T) {
	var attempts atomic.Int32
	client, server := net.Pipe()
	defer server.Close()
	d := Dialer{Interval: time.Millisecond, MaxAttempts: 5, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return client, nil
	}}
	conn, err := d.DialContext(context.Background(), "tcp", "host:1")
	if err != nil || conn != client {
		t.Errorf("got %v, %v", conn, err)
	}
}

// Guards against a refused connection that is reported late or hidden by further attempts.
func TestRefusalEndsDial(t *testing.T) {
	refused := errors.New("refused")
	d := Dialer{Interval: time.Hour, MaxAttempts: 5, Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, refused
	}}
	if _, err := d.DialContext(context.Background(), "tcp", "host:1"); !errors.Is(err, refused) {
		t.Errorf("got %v", err)
	}
}

// Guards against a call that outlasts its context, and against an unbounded number of attempts.
func TestUnreachableHost(t *testing.T) {
	var attempts atomic.Int32
	d := Dialer{Interval: time.Millisecond, MaxAttempts: 3, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		attempts.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := d.DialContext(ctx, "tcp", "host:1"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	if n := attempts.Load(); n > 3 {
		t.Errorf("%d attempts", n)
	}
}
