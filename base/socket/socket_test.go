package socket

import (
	"net"
	"testing"
)

// Guards against a connection that is lent although the other end has closed it or sent
// something that nobody has read.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !Usable(near) {
		t.Error("an open connection is not quiet")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	// Data on loopback is there when the write has returned.
	if Usable(near) {
		t.Error("a connection with unread data is quiet")
	}
	_ = far.Close()
	_, _ = near.Read(make([]byte, 1))
	if _, err := near.Read(make([]byte, 1)); err == nil || Usable(near) {
		t.Error("a closed connection is quiet")
	}
}
