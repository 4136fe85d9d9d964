package wal

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
)

// maxSegmentBytes is the size at which a new segment is started, if the capacity of the disk does
// not ask for smaller ones.
const maxSegmentBytes = 16 << 20

// segmentsPerCapacity is the least number of full segments that fill the disk. A snapshot removes
// whole segments, so that small ones leave less behind it.
const segmentsPerCapacity = 32

// identityBytes is large enough that the probability of two equal identities is
// negligible.
const identityBytes = 16

// Log is the durable log of one member.
type Log interface {
	// Append makes the hard state and the entries durable. The entries replace all
	// existing ones from the index of the first one on.
	Append(hs consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot makes a snapshot durable and drops the entries that it includes, or
	// all entries if the log does not continue the snapshot.
	SaveSnapshot(s consensus.Snapshot) error
	// Usage returns the bytes on the disk.
	Usage() Usage
	// Removable returns how many bytes of the log a snapshot at an index would remove.
	Removable(index consensus.Index) int64
	Close() error
}

// Usage is the use of the disk by one member.
type Usage struct {
	// LogBytes and SnapshotBytes are the sizes of all segments and of the newest snapshot.
	LogBytes, SnapshotBytes int64
}

// RecoveredState is the state that a data folder held when it was opened.
type RecoveredState struct {
	// Identity is newly generated if the folder was empty.
	Identity  consensus.ID
	HardState consensus.HardState
	// Snapshot is nil if there is none.
	Snapshot *consensus.Snapshot
	// Entries are the entries after the snapshot.
	Entries []consensus.Entry
}

// ErrDiskFull is returned if there is no room for a write. Nothing of it remains, and the log can be used
// further.
var ErrDiskFull = errors.New("wal: the disk is full")

// ErrFailed is returned after a failed write, because it is then unknown what is
// durable.
var ErrFailed = errors.New("wal: an earlier write failed")

// FolderLog is a Log stored in a data folder.
type FolderLog struct {
	mu     sync.Mutex
	files  FileSystem
	folder string
	lock   io.Closer
	failed bool

	identity  consensus.ID
	hardState consensus.HardState
	// base is the index of the entry before terms[0].
	base          consensus.Index
	baseTerm      consensus.Term
	terms         []consensus.Term
	snapshotIndex consensus.Index
	snapshotBytes int64
	// capacity is the size of the disk in bytes, or 0 if it is not known.
	capacity int64

	// segments are in ascending order. The last one is open as file and ends at size.
	segments []segment
	file     File
	size     int64
}

type segment struct {
	number uint64
	// highestIndex is the highest index ever written to the segment.
	highestIndex consensus.Index
	bytes        int64
}

// Open opens a data folder. If the folder is empty or does not exist, Open creates it
// with a new identity.
func Open(folder string) (*FolderLog, *RecoveredState, error) {
	return OpenOn(OperatingSystem{}, folder)
}

// OpenOn opens a data folder of a file system whose capacity is not known.
func OpenOn(files FileSystem, folder string) (*FolderLog, *RecoveredState, error) {
	return OpenWithin(files, folder, 0)
}

// OpenWithin opens a data folder of a file system that holds capacity bytes.
func OpenWithin(files FileSystem, folder string, capacity int64) (*FolderLog, *RecoveredState, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, nil, errors.Wrap(err, "create data folder")
	}
	lock, err := files.Lock(folder)
	if err != nil {
		return nil, nil, err
	}
	l := &FolderLog{files: files, folder: folder, lock: lock, capacity: capacity}
	loaded, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, loaded, nil
}

// Append implements Log.
func (l *FolderLog) Append(hs consensus.HardState, entries []consensus.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return ErrFailed
	}
	if len(entries) > 0 {
		if err := checkSequence(entries, l.base, l.lastIndex()); err != nil {
			return errors.Wrap(err, "append")
		}
	}
	if len(entries) > 0 && !l.hasRoomFor(entries) {
		return errors.Wrap(ErrDiskFull, "room is kept for the next snapshot")
	}
	return l.failOnError(l.append(hs, entries))
}

func (l *FolderLog) append(hs consensus.HardState, entries []consensus.Entry) error {
	if l.size >= l.segmentLimit() {
		if err := l.startSegment(false); err != nil {
			return err
		}
	}
	if err := l.appendRecord(recordBatch, encodeBatch(hs, entries)); err != nil {
		return err
	}
	l.hardState = hs
	if len(entries) == 0 {
		return nil
	}
	l.terms = l.terms[:entries[0].Index-l.base-1]
	for _, e := range entries {
		l.terms = append(l.terms, e.Term)
	}
	current := &l.segments[len(l.segments)-1]
	current.highestIndex = max(current.highestIndex, l.lastIndex())
	return nil
}

// SaveSnapshot implements Log.
func (l *FolderLog) SaveSnapshot(s consensus.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed {
		return ErrFailed
	}
	if s.Index <= l.snapshotIndex {
		return errors.Newf("snapshot %d is not newer than snapshot %d", s.Index, l.snapshotIndex)
	}
	return l.failOnError(l.saveSnapshot(s))
}

