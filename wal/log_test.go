package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/consensus"
)

func entries(term consensus.Term, first, last consensus.Index) []consensus.Entry {
	var out []consensus.Entry
	for i := first; i <= last; i++ {
		out = append(out, consensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d of term %d", i, term)})
	}
	return out
}

func snapshot(index consensus.Index, term consensus.Term) consensus.Snapshot {
	members := []consensus.Member{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Learner: true}}
	meta := consensus.SnapshotMeta{Index: index, Term: term, Membership: consensus.Membership{Members: members}}
	return consensus.Snapshot{SnapshotMeta: meta, Data: fmt.Appendf(nil, "state at %d", index)}
}

func mustOpen(t *testing.T, folder string) (*FolderLog, *RecoveredState) {
	t.Helper()
	l, loaded, err := Open(folder)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, loaded
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, l *FolderLog) (*FolderLog, *RecoveredState) {
	t.Helper()
	must(t, l.Close())
	return mustOpen(t, l.folder)
}

func checkLoaded(t *testing.T, got *RecoveredState, hard consensus.HardState, want []consensus.Entry) {
	t.Helper()
	if got.HardState != hard {
		t.Errorf("hard state is %v, want %v", got.HardState, hard)
	}
	equal := func(a, b consensus.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
	}
	if !slices.EqualFunc(got.Entries, want, equal) {
		t.Errorf("entries are %v, want %v", got.Entries, want)
	}
}

// TestReopen guards against a lost or changed identity, vote, entry or truncation.
func TestReopen(t *testing.T) {
	l, first := mustOpen(t, t.TempDir())
	must(t, l.Append(consensus.HardState{Term: 1, Vote: "x"}, entries(1, 1, 9)))
	must(t, l.Append(consensus.HardState{Term: 2}, entries(2, 5, 6)))
	hard := consensus.HardState{Term: 3, Vote: "y"}
	must(t, l.Append(hard, nil))
	_, second := reopen(t, l)
	if first.Identity == "" || second.Identity != first.Identity {
		t.Errorf("identity was %q and is %q", first.Identity, second.Identity)
	}
	checkLoaded(t, second, hard, append(entries(1, 1, 4), entries(2, 5, 6)...))
}

// TestSnapshotKeepsTail guards against the loss of entries behind a snapshot, of the
// hard state with old segments, and against old files that are never removed.
func TestSnapshotKeepsTail(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	hard := consensus.HardState{Term: 2, Vote: "v"}
	must(t, l.Append(hard, entries(2, 1, 20)))
	must(t, l.SaveSnapshot(snapshot(10, 2)))
	must(t, l.Append(hard, entries(2, 21, 25)))
	must(t, l.SaveSnapshot(snapshot(25, 2)))
	must(t, l.Append(hard, entries(2, 26, 26)))
	l, loaded := reopen(t, l)
	checkLoaded(t, loaded, hard, entries(2, 26, 26))
	if loaded.Snapshot == nil || string(loaded.Snapshot.Data) != "state at 25" || len(loaded.Snapshot.Membership.Members) != 2 {
		t.Errorf("snapshot is %+v", loaded.Snapshot)
	}
	files, err := os.ReadDir(l.folder)
	must(t, err)
	if len(files) != 3 {
		t.Errorf("files are %v, want lock, one segment and one snapshot", files)
	}
}

// TestInstalledSnapshotDropsConflictingEntries guards against entries of a deposed
// leader that come back behind a snapshot, also when the process ends between the
// writing of the snapshot and that of the log.
func TestInstalledSnapshotDropsConflictingEntries(t *testing.T) {
	for _, interrupted := range []bool{false, true} {
		l, _ := mustOpen(t, t.TempDir())
		must(t, l.Append(consensus.HardState{Term: 2}, entries(2, 1, 20)))
		if interrupted {
			must(t, writeSnapshot(l.folder, l.identity, snapshot(10, 3)))
		} else {
			must(t, l.SaveSnapshot(snapshot(10, 3)))
		}
		l, loaded := reopen(t, l)
		checkLoaded(t, loaded, consensus.HardState{Term: 2}, nil)
		must(t, l.Append(consensus.HardState{Term: 3}, entries(3, 11, 12)))
		_, loaded = reopen(t, l)
		checkLoaded(t, loaded, consensus.HardState{Term: 3}, entries(3, 11, 12))
	}
}

// TestTornRecordIsCut guards against a start that fails, or that keeps half a record,
// after a crash at any byte of the last write.
func TestTornRecordIsCut(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	hard := consensus.HardState{Term: 1}
	must(t, l.Append(hard, entries(1, 1, 3)))
	kept := l.size
	must(t, l.Append(hard, entries(1, 4, 5)))
	path := l.segmentPath(1)
	content, err := os.ReadFile(path)
	must(t, err)
	for length := kept; length < int64(len(content)); length++ {
		zeroed := append(slices.Clone(content[:length]), make([]byte, 40)...)
		for _, torn := range [][]byte{content[:length], zeroed} {
			must(t, l.Close())
			must(t, os.WriteFile(path, torn, fileMode))
			var loaded *RecoveredState
			l, loaded = mustOpen(t, l.folder)
			checkLoaded(t, loaded, hard, entries(1, 1, 3))
		}
	}
}

