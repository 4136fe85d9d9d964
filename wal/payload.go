package wal

import (
	"encoding/binary"

	"github.com/jayloom/jayloom/consensus"
)

// formatVersion is the first byte of segment headers and snapshots.
const formatVersion = 1

// entryOverheadBytes is at least what an entry takes beside its data.
const entryOverheadBytes = 24

// header is the first record of a segment. It repeats the state of earlier segments so
// that these can be removed.
type header struct {
	identity consensus.ID
	// prevIndex and prevTerm identify the entry before the segment's first entry.
	prevIndex consensus.Index
	prevTerm  consensus.Term
	// reset drops all earlier entries; the log continues after prevIndex.
	reset     bool
	hardState consensus.HardState
}

func (h header) encode() []byte {
	out := []byte{formatVersion}
	out = appendBytes(out, []byte(h.identity))
	out = binary.AppendUvarint(out, uint64(h.prevIndex))
	out = binary.AppendUvarint(out, uint64(h.prevTerm))
	reset := byte(0)
	if h.reset {
		reset = 1
	}
	out = append(out, reset)
	return appendHardState(out, h.hardState)
}

func decodeHeader(payload []byte) (header, bool) {
	d := decoder{rest: payload}
	d.readVersion()
	h := header{
		identity:  consensus.ID(d.readBytes()),
		prevIndex: consensus.Index(d.readUvarint()),
		prevTerm:  consensus.Term(d.readUvarint()),
		reset:     d.readByte() == 1,
		hardState: d.readHardState(),
	}
	return h, d.isComplete()
}

func encodeBatch(hardState consensus.HardState, entries []consensus.Entry) []byte {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + entryOverheadBytes
	}
	out := appendHardState(make([]byte, 0, size+64), hardState)
	out = binary.AppendUvarint(out, uint64(len(entries)))
	for _, e := range entries {
		out = binary.AppendUvarint(out, uint64(e.Index))
		out = binary.AppendUvarint(out, uint64(e.Term))
		out = append(out, byte(e.Kind))
		out = appendBytes(out, e.Data)
	}
	return out
}

func decodeBatch(payload []byte) (consensus.HardState, []consensus.Entry, bool) {
	d := decoder{rest: payload}
	hardState := d.readHardState()
	var entries []consensus.Entry
	for count := d.readUvarint(); count > 0 && !d.failed; count-- {
		entries = append(entries, consensus.Entry{
			Index: consensus.Index(d.readUvarint()),
			Term:  consensus.Term(d.readUvarint()),
			Kind:  consensus.EntryKind(d.readByte()),
			Data:  d.readBytes(),
		})
	}
	return hardState, entries, d.isComplete()
}

func encodeSnapshot(identity consensus.ID, s consensus.Snapshot) []byte {
	out := append(make([]byte, 0, len(s.Data)+256), formatVersion)
	out = appendBytes(out, []byte(identity))
	out = binary.AppendUvarint(out, uint64(s.Index))
	out = binary.AppendUvarint(out, uint64(s.Term))
	out = appendBytes(out, s.Membership.Encode())
	return appendBytes(out, s.Data)
}

func decodeSnapshot(payload []byte) (consensus.ID, consensus.Snapshot, bool) {
	d := decoder{rest: payload}
	d.readVersion()
	identity := consensus.ID(d.readBytes())
	s := consensus.Snapshot{}
	s.Index = consensus.Index(d.readUvarint())
	s.Term = consensus.Term(d.readUvarint())
	membership, err := consensus.DecodeMembership(d.readBytes())
	s.Membership = membership
	s.Data = d.readBytes()
	return identity, s, d.isComplete() && err == nil
}

func appendHardState(out []byte, hardState consensus.HardState) []byte {
	out = binary.AppendUvarint(out, uint64(hardState.Term))
	return appendBytes(out, []byte(hardState.Vote))
}

func appendBytes(out, b []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(b)))
	return append(out, b...)
}

// decoder reads a payload. After a failure it returns zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) readVersion() {
	if d.readByte() != formatVersion {
		d.failed = true
	}
}

func (d *decoder) readUvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) readByte() byte {
	if d.failed || len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) readBytes() []byte {
	length := d.readUvarint()
	if d.failed || length > uint64(len(d.rest)) {
		d.failed = true
		return nil
	}
	b := d.rest[:length:length]
	d.rest = d.rest[length:]
	return b
}

func (d *decoder) readHardState() consensus.HardState {
	return consensus.HardState{Term: consensus.Term(d.readUvarint()), Vote: consensus.ID(d.readBytes())}
}

func (d *decoder) isComplete() bool {
	return !d.failed && len(d.rest) == 0
}
