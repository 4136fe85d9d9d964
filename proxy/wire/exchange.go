package wire

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrNotQuiet means that a connection has ended, or has data that nobody asked for,
// before a request was sent on it.
var ErrNotQuiet = errors.New("the connection has ended or has unread data")

// Exchange sends requests on a connection and waits for their answers. A wait on a
// socket must begin with an attempt to read, or an event could be missed. Exchange
// makes this attempt before it writes, where the attempt also shows whether the
// connection is quiet, so that a request and its answer take three system calls.
type Exchange struct {
	rd  *Reader
	out *Writer
	// attempt is the method value of tryExchange, kept because each new one allocates.
	attempt func(fd uintptr) bool
	// begun says that the attempt before the write was made.
	begun   bool
	quiet   bool
	written int
	err     error
}

// NewExchange returns an exchange over the reader and the writer of one connection.
func NewExchange(rd *Reader, out *Writer) *Exchange {
	e := &Exchange{rd: rd, out: out}
	e.attempt = e.tryExchange
	return e
}

// Usable reports whether Send works, which needs a plain TCP connection.
func (e *Exchange) Usable() bool {
	return e.rd.raw != nil
}

// Send writes everything pending, of which at least one message must be answered, and
// waits until the answer begins or the connection
// ends; the reader then has the first bytes or returns the error. With quiet set,
// nothing is written on a connection that has unread data or has ended, and the error
// is ErrNotQuiet. Send returns how many bytes were handed to the connection.
func (e *Exchange) Send(quiet bool) (int, error) {
	if quiet && e.rd.Buffered() > 0 {
		return 0, ErrNotQuiet
	}
	if e.rd.Buffered() > 0 {
		return e.out.Flush()
	}
	e.rd.Release()
	e.begun, e.quiet, e.written, e.err = false, quiet, 0, nil
	err := e.rd.raw.Read(e.attempt)
	if e.err != nil {
		err = e.err
	}
	if e.written == 0 && err != nil {
		return 0, err
	}
	// Without a failure of the write, what is left is written in the usual way. A
	// failure of the read is met again by the next call on the reader.
	return e.out.finish(e.written, e.err)
}

// tryExchange is called once before the wait and after each event. It returns true
// when there is nothing to wait for.
func (e *Exchange) tryExchange(fd uintptr) bool {
	if e.begun {
		return e.rd.tryRead(fd)
	}
	e.begun = true
	arrived := e.rd.tryRead(fd)
	if arrived && (e.quiet || e.rd.tried != nil) {
		e.err = e.before()
		return true
	}
	e.written, e.err = writeSocket(int(fd), e.out.buf)
	return arrived || e.err != nil || e.written < len(e.out.buf)
}

// before is the error of an attempt that found something before the write.
func (e *Exchange) before() error {
	switch {
	case e.quiet:
		return ErrNotQuiet
	case e.rd.tried == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return e.rd.tried
	}
}

// writeSocket writes what the socket takes now.
func writeSocket(fd int, buf []byte) (int, error) {
	for {
		put, err := syscall.Write(fd, buf)
		switch err {
		case nil:
			return put, nil
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, nil
		default:
			return 0, err
		}
	}
}
