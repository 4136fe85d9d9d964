package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
)

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 100 * time.Millisecond

// fullDiskSnapshotInterval is the time between two attempts to save a snapshot on a full disk, each of which
// writes the whole state.
const fullDiskSnapshotInterval = time.Second

// fullLeaderGrace is how long a leader whose disk alone is full waits for room before it gives way. A snapshot
// may make room sooner, and an election takes about as long.
const fullLeaderGrace = time.Second

// fullDisk is the state of a replica whose disk has no room. It keeps its role: a leader sends heartbeats
// and refuses proposals until it gives way to others that have room, a follower answers with what is durable. Writes
// are tried again until there is room.
type fullDisk struct {
	isFull  bool
	since   time.Duration
	retryAt time.Duration
	// snapshotAt is when a snapshot for which there was no room may be tried again.
	snapshotAt time.Duration
}

// IsDiskFull reports whether an error of Open or Run says that the disk is full, in contrast to broken.
func IsDiskFull(err error) bool {
	return wal.IsDiskFull(err)
}

// isWaitingForRoom reports whether the next attempt to write to a full disk is not yet due.
func (r *Replica) isWaitingForRoom() bool {
	return r.fullDisk.isFull && r.now() < r.fullDisk.retryAt
}

// append writes the entries and the hard state.
func (r *Replica) append(ready consensus.Ready) error {
	started := time.Now()
	err := r.noteWrite(r.wal.Append(r.hardState, ready.Entries))
	metricSyncSeconds.Update(time.Since(started).Seconds())
	return err
}

// noteWrite records whether the disk has had room for a write. It returns the error.
func (r *Replica) noteWrite(err error) error {
	switch {
	case errors.Is(err, wal.ErrDiskFull):
		r.enterFullDisk(err)
	case err == nil && r.fullDisk.isFull:
		r.leaveFullDisk()
	}
	return err
}

func (r *Replica) enterFullDisk(cause error) {
	r.fullDisk.retryAt = r.now() + fullDiskRetryInterval
	if r.fullDisk.isFull {
		return
	}
	r.fullDisk.isFull, r.fullDisk.since = true, r.now()
	metricDiskFull.Set(1)
	metricDiskFullTotal.Inc()
	use := r.wal.Usage()
	r.log.WithError(cause).WithField("event", "disk_full").WithField("log_bytes", use.LogBytes).
		WithField("snapshot_bytes", use.SnapshotBytes).Error("the disk is full; changes are refused until there is room")
}

func (r *Replica) leaveFullDisk() {
	lasted := r.now() - r.fullDisk.since
	r.fullDisk.isFull = false
	metricDiskFull.Set(0)
	r.log.WithField("event", "disk_has_room").WithField("lasted_ms", lasted.Milliseconds()).Info("the disk has room again")
}

// advanceWithoutRoom goes on after a write for which there was no room. It returns true if nothing is left
// to be written.
func (r *Replica) advanceWithoutRoom(ready consensus.Ready) bool {
	isDone := r.node.AdvanceUnsynced(ready, r.saveHardState(ready))
	r.applyEntries(ready.Committed)
	return isDone
}

// saveHardState writes the hard state without the entries for which there was no room. It is small, and
// votes depend on it.
func (r *Replica) saveHardState(ready consensus.Ready) bool {
	if ready.HardState == nil || ready.Snapshot != nil {
		return false
	}
	r.hardState = *ready.HardState
	if err := r.wal.Append(r.hardState, nil); err != nil {
		r.log.WithError(err).WithField("event", "disk_full").Debug("the term and vote are not written")
		return false
	}
	return true
}

// giveWay ends the leadership of this replica if a quorum of the others has had room for what it has not: while it
// leads, no change is confirmed.
func (r *Replica) giveWay() {
	if r.now() < r.fullDisk.since+fullLeaderGrace || !r.node.GiveWay(r.now()) {
		return
	}
	r.log.WithField("event", "disk_full").WithField("term", r.node.Term()).
		Warn("gave up the leadership, because other control VMs have room and this one has not")
}

// freeDisk cuts the log by a snapshot if that removes anything. The log has kept the room for one.
func (r *Replica) freeDisk() error {
	if r.applied <= r.snapshotIndex() || r.wal.Removable(r.applied) == 0 {
		return nil
	}
	if r.now() < r.fullDisk.snapshotAt {
		return nil
	}
	r.fullDisk.snapshotAt = r.now() + fullDiskSnapshotInterval
	return r.saveSnapshot()
}

// delaySnapshot logs that there was no room for a snapshot and lets the next one wait.
func (r *Replica) delaySnapshot(cause error) {
	r.fullDisk.snapshotAt = r.now() + fullDiskSnapshotInterval
	metricDiskFullTotal.Inc()
	r.log.WithError(cause).WithField("event", "disk_full").Error("the disk has no room for a snapshot; the log is not cut")
}
