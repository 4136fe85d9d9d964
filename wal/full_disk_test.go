package wal_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
	"github.com/jayloom/jayloom/wal/simdisk"
)

const (
	// entryBytes is the size of an entry in these tests, stateBytes that of a snapshot's data.
	entryBytes, stateBytes = 1000, 3000
	// unlimited is the capacity of a log that is not to keep room for snapshots.
	unlimited = 0
)

func newDisk(seed uint64) *simdisk.Disk {
	return simdisk.New(rand.New(rand.NewPCG(seed, 0)))
}

func openWithin(t *testing.T, disk *simdisk.Disk, capacity int64) (*wal.FolderLog, *wal.RecoveredState) {
	t.Helper()
	log, recovered, err := wal.OpenWithin(disk, dataFolder, capacity)
	if err != nil {
		t.Fatal(err)
	}
	return log, recovered
}

// appendOne appends one entry of entryBytes.
func appendOne(log *wal.FolderLog, index consensus.Index) error {
	e := consensus.Entry{Index: index, Term: 1, Data: bytes.Repeat([]byte{byte(index)}, entryBytes)}
	return log.Append(consensus.HardState{Term: 1}, []consensus.Entry{e})
}

// fill appends entries until the disk is full and returns the index of the last one.
func fill(t *testing.T, log *wal.FolderLog, first consensus.Index) consensus.Index {
	t.Helper()
	for index := first; ; index++ {
		err := appendOne(log, index)
		if errors.Is(err, wal.ErrDiskFull) {
			return index - 1
		}
		if err != nil {
			t.Fatalf("entry %d: %v", index, err)
		}
	}
}

func stateSnapshot(index consensus.Index) consensus.Snapshot {
	return consensus.Snapshot{
		SnapshotMeta: consensus.SnapshotMeta{Index: index, Term: 1}, Data: bytes.Repeat([]byte{7}, stateBytes),
	}
}

// checkRecovered fails unless a folder holds all up to last, in a snapshot and the entries after it.
func checkRecovered(t *testing.T, recovered *wal.RecoveredState, last consensus.Index) {
	t.Helper()
	end := consensus.Index(0)
	if recovered.Snapshot != nil {
		end = recovered.Snapshot.Index
	}
	for _, e := range recovered.Entries {
		end++
		if e.Index != end || len(e.Data) != entryBytes || e.Data[0] != byte(e.Index) {
			t.Fatalf("entry %d with %d bytes was read at %d", e.Index, len(e.Data), end)
		}
	}
	if end < last {
		t.Fatalf("the log ends at %d, %d was reported as durable", end, last)
	}
}

// TestFullDiskTakesWritesAgain guards against a log that has failed for good after a write for which there was no
// room, and against what such a write leaves in the segment.
func TestFullDiskTakesWritesAgain(t *testing.T) {
	for seed := range uint64(20) {
		disk := newDisk(seed)
		disk.SetCapacity(20_000 + int64(seed)*50)
		log, _ := openWithin(t, disk, unlimited)
		last := fill(t, log, 1)
		if err := appendOne(log, last+1); !errors.Is(err, wal.ErrDiskFull) {
			t.Fatalf("a second write to the full disk: %v", err)
		}
		disk.SetCapacity(40_000)
		end := fill(t, log, last+1)
		if end < last+10 {
			t.Fatalf("the disk was full at %d and with room again at %d", last, end)
		}
		disk.LosePower()
		_, recovered := openWithin(t, disk, unlimited)
		checkRecovered(t, recovered, end)
	}
}

// TestBrokenDiskIsNotFull guards against a broken disk that is taken for a full one, after which the log would be
// used further.
func TestBrokenDiskIsNotFull(t *testing.T) {
	disk := newDisk(1)
	log, _ := openWithin(t, disk, unlimited)
	disk.FailAfter(0)
	if err := appendOne(log, 1); err == nil || wal.IsDiskFull(err) {
		t.Errorf("a write to a broken disk: %v", err)
	}
	disk.Repair()
	if err := appendOne(log, 1); !errors.Is(err, wal.ErrFailed) {
		t.Errorf("the next write: %v", err)
	}
}

