package wire

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
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

// Guards against a socket reader that holds a buffer or becomes unusable after a
// timeout, or that loses bytes or the end of a stream that arrives in parts.
func TestSocketReader(t *testing.T) {
	near, far := socketPair(t)
	r := NewReader(near, 100)
	if r.rawConn == nil {
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
		t.Errorf("truncated message: got %v", err)
	}
	r.start = r.end
	r.Release()
	if _, err := r.Next(); !errors.Is(err, io.EOF) || r.buf != nil {
		t.Errorf("at the end: got %v, buffer of %d bytes", err, len(r.buf))
	}
}

// Guards against sending a request on a connection that has ended or has unread data,
// against losing data that arrived before a request that may still be sent, and against
// sending only a part of a request that exceeds the socket buffers.
func TestRoundTripper(t *testing.T) {
	const unread, answer = "N\x00\x00\x00\x04", "Z\x00\x00\x00\x05I"
	cases := map[string]struct {
		before string
		size   int
		clean  bool
		err    error
		frames string
	}{
		"clean":            {size: 10, clean: true, frames: "Z"},
		"large":            {size: 32 << 20, clean: true, frames: "Z"},
		"unread":           {size: 10, clean: true, before: unread, err: ErrStaleConn},
		"unread, allowed":  {size: 10, before: unread, frames: "NZ"},
		"closed":           {size: 10, clean: true, before: "close", err: ErrStaleConn},
		"closed, accepted": {size: 10, before: "close", err: io.ErrUnexpectedEOF},
	}
	for name, c := range cases {
		near, far := socketPair(t)
		e := NewRoundTripper(NewReader(near, 100), NewWriter(near))
		e.out.Raw(make([]byte, c.size))
		if c.before == "close" {
			_ = far.(*net.TCPConn).CloseWrite()
		} else {
			_, _ = far.Write([]byte(c.before))
		}
		if c.before != "" {
			awaitReadable(t, e.rd.rawConn)
		}
		received := make(chan int64, 1)
		go func() {
			n, _ := io.CopyN(io.Discard, far, int64(c.size))
			received <- n
			_, _ = far.Write([]byte(answer))
		}()
		sent, err := e.Send(c.clean)
		if !errors.Is(err, c.err) || (err == nil) != (sent == c.size) || err != nil && sent != 0 {
			t.Errorf("%s: sent %d bytes, got error %v", name, sent, err)
		}
		for _, want := range c.frames {
			if frame, err := e.rd.Next(); err != nil || rune(frame.Type) != want {
				t.Errorf("%s: got %q, %v", name, frame.Raw, err)
			}
		}
		_ = near.Close()
		if n := <-received; n != int64(sent) {
			t.Errorf("%s: %d bytes arrived, want %d", name, n, sent)
		}
	}
}

// awaitReadable waits until the socket has data or its peer has closed it.
func awaitReadable(t *testing.T, raw syscall.RawConn) {
	t.Helper()
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
