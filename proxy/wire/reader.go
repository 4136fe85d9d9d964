// Package wire frames messages of the PostgreSQL protocol and searches them for
// keys. It does not interpret message bodies; pgproto3 does.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"

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

var buffers = sync.Pool{New: func() any {
	b := make([]byte, pooledBytes)
	return &b
}}

func getBuffer() []byte {
	return *buffers.Get().(*[]byte)
}

func putBuffer(b []byte) {
	if cap(b) != pooledBytes {
		return
	}
	b = b[:pooledBytes]
	buffers.Put(&b)
}

// Reader reads messages. While it waits for the first byte of a message with
// nothing buffered it holds no buffer, which keeps idle connections small.
type Reader struct {
	src        io.Reader
	buf        []byte
	start, end int
	limit      int
	first      [1]byte
}

// NewReader returns a reader that refuses messages longer than limit bytes.
func NewReader(src io.Reader, limit int) *Reader {
	return &Reader{src: src, limit: limit}
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
		if err := r.firstByte(); err != nil {
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

// firstByte waits for the start of a message without holding a buffer.
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
