package consensus

import (
	"fmt"
	"slices"
)

// entryLog is the in-memory log. It holds the entries after base.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry

	// synced is the highest index that the caller reported as durable.
	synced    Index
	committed Index
	applied   Index

	// memberships are ordered by index; the first one is in effect at base.
	memberships []indexedMembership
	snapshot    SnapshotMeta
	// leader is the leader of leaderTerm, the newest term whose first entry has been in
	// the log. It is empty if that entry does not name the leader.
	leader     ID
	leaderTerm Term
	// pendingSnapshot is a received snapshot that is not yet durable.
	pendingSnapshot *Snapshot
}

type indexedMembership struct {
	index      Index
	membership Membership
}

func newEntryLog(snapshot SnapshotMeta, entries []Entry) (*entryLog, error) {
	l := &entryLog{
		base:        snapshot.Index,
		baseTerm:    snapshot.Term,
		committed:   snapshot.Index,
		applied:     snapshot.Index,
		memberships: []indexedMembership{{snapshot.Index, snapshot.Membership}},
		snapshot:    snapshot,
	}
	for _, e := range entries {
		if e.Index <= l.base {
			continue
		}
		if e.Index != l.lastIndex()+1 {
			return nil, fmt.Errorf("consensus: entry %d does not directly follow entry %d", e.Index, l.lastIndex())
		}
		if err := l.append(e); err != nil {
			return nil, err
		}
	}
	l.synced = l.lastIndex()
	return l, nil
}

func (l *entryLog) lastIndex() Index {
	return l.base + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry, and false if the log does not hold the entry.
func (l *entryLog) term(i Index) (Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// slice returns the entries from first to last, both inclusive.
func (l *entryLog) slice(first, last Index) []Entry {
	if first > last {
		return nil
	}
	return slices.Clip(l.entries[first-l.base-1 : last-l.base])
}

// messageEntries returns the entries from first on for one message, at most count of
// them and limited in size.
func (l *entryLog) messageEntries(first Index, count int) []Entry {
	end, size := first, 0
	for end <= l.lastIndex() && end-first < Index(count) && size < maxBytesPerMessage {
		size += len(l.entries[end-l.base-1].Data)
		end++
	}
	return l.slice(first, end-1)
}

// append adds an entry and updates the membership and the known leader from it.
func (l *entryLog) append(e Entry) error {
	if e.Kind == EntryEmpty && e.Term >= l.leaderTerm {
		l.leader, l.leaderTerm = ID(e.Data), e.Term
	}
	if e.Kind == EntryMembership {
		m, err := DecodeMembership(e.Data)
		if err != nil {
			return err
		}
		l.memberships = append(l.memberships, indexedMembership{e.Index, m})
	}
	l.entries = append(l.entries, e)
	return nil
}

// merge adds a leader's entries, which follow a matching entry. Conflicting entries are
// replaced; entries that the log already holds are left unchanged.
func (l *entryLog) merge(entries []Entry) error {
	for _, e := range entries {
		if e.Index <= l.committed {
			continue
		}
		if term, held := l.term(e.Index); held && term == e.Term {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncateFrom(e.Index)
		}
		if err := l.append(e); err != nil {
			return err
		}
	}
	return nil
}

// truncateFrom removes the entries from first on.
func (l *entryLog) truncateFrom(first Index) {
	if first <= l.committed {
		panic(fmt.Sprintf("consensus: truncation at %d would remove entries committed up to %d", first, l.committed))
	}
	// The backing array may be shared with a Ready or a message, so later entries must
	// not overwrite it.
	l.entries = slices.Clone(l.entries[:first-l.base-1])
	l.synced = min(l.synced, first-1)
	for l.membershipIndex() >= first {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// conflictHint returns the highest index at or before i that could match a leader whose
// entry i has a different term.
func (l *entryLog) conflictHint(i Index) Index {
	conflicting, held := l.term(i)
	if !held {
		return l.lastIndex()
	}
	for i > l.committed {
		term, held := l.term(i)
		if !held || term != conflicting {
			break
		}
		i--
	}
	return i
}

func (l *entryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *entryLog) membershipIndex() Index {
	return l.memberships[len(l.memberships)-1].index
}

func (l *entryLog) membershipAt(i Index) Membership {
	m := l.memberships[0].membership
	for _, change := range l.memberships[1:] {
		if change.index <= i {
			m = change.membership
		}
	}
	return m
}

// entriesToApply returns the committed and durable entries that are not yet applied.
func (l *entryLog) entriesToApply() []Entry {
	if l.pendingSnapshot != nil {
		return nil
	}
	return l.slice(l.applied+1, min(l.committed, l.synced))
}

// unsynced returns the entries that are not yet durable.
func (l *entryLog) unsynced() []Entry {
	return l.slice(max(l.synced, l.base)+1, l.lastIndex())
}

// markSynced records that the log was durable up to the given entry. The entry may have
// been replaced since it was returned by Ready.
func (l *entryLog) markSynced(e Entry) {
	if term, held := l.term(e.Index); held && term == e.Term {
		l.synced = max(l.synced, e.Index)
	}
}

// compact drops the entries up to upTo.
func (l *entryLog) compact(upTo Index) {
	if upTo <= l.base {
		return
	}
	term, _ := l.term(upTo)
	effective := l.membershipAt(upTo)
	later := slices.DeleteFunc(slices.Clone(l.memberships), func(m indexedMembership) bool { return m.index <= upTo })
	index := upTo
	for _, m := range l.memberships {
		if m.index <= upTo {
			index = m.index
		}
	}
	l.memberships = append([]indexedMembership{{index, effective}}, later...)
	l.entries = slices.Clone(l.entries[upTo-l.base:])
	l.base, l.baseTerm = upTo, term
}

// install replaces the whole log with a snapshot.
func (l *entryLog) install(s *Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.synced = 0
	l.committed = s.Index
	l.applied = s.Index
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
	l.snapshot = s.SnapshotMeta
	l.pendingSnapshot = s
}
