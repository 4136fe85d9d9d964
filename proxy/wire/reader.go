// Package wire frames messages of the PostgreSQL protocol and searches them for
// keys. It does not interpret message bodies; pgproto3 does.
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
	// headerBytes are the type byte and the length of a message.
	headerBytes = 5
	// lengthBytes is the part of the announced length that is the length itself.
	lengthBytes = 4
	// pooledBytes is the size of buffers that are shared between connections.
	pooledBytes = 16 << 10
	// growthBytes bounds how far a buffer grows ahead of the bytes received, so
	// that an announced length alone reserves no memory.
	growthBytes = 1 << 20
)

// ErrMalformed means that the bytes received are no message.
var ErrMalformed = errors.New("malformed message")

// TooLargeError reports a message whose announced length is above the limit.
type TooLargeError struct {
	Announced, Limit int
}

// Error names both lengths.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes is above the limit of %d", e.Announced, e.Limit)
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

var buffers = sync.Pool{New: func() any { return new([pooledBytes]byte) }}

func getBuffer() []byte {
	return buffers.Get().(*[pooledBytes]byte)[:]
}

func putBuffer(b []byte) {
	if cap(b) != pooledBytes {
		return
	}
	// An array pointer goes into the pool without an allocation, a slice does not.
	buffers.Put((*[pooledBytes]byte)(b[:pooledBytes]))
}

// Reader reads messages. While it waits for the first byte of a message with
// nothing buffered it holds no buffer, which keeps idle connections small.
type Reader struct {
	src        io.Reader
	buf        []byte
	start, end int
	limit      int
	first      [1]byte
	// raw is the socket below src. It is nil when src is no plain TCP connection.
	raw syscall.RawConn
	// attempt is the method value of tryRead, kept because each new one allocates.
	attempt func(fd uintptr) bool
	// tried is the result of the last attempt.
	tried error
}

// NewReader returns a reader that refuses messages longer than limit bytes.
func NewReader(src io.Reader, limit int) *Reader {
	r := &Reader{src: src, limit: limit}
	if tcp, ok := src.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			r.raw, r.attempt = raw, r.tryRead
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

// Release gives the buffer back when nothing is buffered.
func (r *Reader) Release() {
	if r.buf != nil && r.Buffered() == 0 {
		putBuffer(r.buf)
		r.buf, r.start, r.end = nil, 0, 0
	}
}

// Next returns the next message. The announced length is checked before any of
// the body is read. A timeout of the source leaves the reader usable.
func (r *Reader) Next() (Frame, error) {
	if err := r.ensure(headerBytes); err != nil {
		return Frame{}, err
	}
	announced := binary.BigEndian.Uint32(r.buf[r.start+1:])
	if announced < lengthBytes {
		return Frame{}, errors.Wrapf(ErrMalformed, "length %d", announced)
	}
	if int64(announced) > int64(r.limit) {
		return Frame{}, &TooLargeError{Announced: int(announced), Limit: r.limit}
	}
	total := int(announced) + 1
	if err := r.ensure(total); err != nil {
		return Frame{}, err
	}
	raw := r.buf[r.start : r.start+total]
	r.start += total
	return Frame{Type: raw[0], Raw: raw}, nil
}

// NextComplete reports whether a whole message is buffered.
func (r *Reader) NextComplete() bool {
	if r.Buffered() < headerBytes {
		return false
	}
	announced := binary.BigEndian.Uint32(r.buf[r.start+1:])
	return int64(r.Buffered()) >= int64(announced)+1
}

// NextStartup returns the body of a message without a type byte, as callers send
// before authentication.
func (r *Reader) NextStartup() ([]byte, error) {
	if err := r.ensure(lengthBytes); err != nil {
		return nil, err
	}
	announced := binary.BigEndian.Uint32(r.buf[r.start:])
	if announced < 2*lengthBytes {
		return nil, errors.Wrapf(ErrMalformed, "startup length %d", announced)
	}
	if int64(announced) > int64(r.limit) {
		return nil, &TooLargeError{Announced: int(announced), Limit: r.limit}
	}
	total := int(announced)
	if err := r.ensure(total); err != nil {
		return nil, err
	}
	body := r.buf[r.start+lengthBytes : r.start+total]
	r.start += total
	return body, nil
}

// ensure reads until n bytes are buffered.
func (r *Reader) ensure(n int) error {
	if r.buf == nil {
		if err := r.awaitData(); err != nil {
			return err
		}
	}
	if r.start == r.end {
		r.start, r.end = 0, 0
		if cap(r.buf) > pooledBytes && n <= pooledBytes {
			r.buf = getBuffer()
		}
	}
	for r.Buffered() < n {
		r.makeRoom(n)
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

// awaitData waits for the start of a message without holding a buffer.
func (r *Reader) awaitData() error {
	if r.raw == nil {
		return r.firstByte()
	}
	if err := r.raw.Read(r.attempt); err != nil {
		return err
	}
	return r.tried
}

// tryRead reads what has arrived into a new buffer. It returns false, and holds no
// buffer, when nothing has arrived.
func (r *Reader) tryRead(fd uintptr) bool {
	buf := getBuffer()
	got, err := readSocket(int(fd), buf)
	if got > 0 {
		r.buf, r.start, r.end, r.tried = buf, 0, got, nil
		return true
	}
	putBuffer(buf)
	if err == nil {
		err = io.EOF
	}
	r.tried = err
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

// firstByte is awaitData for a source that is no plain socket, such as TLS.
func (r *Reader) firstByte() error {
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

// makeRoom leaves space behind the buffered bytes for a message of n bytes, or for
// as much of it as may be reserved now.
func (r *Reader) makeRoom(n int) {
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
	size := min(n, max(2*len(r.buf), r.Buffered()+growthBytes))
	larger := make([]byte, size)
	r.end = copy(larger, r.buf[r.start:r.end])
	r.start = 0
	putBuffer(r.buf)
	r.buf = larger
}
