package wire

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrStaleConn means that a connection was found closed, or with unread data, before a
// request was sent on it.
var ErrStaleConn = errors.New("the connection has ended or has unread data")

// RoundTripper sends requests on a connection and waits for their answers. A wait on a
// socket must begin with an attempt to read, or a readiness event could be missed.
// RoundTripper makes this attempt before it writes. There the attempt also shows
// whether the connection is still open and has no unread data, so a request and its
// answer take three system calls.
type RoundTripper struct {
	rd  *Reader
	out *Writer
	// pollFunc is the method value of poll, stored because creating one allocates.
	pollFunc func(fd uintptr) bool
	// polled is set once the attempt before the write was made.
	polled       bool
	requireClean bool
	written      int
	writeErr     error
}

// NewRoundTripper returns a RoundTripper over the reader and the writer of one
// connection.
func NewRoundTripper(rd *Reader, out *Writer) *RoundTripper {
	e := &RoundTripper{rd: rd, out: out}
	e.pollFunc = e.poll
	return e
}

// Supported reports whether Send can be used, which requires a plain TCP connection.
func (e *RoundTripper) Supported() bool {
	return e.rd.rawConn != nil
}

// Send writes everything pending, of which at least one message must be answered, and
// waits until the answer begins or the connection ends; the reader then has the first
// bytes or returns the error. With requireClean set, Send writes nothing and returns
// ErrStaleConn if the connection has unread data or has ended. Send returns how many
// bytes were written to the connection.
func (e *RoundTripper) Send(requireClean bool) (int, error) {
	if requireClean && e.rd.Buffered() > 0 {
		return 0, ErrStaleConn
	}
	if e.rd.Buffered() > 0 {
		return e.out.Flush()
	}
	e.rd.Release()
	e.polled, e.requireClean, e.written, e.writeErr = false, requireClean, 0, nil
	err := e.rd.rawConn.Read(e.pollFunc)
	if e.writeErr != nil {
		err = e.writeErr
	}
	if e.written == 0 && err != nil {
		return 0, err
	}
	// If no write has failed, the rest is written through the connection. A read error
	// is returned again by the next call on the reader.
	return e.out.finishWrite(e.written, e.writeErr)
}

// poll is called once before the wait and after each readiness event. It returns true
// if there is nothing to wait for.
func (e *RoundTripper) poll(fd uintptr) bool {
	if e.polled {
		return e.rd.tryRead(fd)
	}
	e.polled = true
	arrived := e.rd.tryRead(fd)
	if arrived && (e.requireClean || e.rd.tryReadErr != nil) {
		e.writeErr = e.errBeforeWrite()
		return true
	}
	e.written, e.writeErr = writeSocket(int(fd), e.out.buf)
	return arrived || e.writeErr != nil || e.written < len(e.out.buf)
}

// errBeforeWrite returns the error for an attempt that found data or the end of the
// stream before the write.
func (e *RoundTripper) errBeforeWrite() error {
	switch {
	case e.requireClean:
		return ErrStaleConn
	case e.rd.tryReadErr == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return e.rd.tryReadErr
	}
}

// writeSocket writes as much as the socket accepts without blocking.
func writeSocket(fd int, buf []byte) (int, error) {
	for {
		n, err := syscall.Write(fd, buf)
		switch err {
		case nil:
			return n, nil
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, nil
		default:
			return 0, err
		}
	}
}
