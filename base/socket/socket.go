// Package socket looks at a connection without reading from it.
package socket

import (
	"net"
	"syscall"
)

// Usable reports whether a connection is open and has nothing unread. An answer left
// behind would be taken for the answer to the next request. A connection that is no
// socket counts as quiet.
func Usable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peeked == syscall.EAGAIN || peeked == syscall.EWOULDBLOCK)
}
