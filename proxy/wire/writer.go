package wire

import (
	"encoding/binary"
	"io"
)

// Encoder is a pgproto3 message.
type Encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Writer buffers messages and writes them together. It holds no buffer while
// nothing is pending.
type Writer struct {
	dst io.Writer
	buf []byte
	// err is the first failure; nothing is written after it.
	err error
}

// NewWriter returns a writer to dst.
func NewWriter(dst io.Writer) *Writer {
	return &Writer{dst: dst}
}

// Pending returns the number of bytes not yet written.
func (w *Writer) Pending() int {
	return len(w.buf)
}

// Raw appends an encoded message.
func (w *Writer) Raw(raw []byte) {
	w.reserve()
	w.buf = append(w.buf, raw...)
}

// Message appends a message.
func (w *Writer) Message(m Encoder) {
	w.reserve()
	buf, err := m.Encode(w.buf)
	if err != nil {
		if w.err == nil {
			w.err = err
		}
		return
	}
	w.buf = buf
}

// Query appends a simple query.
func (w *Writer) Query(sql string) {
	w.reserve()
	w.buf = append(w.buf, 'Q')
	w.buf = binary.BigEndian.AppendUint32(w.buf, uint32(lengthBytes+len(sql)+1))
	w.buf = append(w.buf, sql...)
	w.buf = append(w.buf, 0)
}

// Truncate drops what was appended after the first n pending bytes.
func (w *Writer) Truncate(n int) {
	w.buf = w.buf[:n]
}

// Flush writes everything pending. It returns how many bytes were written,
// because a request of which nothing was written has not run.
func (w *Writer) Flush() (int, error) {
	if w.err != nil || len(w.buf) == 0 {
		w.release()
		return 0, w.err
	}
	written, err := w.dst.Write(w.buf)
	w.err = err
	w.release()
	return written, err
}

// finishWrite writes the rest after the first n bytes were written directly to the
// socket, or drops it if that failed with err. It returns how many bytes were written in
// total.
func (w *Writer) finishWrite(n int, err error) (int, error) {
	if err == nil && n < len(w.buf) {
		var rest int
		rest, err = w.dst.Write(w.buf[n:])
		n += rest
	}
	w.err = err
	w.release()
	return n, err
}

func (w *Writer) reserve() {
	if w.buf == nil {
		w.buf = getBuffer()[:0]
	}
}

func (w *Writer) release() {
	if w.buf != nil {
		putBuffer(w.buf)
		w.buf = nil
	}
}

// String appends a string and its terminating zero, as a part of a message.
func (w *Writer) String(text string) {
	w.reserve()
	w.buf = append(w.buf, text...)
	w.buf = append(w.buf, 0)
}
