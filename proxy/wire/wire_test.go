package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

const testKey = "jlk_driver23_abcdefghijklmnopqrstuvwxyz234567"

// Guards against framing that splits, joins or loses messages depending on the sizes
// of reads.
func TestReaderFramesMessagesForAnyReadSize(t *testing.T) {
	var stream []byte
	sizes := []int{0, 1, 100, pooledBufferBytes - 5, pooledBufferBytes, pooledBufferBytes + 1, 3 << 20, 7}
	for i, size := range sizes {
		stream = append(stream, byte('a'+i))
		stream = binary.BigEndian.AppendUint32(stream, uint32(size+4))
		stream = append(stream, bytes.Repeat([]byte{byte(i)}, size)...)
	}
	sources := map[string]io.Reader{
		"whole":     bytes.NewReader(stream),
		"half":      iotest.HalfReader(bytes.NewReader(stream)),
		"data, EOF": iotest.DataErrReader(bytes.NewReader(stream)),
	}
	for name, source := range sources {
		r := NewReader(source, 4<<20)
		for i, size := range sizes {
			frame, err := r.Next()
			if err != nil {
				t.Fatalf("%s: message %d: %v", name, i, err)
			}
			if frame.Type != byte('a'+i) || len(frame.Body()) != size || bytes.Count(frame.Body(), []byte{byte(i)}) != size {
				t.Errorf("%s: message %d is damaged", name, i)
			}
			r.Release()
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: at the end: got %v", name, err)
		}
	}
}

// Guards against reserving memory for a length field before the bytes arrive.
func TestLengthFieldReservesNoMemory(t *testing.T) {
	r := NewReader(bytes.NewReader(binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<29)), 1<<30)
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
	if len(r.buf) > 4*maxGrowthBytes {
		t.Errorf("reserved %d bytes", len(r.buf))
	}
	var tooLarge *TooLargeError
	r = NewReader(bytes.NewReader(binary.BigEndian.AppendUint32([]byte{'Q'}, 1<<29)), 1<<20)
	if _, err := r.Next(); !errors.As(err, &tooLarge) {
		t.Errorf("got %v", err)
	}
}

// Guards against missing a key that COPY data splits, and against rejecting text that
// is not a key.
func TestContainsKey(t *testing.T) {
	for split := range len(testKey) + 1 {
		var s CopyScanner
		found := s.ContainsKey([]byte("x"+testKey[:split])) || s.ContainsKey([]byte(testKey[split:]+"y"))
		if !found {
			t.Errorf("split at %d: not found", split)
		}
	}
	var bytewise CopyScanner
	found := false
	for i := range len(testKey) {
		found = bytewise.ContainsKey([]byte{testKey[i]}) || found
	}
	if !found {
		t.Error("split at each byte: not found")
	}
	for _, text := range []string{"jlk_", "jlk_driver23_ABCDEFGHIJKLMNOPQRSTUVWXYZ234567", testKey[:44], "jlk_jlk_"} {
		if ContainsKey([]byte(text)) {
			t.Errorf("%q was taken for a key", text)
		}
	}
	if !ContainsKey([]byte("jlk_jlk_driver2_" + testKey)) {
		t.Error("a key after a partial key was not found")
	}
}

// Guards against a panic on arbitrary input.
func FuzzReader(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 6, 'x', 0, 'X', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := NewReader(bytes.NewReader(stream), 1<<16)
		total := 0
		for {
			frame, err := r.Next()
			if err != nil {
				break
			}
			total += len(frame.Raw)
			if ContainsKey(frame.Body()) && !bytes.Contains(stream, keyPrefixBytes) {
				t.Error("found a key in a stream without one")
			}
		}
		if total > len(stream) {
			t.Errorf("read %d bytes from a stream of %d", total, len(stream))
		}
	})
}
