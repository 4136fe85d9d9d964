package wal

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

// replay collects the content of segments in their order.
type replay struct {
	identity consensus.ID
	hard     consensus.HardState
	// base is the entry before entries[0].
	base     consensus.Index
	baseTerm consensus.Term
	entries  []consensus.Entry
	// started is true after the first header.
	started bool
}

func (r *replay) last() consensus.Index {
	return r.base + consensus.Index(len(r.entries))
}

func (r *replay) term(i consensus.Index) (consensus.Term, bool) {
	if i == r.base {
		return r.baseTerm, true
	}
	if i < r.base || i > r.last() {
		return 0, false
	}
	return r.entries[i-r.base-1].Term, true
}

// segment takes in the content of a segment file. It returns the length of the valid
// part and the highest index written in it. Only the last segment may end with an
// incomplete record.
func (r *replay) segment(path string, number uint64, content []byte, isLast bool) (int64, consensus.Index, error) {
	offset, highest := int64(0), consensus.Index(0)
	for record := 1; offset < int64(len(content)); record++ {
		kind, payload, ok := decodeRecord(number, content, offset)
		if !ok {
			if !isLast || validRecordAfter(number, content, offset) {
				return 0, 0, damaged(path, offset, record, "invalid record in front of valid ones")
			}
			break
		}
		top, err := r.record(kind, payload, record == 1)
		if err != nil {
			return 0, 0, damaged(path, offset, record, err.Error())
		}
		highest = max(highest, top)
		offset += int64(recordOverhead + len(payload))
	}
	if offset == 0 && !isLast {
		return 0, 0, damaged(path, 0, 1, "the segment has no header")
	}
	return offset, highest, nil
}

// record takes in one record and returns the highest index in it.
func (r *replay) record(kind recordType, payload []byte, first bool) (consensus.Index, error) {
	switch {
	case first && kind == recordHeader:
		return 0, r.header(payload)
	case !first && kind == recordBatch:
		return r.batch(payload)
	default:
		return 0, errors.Newf("record type %d is out of place", kind)
	}
}

func (r *replay) header(payload []byte) error {
	h, ok := decodeHeader(payload)
	if !ok {
		return errors.New("malformed header")
	}
	if r.started && h.identity != r.identity {
		return errors.Newf("header of member %s in the log of member %s", h.identity, r.identity)
	}
	if !r.started || h.reset {
		r.base, r.baseTerm, r.entries = h.prevIndex, h.prevTerm, nil
	}
	if term, held := r.term(r.last()); h.prevIndex != r.last() || !held || term != h.prevTerm {
		return errors.Newf("the segment continues entry %d, the log ends at %d", h.prevIndex, r.last())
	}
	r.identity, r.hard, r.started = h.identity, h.hard, true
	return nil
}

func (r *replay) batch(payload []byte) (consensus.Index, error) {
	hard, entries, ok := decodeBatch(payload)
	if !ok {
		return 0, errors.New("malformed batch")
	}
	r.hard = hard
	if len(entries) == 0 {
		return 0, nil
	}
	if err := checkSequence(entries, r.base, r.last()); err != nil {
		return 0, err
	}
	r.entries = append(r.entries[:entries[0].Index-r.base-1], entries...)
	return entries[len(entries)-1].Index, nil
}

// checkSequence reports whether entries can be added to a log that holds the entries
// behind base up to last. They may replace its tail.
func checkSequence(entries []consensus.Entry, base, last consensus.Index) error {
	if entries[0].Index <= base || entries[0].Index > last+1 {
		return errors.Newf("entry %d does not continue a log of entries %d to %d", entries[0].Index, base+1, last)
	}
	for i := 1; i < len(entries); i++ {
		if entries[i].Index != entries[i-1].Index+1 {
			return errors.Newf("entry %d follows entry %d", entries[i].Index, entries[i-1].Index)
		}
	}
	return nil
}
