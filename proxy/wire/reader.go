// Package wire frames messages of the PostgreSQL protocol and searches them for
// API keys. It does not interpret message bodies; pgproto3 does.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// headerBytes is the size of the type byte and the length field of a message.
	headerBytes = 5
	// lengthBytes is the size of the length field, which the length includes.
	lengthBytes = 4
	// pooledBufferBytes is the size of buffers that are shared between connections.
	pooledBufferBytes = 16 << 10
	// maxGrowthBytes bounds how far a buffer grows ahead of the bytes received, so
	// that an announced length alone reserves no memory.
	maxGrowthBytes = 1 << 20
)

// ErrMalformed means that the bytes received are not a valid message.
var ErrMalformed = errors.New("malformed message")

// TooLargeError reports a message whose length field exceeds the limit.
type TooLargeError struct {
	Length, Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Length, e.Limit)
}

// Frame is one message. Raw is valid until the next call on its Reader.
type Frame struct {
	Type byte
	// Raw is the message as on the wire, header included.
	Raw []byte
}

// Body returns the message without its header.
func (f Frame) Body() []byte {
	return f.Raw[headerBytes:]
}

var buffers = sync.Pool{New: func() any { return new([pooledBufferBytes]byte) }}

func getBuffer() []byte {
	return buffers.Get().(*[pooledBufferBytes]byte)[:]
}

func putBuffer(b []byte) {
	if cap(b) != pooledBufferBytes {
		return
	}
	// An array pointer goes into the pool without an allocation, a slice does not.
	buffers.Put((*[pooledBufferBytes]byte)(b[:pooledBufferBytes]))
}

// Reader reads messages. While it waits for the first byte of a message with
// nothing buffered it holds no buffer, which keeps idle connections small.
type Reader struct {
	src        io.Reader
	buf        []byte
	start, end int
	limit      int
	first      [1]byte
	// rawConn is the socket of src. It is nil if src is not a plain TCP connection.
	rawConn syscall.RawConn
	// tryReadFunc is the method value of tryRead, stored because creating one allocates.
	tryReadFunc func(fd uintptr) bool
	// tryReadErr is the result of the last attempt.
	tryReadErr error
}

// NewReader returns a reader that rejects messages whose length exceeds limit.
func NewReader(src io.Reader, limit int) *Reader {
	r := &Reader{src: src, limit: limit}
	if tcp, ok := src.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			r.rawConn, r.tryReadFunc = raw, r.tryRead
		}
	}
	return r
}

// SetLimit changes the longest accepted message.
func (r *Reader) SetLimit(limit int) {
	r.limit = limit
}

// Buffered returns the number of bytes received and not yet returned.
func (r *Reader) Buffered() int {
	return r.end - r.start
}

// Release returns the buffer to the pool if nothing is buffered.
func (r *Reader) Release() {
	if r.buf != nil && r.Buffered() == 0 {
		putBuffer(r.buf)
		r.buf, r.start, r.end = nil, 0, 0
	}
}

// Next returns the next message. The announced length is checked before any of
// the body is read. A timeout of the source leaves the reader usable.
func (r *Reader) Next() (Frame, error) {
	if err := r.fill(headerBytes); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(r.buf[r.start+1:])
	if length < lengthBytes {
		return Frame{}, errors.Wrapf(ErrMalformed, "length %d", length)
	}
	if int64(length) > int64(r.limit) {
		return Frame{}, &TooLargeError{Length: int(length), Limit: r.limit}
	}
	total := int(length) + 1
	if err := r.fill(total); err != nil {
		return Frame{}, err
	}
	raw := r.buf[r.start : r.start+total]
	r.start += total
	return Frame{Type: raw[0], Raw: raw}, nil
}

// HasMessage reports whether a whole message is buffered.
func (r *Reader) HasMessage() bool {
	if r.Buffered() < headerBytes {
		return false
	}
	length := binary.BigEndian.Uint32(r.buf[r.start+1:])
	return int64(r.Buffered()) >= int64(length)+1
}

// NextStartup returns the body of a message without a type byte, as callers send
// before authentication.
func (r *Reader) NextStartup() ([]byte, error) {
	if err := r.fill(lengthBytes); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(r.buf[r.start:])
	if length < 2*lengthBytes {
		return nil, errors.Wrapf(ErrMalformed, "startup length %d", length)
	}
	if int64(length) > int64(r.limit) {
		return nil, &TooLargeError{Length: int(length), Limit: r.limit}
	}
	total := int(length)
	if err := r.fill(total); err != nil {
		return nil, err
	}
	body := r.buf[r.start+lengthBytes : r.start+total]
	r.start += total
	return body, nil
}

// fill reads until n bytes are buffered.
func (r *Reader) fill(n int) error {
	if r.buf == nil {
		if err := r.waitForData(); err != nil {
			return err
		}
	}
	if r.start == r.end {
		r.start, r.end = 0, 0
		if cap(r.buf) > pooledBufferBytes && n <= pooledBufferBytes {
			r.buf = getBuffer()
		}
	}
	for r.Buffered() < n {
		r.grow(n)
		got, err := r.src.Read(r.buf[r.end:])
		r.end += got
		if got > 0 {
			continue
		}
		if err == io.EOF && r.Buffered() > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// waitForData waits for the start of a message without holding a buffer.
func (r *Reader) waitForData() error {
	if r.rawConn == nil {
		return r.readFirstByte()
	}
	if err := r.rawConn.Read(r.tryReadFunc); err != nil {
		return err
	}
	return r.tryReadErr
}

// tryRead reads what has arrived into a new buffer. It returns false, and holds no
// buffer, when nothing has arrived.
func (r *Reader) tryRead(fd uintptr) bool {
	buf := getBuffer()
	got, err := readSocket(int(fd), buf)
	if got > 0 {
		r.buf, r.start, r.end, r.tryReadErr = buf, 0, got, nil
		return true
	}
	putBuffer(buf)
	if err == nil {
		err = io.EOF
	}
	r.tryReadErr = err
	return err != syscall.EAGAIN
}

func readSocket(fd int, buf []byte) (int, error) {
	for {
		got, err := syscall.Read(fd, buf)
		if err != syscall.EINTR {
			return got, err
		}
	}
}

// readFirstByte is waitForData for a source that is not a plain socket, such as TLS.
func (r *Reader) readFirstByte() error {
	got, err := r.src.Read(r.first[:])
	if got == 0 {
		if err == nil {
			err = io.ErrNoProgress
		}
		return err
	}
	r.buf = getBuffer()
	r.buf[0] = r.first[0]
	r.start, r.end = 0, 1
	return nil
}

// grow makes space after the buffered bytes for a message of n bytes, or for as much of
// it as may be reserved now.
func (r *Reader) grow(n int) {
	if len(r.buf)-r.start >= n && r.end < len(r.buf) {
		return
	}
	if len(r.buf) >= n {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
		return
	}
	if r.start == 0 && r.end < len(r.buf) {
		return
	}
	size := min(n, max(2*len(r.buf), r.Buffered()+maxGrowthBytes))
	larger := make([]byte, size)
	r.end = copy(larger, r.buf[r.start:r.end])
	r.start = 0
	putBuffer(r.buf)
	r.buf = larger
}