// TestSnapshotWithoutRoomChangesNothing guards against a log that ends, or a file that stays, after a snapshot for
// which there was no room.
func TestSnapshotWithoutRoomChangesNothing(t *testing.T) {
	disk := newDisk(1)
	disk.SetCapacity(20_000)
	log, _ := openWithin(t, disk, unlimited)
	last := fill(t, log, 1)
	used := disk.Used()
	if err := log.SaveSnapshot(stateSnapshot(last)); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("snapshot on a full disk: %v", err)
	}
	if disk.Used() != used {
		t.Errorf("the disk holds %d bytes, %d before", disk.Used(), used)
	}
	disk.SetCapacity(20_000 + 2*stateBytes)
	if err := log.SaveSnapshot(stateSnapshot(last)); err != nil {
		t.Fatalf("snapshot with room again: %v", err)
	}
	end := fill(t, log, last+1)
	disk.LosePower()
	_, recovered := openWithin(t, disk, unlimited)
	checkRecovered(t, recovered, end)
}

// TestRoomIsKeptForASnapshot guards against a log that uses the room that its own cut needs.
func TestRoomIsKeptForASnapshot(t *testing.T) {
	const capacity = 64_000
	disk := newDisk(1)
	disk.SetCapacity(capacity)
	log, _ := openWithin(t, disk, capacity)
	last := consensus.Index(0)
	for round := range 20 {
		next := fill(t, log, last+1)
		if next < last+5 {
			t.Fatalf("round %d: only entries %d to %d had room", round, last+1, next)
		}
		last = next
		if err := log.SaveSnapshot(stateSnapshot(last)); err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	disk.LosePower()
	_, recovered := openWithin(t, disk, capacity)
	checkRecovered(t, recovered, last)
}

// TestPowerLossDuringCutOfNearlyFullDisk loses power at each step of a snapshot and of the removal of the log that
// it replaces, on a disk that has just the room that is kept. Guards against confirmed entries that are lost, and
// against a folder that cannot be opened or used because the remains of the cut fill the disk.
func TestPowerLossDuringCutOfNearlyFullDisk(t *testing.T) {
	const capacity = 64_000
	for seed := range uint64(30) {
		for step := 0; ; step++ {
			disk := simdisk.New(rand.New(rand.NewPCG(seed, uint64(step))))
			disk.SetCapacity(capacity)
			log, _ := openWithin(t, disk, capacity)
			last := fill(t, log, 1)
			if err := log.SaveSnapshot(stateSnapshot(last - 3)); err != nil {
				t.Fatal(err)
			}
			last = fill(t, log, last+1)
			disk.FailAfter(step)
			cutErr := log.SaveSnapshot(stateSnapshot(last - consensus.Index(seed%3)))
			disk.LosePower()
			log, recovered := openWithin(t, disk, capacity)
			checkRecovered(t, recovered, last)
			if err := log.SaveSnapshot(stateSnapshot(last + 1)); err != nil {
				t.Fatalf("seed %d, step %d: snapshot after the loss: %v; %d bytes used", seed, step, err, disk.Used())
			}
			checkUsable(t, log, last+1)
			if cutErr == nil {
				// The disk did not fail: there is no further step.
				break
			}
		}
	}
}

// checkUsable fails unless a log takes entries after an index.
func checkUsable(t *testing.T, log *wal.FolderLog, last consensus.Index) {
	t.Helper()
	if end := fill(t, log, last+1); end < last+5 {
		t.Fatalf("only entries %d to %d had room", last+1, end)
	}
}

// TestLogWithoutRoomForItsRestartSaysThatItFailed guards against a log that has failed for good and says that it can
// be used further: there was room for the leader's snapshot, but not for the segment behind it.
func TestLogWithoutRoomForItsRestartSaysThatItFailed(t *testing.T) {
	failed := 0
	for room := int64(0); room <= 400; room += 10 {
		disk := newDisk(1)
		log, _ := openWithin(t, disk, unlimited)
		if err := appendOne(log, 1); err != nil {
			t.Fatal(err)
		}
		disk.SetCapacity(disk.Used() + stateBytes + room)
		err := log.SaveSnapshot(stateSnapshot(100))
		if err == nil {
			continue
		}
		if !wal.IsDiskFull(err) {
			t.Fatalf("with %d bytes: %v", room, err)
		}
		next := appendOne(log, 2)
		if errors.Is(err, wal.ErrDiskFull) == errors.Is(next, wal.ErrFailed) {
			t.Errorf("with %d bytes: %v, and then %v", room, err, next)
		}
		if errors.Is(next, wal.ErrFailed) {
			failed++
		}
	}
	if failed == 0 {
		t.Error("the restart has always had room")
	}
}