func (l *FolderLog) saveSnapshot(s consensus.Snapshot) error {
	if err := writeSnapshot(l.files, l.folder, l.identity, s); err != nil {
		return err
	}
	l.snapshotBytes = snapshotFileBytes(l.identity, s)
	if l.trimToSnapshot(s.SnapshotMeta) {
		return l.restartLog(s.Index)
	}
	// What is removed first makes room for the next segment.
	if err := l.removeObsoleteFiles(s.Index, false); err != nil {
		return err
	}
	err := l.startSegment(false)
	if errors.Is(err, ErrDiskFull) {
		// The snapshot is complete. The segment stays in use and is removed by a later one.
		return nil
	}
	if err != nil {
		return err
	}
	return l.removeObsoleteFiles(s.Index, false)
}

// restartLog continues the log after a snapshot that it does not lead to.
func (l *FolderLog) restartLog(snapshot consensus.Index) error {
	if err := l.startSegment(true); err != nil {
		// The segments hold entries that memory does not. They are removed when the folder is opened.
		l.failed = true
		if errors.Is(err, ErrDiskFull) {
			// The log cannot be used further, as ErrDiskFull would say.
			return errors.Wrapf(syscall.ENOSPC, "restart the log behind snapshot %d", snapshot)
		}
		return err
	}
	return l.removeObsoleteFiles(snapshot, true)
}

// trimToSnapshot drops from memory the entries that a snapshot includes, or all entries
// if the log does not continue the snapshot. It returns true in the second case, in
// which the header of the next segment must be marked as a reset.
func (l *FolderLog) trimToSnapshot(s consensus.SnapshotMeta) bool {
	term, held := l.term(s.Index)
	isContinued := held && term == s.Term
	if isContinued {
		l.terms = append([]consensus.Term(nil), l.terms[s.Index-l.base:]...)
	} else {
		l.terms = nil
	}
	l.base, l.baseTerm = s.Index, s.Term
	l.snapshotIndex = s.Index
	return !isContinued
}

// removeObsoleteFiles removes the files that a durable snapshot replaces.
func (l *FolderLog) removeObsoleteFiles(snapshot consensus.Index, reset bool) error {
	if err := l.removeSegments(reset); err != nil {
		return err
	}
	return removeSnapshotsBefore(l.files, l.folder, snapshot)
}

// segmentLimit returns the size at which a new segment is started.
func (l *FolderLog) segmentLimit() int64 {
	if l.capacity == 0 {
		return maxSegmentBytes
	}
	return min(maxSegmentBytes, l.capacity/segmentsPerCapacity)
}

// hasRoomFor reports whether there is room for entries and, after them, for a snapshot beside the present
// one. A snapshot is at most as large as the present one and the entries since together.
func (l *FolderLog) hasRoomFor(entries []consensus.Entry) bool {
	if l.capacity == 0 {
		return true
	}
	needed := l.logBytes()
	for _, e := range entries {
		needed += int64(len(e.Data) + entryOverheadBytes)
	}
	return 2*(needed+l.snapshotBytes) <= l.capacity
}

// Usage implements Log.
func (l *FolderLog) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{LogBytes: l.logBytes(), SnapshotBytes: l.snapshotBytes}
}

func (l *FolderLog) logBytes() int64 {
	bytes := int64(0)
	for _, s := range l.segments {
		bytes += s.bytes
	}
	return bytes
}

// Removable implements Log.
func (l *FolderLog) Removable(index consensus.Index) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	bytes := int64(0)
	for _, s := range l.segments {
		if s.highestIndex > index {
			break
		}
		bytes += s.bytes
	}
	return bytes
}

// Close implements Log. It does not sync, because Append already has.
func (l *FolderLog) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = true
	var err error
	if l.file != nil {
		err = l.file.Close()
		l.file = nil
	}
	return errors.CombineErrors(err, l.lock.Close())
}

// failOnError makes later writes fail after a failed one. The kernel may drop the pages
// of a failed sync, so a retry could report lost data as durable. After ErrDiskFull, nothing of the
// write remains.
func (l *FolderLog) failOnError(err error) error {
	if err != nil && !errors.Is(err, ErrDiskFull) {
		l.failed = true
	}
	return err
}

func (l *FolderLog) lastIndex() consensus.Index {
	return l.base + consensus.Index(len(l.terms))
}

func (l *FolderLog) term(i consensus.Index) (consensus.Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.lastIndex() {
		return 0, false
	}
	return l.terms[i-l.base-1], true
}

func newIdentity() consensus.ID {
	random := make([]byte, identityBytes)
	// crypto/rand.Read crashes the process if the system provides no randomness.
	_, _ = rand.Read(random)
	return consensus.ID(hex.EncodeToString(random))
}

func (l *FolderLog) segmentPath(number uint64) string {
	return filepath.Join(l.folder, segmentName(number))
}
