package wal

import (
	"slices"
	"testing"

	"github.com/jayloom/jayloom/consensus"
)

// newSegmentContent returns a valid segment and the number of entries after each of its
// records.
func newSegmentContent() ([]byte, []int) {
	content := encodeRecord(1, 0, recordHeader, header{identity: "id"}.encode())
	counts := []int{0}
	for _, batch := range [][]consensus.Entry{newEntries(1, 1, 3), newEntries(1, 4, 4), newEntries(2, 3, 6), nil} {
		payload := encodeBatch(consensus.HardState{Term: 2, Vote: "id"}, batch)
		content = append(content, encodeRecord(1, int64(len(content)), recordBatch, payload)...)
		if len(batch) > 0 {
			counts = append(counts, int(batch[len(batch)-1].Index))
		}
	}
	return content, counts
}

// FuzzSegment guards against a reader that panics, or that returns anything other than
// the content of whole records, on a segment that was partly overwritten and truncated.
func FuzzSegment(f *testing.F) {
	valid, counts := newSegmentContent()
	f.Add([]byte{}, 0, len(valid))
	f.Add([]byte{0, 0, 0, 0}, 5, len(valid))
	f.Add([]byte{1}, len(valid)-1, len(valid))
	f.Add([]byte{}, 0, len(valid)-7)
	f.Add(valid, len(valid), 2*len(valid))
	f.Fuzz(func(t *testing.T, patch []byte, at, length int) {
		content := slices.Clone(valid)
		if at >= 0 && at <= len(content) {
			content = append(content[:at], append(slices.Clone(patch), content[min(at+len(patch), len(content)):]...)...)
		}
		content = content[:max(0, min(length, len(content)))]
		r := &segmentReader{}
		end, _, err := r.readSegment("segment", 1, content, true)
		if err != nil {
			return
		}
		if end > int64(len(valid)) || string(content[:end]) != string(valid[:end]) {
			t.Fatalf("%d bytes were accepted as valid that were not written", end)
		}
		if !slices.Contains(counts, len(r.entries)) {
			t.Fatalf("%d entries were read, which is not a whole number of records", len(r.entries))
		}
	})
}

// FuzzPayload guards against decoders that panic or allocate without bound on a
// malformed record whose checksum matches by accident.
func FuzzPayload(f *testing.F) {
	f.Add(header{identity: "id", hardState: consensus.HardState{Term: 1}}.encode())
	f.Add(encodeBatch(consensus.HardState{Term: 1, Vote: "id"}, newEntries(1, 1, 2)))
	f.Add(encodeSnapshot("id", newSnapshot(3, 1)))
	f.Add([]byte{0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		decodeHeader(payload)
		decodeBatch(payload)
		decodeSnapshot(payload)
	})
}
