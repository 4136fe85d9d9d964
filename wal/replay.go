package wal

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

// segmentReader reconstructs the log from segments that are read in order.
type segmentReader struct {
	// snapshotIndex is the last index that the newest snapshot includes, or 0.
	snapshotIndex consensus.Index

	identity  consensus.ID
	hardState consensus.HardState
	// base is the index of the entry before entries[0].
	base     consensus.Index
	baseTerm consensus.Term
	entries  []consensus.Entry
	// hasHeader is true once the first header was read.
	hasHeader bool
}

func (r *segmentReader) lastIndex() consensus.Index {
	return r.base + consensus.Index(len(r.entries))
}

func (r *segmentReader) term(i consensus.Index) (consensus.Term, bool) {
	if i == r.base {
		return r.baseTerm, true
	}
	if i < r.base || i > r.lastIndex() {
		return 0, false
	}
	return r.entries[i-r.base-1].Term, true
}

// readSegment reads the content of a segment file. It returns the length of the valid
// part and the highest index written in it. Only the last segment may end with an
// incomplete record.
func (r *segmentReader) readSegment(path string, number uint64, content []byte, isLast bool) (int64, consensus.Index, error) {
	offset, highest := int64(0), consensus.Index(0)
	for record := 1; offset < int64(len(content)); record++ {
		kind, payload, ok := decodeRecord(number, content, offset)
		if !ok {
			if !isLast || hasValidRecordAfter(number, content, offset) {
				return 0, 0, newDamageError(path, offset, record, "invalid record before valid records")
			}
			break
		}
		recordHighest, err := r.applyRecord(kind, payload, record == 1)
		if err != nil {
			return 0, 0, newDamageError(path, offset, record, err.Error())
		}
		highest = max(highest, recordHighest)
		offset += int64(recordOverhead + len(payload))
	}
	if offset == 0 && !isLast {
		return 0, 0, newDamageError(path, 0, 1, "segment has no header")
	}
	return offset, highest, nil
}

// applyRecord applies one record and returns the highest index in it.
func (r *segmentReader) applyRecord(kind recordType, payload []byte, first bool) (consensus.Index, error) {
	switch {
	case first && kind == recordHeader:
		return 0, r.applyHeader(payload)
	case !first && kind == recordBatch:
		return r.applyBatch(payload)
	default:
		return 0, errors.Newf("unexpected record type %d", kind)
	}
}

func (r *segmentReader) applyHeader(payload []byte) error {
	h, ok := decodeHeader(payload)
	if !ok {
		return errors.New("malformed header")
	}
	if r.hasHeader && h.identity != r.identity {
		return errors.Newf("header belongs to member %s, log belongs to member %s", h.identity, r.identity)
	}
	if !r.hasHeader || h.reset {
		r.base, r.baseTerm, r.entries = h.prevIndex, h.prevTerm, nil
	}
	if term, held := r.term(r.lastIndex()); h.prevIndex != r.lastIndex() || !held || term != h.prevTerm {
		return errors.Newf("segment continues after entry %d, but the log ends at entry %d", h.prevIndex, r.lastIndex())
	}
	r.identity, r.hardState, r.hasHeader = h.identity, h.hardState, true
	return nil
}

func (r *segmentReader) applyBatch(payload []byte) (consensus.Index, error) {
	hardState, entries, ok := decodeBatch(payload)
	if !ok {
		return 0, errors.New("malformed batch")
	}
	r.hardState = hardState
	if len(entries) == 0 {
		return 0, nil
	}
	r.rewindTo(entries[0].Index - 1)
	if err := checkSequence(entries, r.base, r.lastIndex()); err != nil {
		return 0, err
	}
	r.entries = append(r.entries[:entries[0].Index-r.base-1], entries...)
	return entries[len(entries)-1].Index, nil
}

// rewindTo lets the log begin after an earlier entry than the first segment does, if the
// snapshot includes all entries between. The segment may replace entries of segments that
// were removed since.
func (r *segmentReader) rewindTo(base consensus.Index) {
	if base < r.base && r.base <= r.snapshotIndex {
		r.base, r.baseTerm, r.entries = base, 0, nil
	}
}

// checkSequence returns an error unless entries can be added to a log that holds the
// entries after base up to lastIndex. They may replace the end of that log.
func checkSequence(entries []consensus.Entry, base, lastIndex consensus.Index) error {
	if entries[0].Index <= base || entries[0].Index > lastIndex+1 {
		return errors.Newf("entry %d does not continue the log of entries %d to %d", entries[0].Index, base+1, lastIndex)
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return errors.Newf("entry %d does not directly follow entry %d", entries[i].Index, entries[i-1].Index)
		}
	}
	return nil
}
