// Package compress compresses configurations for storage and for links between nodes.
package compress

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// MaxBytes limits decompressed data, so that malformed data cannot use up the memory.
const MaxBytes = 64 << 20

// writers holds writers for reuse: each one has some hundred kilobytes of tables.
var writers = sync.Pool{New: func() any { return newWriter() }}

func newWriter() *gzip.Writer {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		// The level is a valid constant.
		panic(err)
	}
	return w
}

// Compress compresses data with gzip.
func Compress(data []byte) ([]byte, error) {
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// Decompress returns the data that Compress was given.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > MaxBytes {
		return nil, errors.Newf("decompressed data is larger than %d bytes", MaxBytes)
	}
	return out, nil
}

// Message returns a compressed message.
func Message(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode the message")
	}
	return Compress(data)
}

// ReadMessage decodes a message that Message has compressed.
func ReadMessage(data []byte, m proto.Message) error {
	decompressed, err := Decompress(data)
	if err != nil {
		return err
	}
	return errors.Wrap(proto.Unmarshal(decompressed, m), "decode the message")
}
