package wal

import (
	"encoding/binary"

	"github.com/jayloom/jayloom/consensus"
)

// formatVersion is the first byte of headers and snapshots.
const formatVersion = 1

// header starts a segment. It repeats what earlier segments say, so that they can
// be removed.
type header struct {
	identity consensus.ID
	// prevIndex and prevTerm are those of the entry before the segment's first one.
	prevIndex consensus.Index
	prevTerm  consensus.Term
	// reset drops all earlier entries; the log goes on after prevIndex.
	reset bool
	hard  consensus.HardState
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
	return appendHardState(out, h.hard)
}

func decodeHeader(payload []byte) (header, bool) {
	d := decoder{rest: payload}
	d.version()
	h := header{
		identity:  consensus.ID(d.bytes()),
		prevIndex: consensus.Index(d.number()),
		prevTerm:  consensus.Term(d.number()),
		reset:     d.byte() == 1,
		hard:      d.hardState(),
	}
	return h, d.complete()
}

func encodeBatch(hard consensus.HardState, entries []consensus.Entry) []byte {
	size := 0
	for _, e := range entries {
		size += len(e.Data) + 24
	}
	out := appendHardState(make([]byte, 0, size+64), hard)
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
	hard := d.hardState()
	var entries []consensus.Entry
	for count := d.number(); count > 0 && !d.failed; count-- {
		entries = append(entries, consensus.Entry{
			Index: consensus.Index(d.number()),
			Term:  consensus.Term(d.number()),
			Kind:  consensus.EntryKind(d.byte()),
			Data:  d.bytes(),
		})
	}
	return hard, entries, d.complete()
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
	d.version()
	identity := consensus.ID(d.bytes())
	s := consensus.Snapshot{}
	s.Index = consensus.Index(d.number())
	s.Term = consensus.Term(d.number())
	membership, err := consensus.DecodeMembership(d.bytes())
	s.Membership = membership
	s.Data = d.bytes()
	return identity, s, d.complete() && err == nil
}

func appendHardState(out []byte, hard consensus.HardState) []byte {
	out = binary.AppendUvarint(out, uint64(hard.Term))
	return appendBytes(out, []byte(hard.Vote))
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

func (d *decoder) version() {
	if d.byte() != formatVersion {
		d.failed = true
	}
}

func (d *decoder) number() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) byte() byte {
	if d.failed || len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) bytes() []byte {
	length := d.number()
	if d.failed || length > uint64(len(d.rest)) {
		d.failed = true
		return nil
	}
	b := d.rest[:length:length]
	d.rest = d.rest[length:]
	return b
}

func (d *decoder) hardState() consensus.HardState {
	return consensus.HardState{Term: consensus.Term(d.number()), Vote: consensus.ID(d.bytes())}
}

func (d *decoder) complete() bool {
	return !d.failed && len(d.rest) == 0
}
