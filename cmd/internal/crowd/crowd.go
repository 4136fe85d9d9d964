// Package crowd runs many clients that misbehave in the same way, for tests.
package crowd

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// reconnectPause is the time before a client of a crowd connects again.
	reconnectPause = 50 * time.Millisecond
	// trickleInterval is the time between two bytes of a client that sends or reads slowly.
	trickleInterval = time.Second
	// settleTime is how long a crowd acts before the ordinary request.
	settleTime = 3 * time.Second
)

// Client is what each client of a crowd does with its connection, until that fails or ctx ends.
type Client func(ctx context.Context, conn net.Conn)

// Start runs clients that connect to address from the IP address source, and again whenever their connections
// end, until the test ends. It returns after settleTime.
func Start(t testing.TB, size int, source, address string, act Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range size {
		running.Go(func() {
			for ctx.Err() == nil {
				connectOnce(ctx, source, address, act)
				pause(ctx, reconnectPause)
			}
		})
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	pause(ctx, settleTime)
}

func connectOnce(ctx context.Context, source, address string, act Client) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	// A client that blocks in a write ends with the test.
	unregister := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer unregister()
	defer func() { _ = conn.Close() }()
	act(ctx, conn)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// InOrder returns a client that does one thing after the other.
func InOrder(parts ...Client) Client {
	return func(ctx context.Context, conn net.Conn) {
		for _, part := range parts {
			part(ctx, conn)
		}
	}
}

// Send returns a client that sends a text in one piece.
func Send(text string) Client {
	return func(_ context.Context, conn net.Conn) { _, _ = io.WriteString(conn, text) }
}

// SendInPieces returns a client that sends a text in pieces of some bytes.
func SendInPieces(text string, bytes int) Client {
	return func(_ context.Context, conn net.Conn) {
		for rest := text; rest != ""; {
			n := min(bytes, len(rest))
			if _, err := io.WriteString(conn, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}
}

// SendWithoutEnd returns a client that sends a text again and again.
func SendWithoutEnd(text string) Client {
	return func(_ context.Context, conn net.Conn) {
		for {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// Trickle returns a client that sends a text one byte at a time, slowly.
func Trickle(text string) Client {
	return func(ctx context.Context, conn net.Conn) {
		for i := 0; i < len(text) && ctx.Err() == nil; i++ {
			if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
				return
			}
			pause(ctx, trickleInterval)
		}
	}
}

// ReadSlowly reads one byte at a time, slowly.
func ReadSlowly(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil {
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			return
		}
		pause(ctx, trickleInterval)
	}
}

// WaitForClose sends nothing more and reads until the connection ends.
func WaitForClose(_ context.Context, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// KeepOpen neither sends nor reads.
func KeepOpen(ctx context.Context, conn net.Conn) { <-ctx.Done() }

// Text returns n bytes without blanks.
func Text(n int) string { return strings.Repeat("q", n) }
