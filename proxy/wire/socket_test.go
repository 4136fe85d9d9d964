package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// socketPair returns both ends of a connection on loopback.
func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

// Guards against a socket reader that holds a buffer after a timeout, cannot be used
// after one, or loses bytes or the end of a stream that arrives in parts.
func TestSocketReader(t *testing.T) {
	near, far := socketPair(t)
	r := NewReader(near, 100)
	if r.raw == nil {
		t.Fatal("the reader does not use the socket")
	}
	_ = near.SetReadDeadline(time.Unix(1, 0))
	if _, err := r.Next(); !errors.Is(err, os.ErrDeadlineExceeded) || r.buf != nil {
		t.Errorf("got %v, buffer of %d bytes", err, len(r.buf))
	}
	_ = near.SetReadDeadline(time.Time{})
	go func() {
		_, _ = far.Write([]byte("Q\x00\x00"))
		_, _ = far.Write([]byte("\x00\x06a\x00S\x00\x00\x00\x04Q\x00"))
		_ = far.Close()
	}()
	for _, want := range []string{"Q\x00\x00\x00\x06a\x00", "S\x00\x00\x00\x04"} {
		if frame, err := r.Next(); err != nil || string(frame.Raw) != want {
			t.Fatalf("got %q, %v", frame.Raw, err)
		}
	}
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a cut message: %v", err)
	}
	r.start = r.end
	r.Release()
	if _, err := r.Next(); !errors.Is(err, io.EOF) || r.buf != nil {
		t.Errorf("at the end: %v, buffer of %d bytes", err, len(r.buf))
	}
}
