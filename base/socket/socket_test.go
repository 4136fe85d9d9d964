package socket

import (
	"net"
	"testing"
	"time"
)

// Guards against reuse of a connection that the other end has closed, or that has unread data.
func TestUsable(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	local, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = local.Close() }()
	remote, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !Usable(local) {
		t.Error("an open connection is not usable")
	}
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	// On loopback the data has arrived when Write returns.
	if Usable(local) {
		t.Error("a connection with unread data is usable")
	}
	_ = remote.Close()
	_, _ = local.Read(make([]byte, 1))
	if _, err := local.Read(make([]byte, 1)); err == nil || Usable(local) {
		t.Error("a closed connection is usable")
	}
}

// Guards against connections that are opened anew for each request: the deadline of the last answer
// has passed when an idle connection is used again.
func TestUsableAfterDeadline(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if !Usable(c) {
		t.Error("an open connection is not usable after the deadline of its last use")
	}
}

// Guards against a session that is ended although a message of its caller has arrived, and one
// that is kept for a caller that has left.
func TestHasInput(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	local, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = local.Close() }()
	remote, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if HasInput(local) {
		t.Error("an idle connection has input")
	}
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = local.SetReadDeadline(time.Unix(1, 0))
	if !HasInput(local) {
		t.Error("unread data is not seen behind the read deadline")
	}
	_ = local.SetReadDeadline(time.Time{})
	_, _ = local.Read(make([]byte, 1))
	_ = remote.Close()
	_, _ = local.Read(make([]byte, 1))
	if HasInput(local) {
		t.Error("a connection that the other end has closed has input")
	}
}