// TestQuotedRecordIsNotValid guards against a start that fails because an incomplete
// record holds, as data, the bytes of a valid record.
func TestQuotedRecordIsNotValid(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	quoted := encodeRecord(1, l.size, recordBatch, encodeBatch(consensus.HardState{Term: 9}, nil))
	must(t, l.Append(consensus.HardState{Term: 1}, []consensus.Entry{{Index: 1, Term: 1, Data: append(quoted, 0, 0)}}))
	must(t, os.Truncate(l.segmentPath(1), l.size-1))
	_, loaded := reopen(t, l)
	checkLoaded(t, loaded, consensus.HardState{}, nil)
}

// TestDamageInFrontOfValidRecords guards against a start that cuts acknowledged
// entries, and against an error that does not name the place.
func TestDamageInFrontOfValidRecords(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	must(t, l.Append(consensus.HardState{Term: 1}, entries(1, 1, 3)))
	start := l.size
	must(t, l.Append(consensus.HardState{Term: 1}, entries(1, 4, 5)))
	end := l.size
	must(t, l.Append(consensus.HardState{Term: 1}, entries(1, 6, 6)))
	must(t, l.Close())
	path := l.segmentPath(1)
	content, err := os.ReadFile(path)
	must(t, err)
	for at := start; at < end; at++ {
		bad := slices.Clone(content)
		bad[at] ^= 0x40
		must(t, os.WriteFile(path, bad, fileMode))
		_, _, err := Open(l.folder)
		checkDamaged(t, err, path, fmt.Sprintf("offset %d", start), "record 3")
	}
}

func checkDamaged(t *testing.T, err error, parts ...string) {
	t.Helper()
	var coded *rescode.Error
	if !errors.As(err, &coded) || coded.Code != rescode.DataFolderDamaged {
		t.Fatalf("error is %v, want one with DataFolderDamaged", err)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Fatalf("error %q does not name %q", err, part)
		}
	}
}

// TestMissingFiles guards against a start without a segment in the middle, without the
// snapshot that the log continues, without the log, or with a damaged snapshot.
func TestMissingFiles(t *testing.T) {
	flip := func(path string) error {
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		content[len(content)-1] ^= 1
		return os.WriteFile(path, content, fileMode)
	}
	for _, c := range []struct {
		name string
		harm func(string) error
	}{
		{segmentName(3), os.Remove},
		{segmentName(2), os.Remove},
		{snapshotName(10), os.Remove},
		{snapshotName(10), flip},
	} {
		l, _ := mustOpen(t, t.TempDir())
		hard := consensus.HardState{Term: 2}
		must(t, l.Append(hard, entries(2, 1, 10)))
		must(t, l.SaveSnapshot(snapshot(10, 2)))
		must(t, l.Append(hard, entries(2, 11, 12)))
		must(t, l.startSegment(false))
		must(t, l.Append(hard, entries(2, 13, 14)))
		must(t, l.startSegment(false))
		must(t, l.Close())
		must(t, c.harm(filepath.Join(l.folder, c.name)))
		_, _, err := Open(l.folder)
		checkDamaged(t, err, l.folder)
	}
}

// TestLogIsLost guards against a member that keeps its snapshot, loses its log, and
// could vote a second time under its old identity.
func TestLogIsLost(t *testing.T) {
	l, before := mustOpen(t, t.TempDir())
	must(t, l.Append(consensus.HardState{Term: 2}, entries(2, 1, 10)))
	must(t, l.Close())
	must(t, os.Remove(l.segmentPath(1)))
	_, after := mustOpen(t, l.folder)
	if after.Identity == before.Identity {
		t.Error("the identity outlived the log")
	}
	folder := t.TempDir()
	must(t, writeSnapshot(folder, "x", snapshot(10, 2)))
	_, _, err := Open(folder)
	checkDamaged(t, err, folder)
}

// TestFailedWriteIsFinal guards against an Append that is reported durable after an
// earlier one failed.
func TestFailedWriteIsFinal(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	must(t, l.file.Close())
	for range 2 {
		if err := l.Append(consensus.HardState{Term: 1}, nil); err == nil {
			t.Fatal("Append on a closed file succeeded")
		}
	}
	l.file = nil
	if err := l.Append(consensus.HardState{Term: 1}, nil); !errors.Is(err, ErrFailed) {
		t.Fatalf("error is %v, want ErrFailed", err)
	}
}

// TestSecondProcessIsRefused guards against two processes that write to one folder.
func TestSecondProcessIsRefused(t *testing.T) {
	l, _ := mustOpen(t, t.TempDir())
	if _, _, err := Open(l.folder); err == nil {
		t.Fatal("the folder was opened twice")
	}
	must(t, l.Close())
	mustOpen(t, l.folder)
}
