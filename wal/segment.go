package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

// load reads the folder and opens its last segment for writing. It syncs the folder and the
// segment, because an earlier process may have ended before it had synced what is read here.
func (l *FolderLog) load() (*RecoveredState, error) {
	if err := syncFolder(l.files, l.folder); err != nil {
		return nil, err
	}
	snapshotIdentity, snapshot, err := readNewestSnapshot(l.files, l.folder)
	if err != nil {
		return nil, err
	}
	r := &segmentReader{}
	if snapshot != nil {
		r.snapshotIndex = snapshot.Index
	}
	if err := l.readSegments(r, snapshot != nil); err != nil {
		return nil, err
	}
	if !r.hasHeader {
		return l.initialize()
	}
	if snapshot != nil && snapshotIdentity != r.identity {
		path := filepath.Join(l.folder, snapshotName(uint64(snapshot.Index)))
		return nil, newDamageError(path, 0, 1, "snapshot belongs to another member")
	}
	l.restore(r)
	return l.reconcile(r, snapshot)
}

// initialize creates the first segment of an empty folder under a new identity.
func (l *FolderLog) initialize() (*RecoveredState, error) {
	l.identity = newIdentity()
	if err := l.startSegment(false); err != nil {
		return nil, err
	}
	return &RecoveredState{Identity: l.identity}, syncFolder(l.files, filepath.Dir(filepath.Clean(l.folder)))
}

// readSegments reads all segments and truncates an incomplete record at the end.
func (l *FolderLog) readSegments(r *segmentReader, haveSnapshot bool) error {
	numbers, err := listNumberedFiles(l.files, l.folder, segmentPrefix)
	if err != nil {
		return err
	}
	if len(numbers) == 0 && haveSnapshot {
		return newDamageError(l.segmentPath(1), 0, 0, "snapshot exists but the log is missing")
	}
	for i, number := range numbers {
		path := l.segmentPath(number)
		if i > 0 && number != numbers[i-1]+1 {
			return newDamageError(l.segmentPath(number-1), 0, 0, "segment is missing")
		}
		content, err := l.files.Read(path)
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		isLast := i == len(numbers)-1
		valid, highest, err := r.readSegment(path, number, content, isLast)
		if err != nil {
			return err
		}
		l.segments = append(l.segments, segment{number: number, highestIndex: highest, bytes: valid})
		if isLast {
			return l.openLastSegment(path, valid, int64(len(content)))
		}
	}
	return nil
}

// openLastSegment opens the last segment for writing after its valid part.
func (l *FolderLog) openLastSegment(path string, valid, length int64) error {
	if valid == 0 {
		// A segment file gets its name only after its header is durable.
		return newDamageError(path, 0, 1, "segment has no valid header")
	}
	file, err := l.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	l.file, l.size = file, valid
	if valid < length {
		if err := file.Truncate(valid); err != nil {
			return errors.Wrap(err, "truncate incomplete record")
		}
	}
	return errors.Wrap(file.Sync(), "sync segment")
}

func (l *FolderLog) restore(r *segmentReader) {
	l.identity, l.hardState = r.identity, r.hardState
	l.base, l.baseTerm = r.base, r.baseTerm
	for _, e := range r.entries {
		l.terms = append(l.terms, e.Term)
	}
}

// reconcile completes a SaveSnapshot that was interrupted by a crash and returns the
// recovered state.
func (l *FolderLog) reconcile(r *segmentReader, snapshot *consensus.Snapshot) (*RecoveredState, error) {
	loaded := &RecoveredState{Identity: r.identity, HardState: r.hardState, Snapshot: snapshot}
	if snapshot == nil {
		if r.base > 0 {
			return nil, newDamageError(l.segmentPath(l.segments[0].number), 0, 1, "log starts after entry 1 but there is no snapshot")
		}
		loaded.Entries = r.entries
		return loaded, nil
	}
	l.snapshotBytes = snapshotFileBytes(r.identity, *snapshot)
	if r.base > snapshot.Index {
		return nil, newDamageError(l.segmentPath(l.segments[0].number), 0, 1, "entries between snapshot and log are missing")
	}
	if term, held := r.term(snapshot.Index); held && term == snapshot.Term {
		loaded.Entries = r.entries[snapshot.Index-r.base:]
	}
	reset := l.trimToSnapshot(snapshot.SnapshotMeta)
	if reset {
		if err := l.startSegment(true); err != nil {
			return nil, err
		}
	}
	return loaded, l.removeObsoleteFiles(snapshot.Index, reset)
}

// startSegment creates the next segment and directs later writes to it.
func (l *FolderLog) startSegment(reset bool) error {
	number := uint64(1)
	if len(l.segments) > 0 {
		number = l.segments[len(l.segments)-1].number + 1
	}
	lastTerm, _ := l.term(l.lastIndex())
	h := header{identity: l.identity, prevIndex: l.lastIndex(), prevTerm: lastTerm, reset: reset, hardState: l.hardState}
	content := encodeRecord(number, 0, recordHeader, h.encode())
	path := l.segmentPath(number)
	if err := writeFileDurably(l.files, path, content); err != nil {
		return err
	}
	file, err := l.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size = file, int64(len(content))
	l.segments = append(l.segments, segment{number: number, bytes: l.size})
	return nil
}

// removeSegments removes the oldest segments that hold no entry after the snapshot, or
// all segments except the last one. It syncs each removal, because a loss of power may
// otherwise undo one and keep the next.
func (l *FolderLog) removeSegments(all bool) error {
	for len(l.segments) > 1 && (all || l.segments[0].highestIndex <= l.snapshotIndex) {
		if err := l.files.Remove(l.segmentPath(l.segments[0].number)); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		if err := syncFolder(l.files, l.folder); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// appendRecord makes one record durable at the end of the last segment.
func (l *FolderLog) appendRecord(kind recordType, payload []byte) error {
	number := l.segments[len(l.segments)-1].number
	record := encodeRecord(number, l.size, kind, payload)
	if _, err := l.file.WriteAt(record, l.size); err != nil {
		return l.undoAppend(errors.Wrap(err, "write record"))
	}
	if err := l.file.Sync(); err != nil {
		return l.undoAppend(errors.Wrap(err, "sync segment"))
	}
	l.size += int64(len(record))
	l.segments[len(l.segments)-1].bytes = l.size
	return nil
}

// undoAppend removes what a full disk has taken of a record. Everything before it was synced earlier.
func (l *FolderLog) undoAppend(cause error) error {
	if !IsDiskFull(cause) {
		return cause
	}
	if err := l.file.Truncate(l.size); err != nil {
		return errors.Wrapf(err, "remove an incomplete record (%v)", cause)
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync the removal of an incomplete record (%v)", cause)
	}
	return errors.Mark(cause, ErrDiskFull)
}
