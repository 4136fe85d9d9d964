// Package socket checks the state of a connection without reading from it.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// Usable reports whether a connection is open and has no unread data. An unread answer
// would be taken for the answer to the next request. Usable returns true for a
// connection that is not a socket.
func Usable(c net.Conn) bool {
	if _, ok := c.(syscall.Conn); !ok {
		return true
	}
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// HasInput reports whether a connection has unread data. It returns false for a connection that
// is not a socket.
func HasInput(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// errNotSocket is the error of peek for a connection that is not a socket.
var errNotSocket = errors.New("the connection is not a socket")

// peek returns the number of bytes, at most one, that can be read without waiting; 0 without an
// error means that the other end has closed the connection.
func peek(c net.Conn) (int, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var peekErr error
	// Unlike raw.Read, Control works after the deadline of the last answer has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
