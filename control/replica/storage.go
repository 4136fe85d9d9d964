package replica

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
)

// Recovered describes what the data folder held when it was opened.
type Recovered struct {
	Term, LastIndex, SnapshotIndex uint64
	// Voters and Learners count the members in the newest membership. Both are 0 if the
	// replica waits until a leader adds it.
	Voters, Learners int
}

// Recovered returns what the data folder held. It must be called before Run.
func (r *Replica) Recovered() (Recovered, error) {
	out := Recovered{Term: uint64(r.hardState.Term)}
	m := consensus.Membership{}
	if r.snapshot != nil {
		out.SnapshotIndex = uint64(r.snapshot.Index)
		out.LastIndex = out.SnapshotIndex
		m = r.snapshot.Membership
	}
	for _, e := range r.recovered.Entries {
		out.LastIndex = uint64(e.Index)
		if e.Kind != consensus.EntryMembership {
			continue
		}
		next, err := consensus.DecodeMembership(e.Data)
		if err != nil {
			return out, errors.Wrapf(err, "membership in log entry %d", e.Index)
		}
		m = next
	}
	out.Voters = m.VoterCount()
	out.Learners = len(m.Members) - out.Voters
	return out, nil
}

// saveFirstMembership writes the first membership as a snapshot.
func (r *Replica) saveFirstMembership(m consensus.Membership) error {
	first := consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: firstMembershipIndex, Term: 1, Membership: m}}
	if err := r.wal.SaveSnapshot(first); err != nil {
		return err
	}
	r.snapshot = &first
	r.log.Infof("formed the first membership with %d voters", m.VoterCount())
	return nil
}

func (r *Replica) persist(ready consensus.Ready) error {
	if r.isWaitingForRoom() && (ready.Snapshot != nil || ready.HardState != nil || len(ready.Entries) > 0) {
		return wal.ErrDiskFull
	}
	// A snapshot is returned again if the entries behind it had no room.
	if s := ready.Snapshot; s != nil && s.Index > r.snapshotIndex() {
		if err := r.installSnapshot(s); err != nil {
			return r.noteWrite(err)
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	if ready.HardState != nil {
		r.hardState = *ready.HardState
	}
	return r.append(ready)
}

// installSnapshot replaces the state with the leader's snapshot.
func (r *Replica) installSnapshot(s *consensus.Snapshot) error {
	if err := r.wal.SaveSnapshot(*s); err != nil {
		return err
	}
	r.snapshot = s
	r.failPending("the state was replaced by a snapshot")
	metricSnapshotsInstalled.Inc()
	r.log.Infof("installed the leader's snapshot at index %d", s.Index)
	return r.restore(*s)
}

// saveSnapshotIfDue saves a snapshot if enough entries were applied since the last one, or if the log
// uses too much of the disk.
func (r *Replica) saveSnapshotIfDue() error {
	last := r.snapshotIndex()
	isDue := r.applied >= last+consensus.Index(r.config.SnapshotEntries)
	if r.now() < r.fullDisk.snapshotAt || !isDue && !(r.applied > last && r.isLogLarge()) {
		return nil
	}
	return r.saveSnapshot()
}

func (r *Replica) snapshotIndex() consensus.Index {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// isLogLarge reports whether the log uses its part of the disk, and a snapshot would remove at least
// half of it. A large snapshot leaves the log a smaller part, because for a moment its successor lies
// beside it.
func (r *Replica) isLogLarge() bool {
	use := r.measureDiskUse()
	limit := r.config.DiskBytes / logDiskDivisor
	limit = min(limit, max(0, r.config.DiskBytes/2-use.SnapshotBytes)/2)
	return use.LogBytes >= limit-limit/logMarginDivisor && r.wal.Removable(r.applied) >= use.LogBytes/2
}

// measureDiskUse returns the use of the disk and sets its gauges.
func (r *Replica) measureDiskUse() wal.Usage {
	use := r.wal.Usage()
	metricLogBytes.Set(float64(use.LogBytes))
	metricSnapshotBytes.Set(float64(use.SnapshotBytes))
	return use
}

// saveSnapshot saves a snapshot of the applied state and drops the entries before it. A snapshot for which there is
// no room is delayed, which is no error.
func (r *Replica) saveSnapshot() error {
	meta, ok := r.node.SnapshotMeta(r.applied)
	if !ok {
		return nil
	}
	data, err := r.applier.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot of the state")
	}
	s := consensus.Snapshot{SnapshotMeta: meta, Data: data}
	if err := r.wal.SaveSnapshot(s); errors.Is(err, wal.ErrDiskFull) {
		// The log goes on while there is room for it.
		r.delaySnapshot(err)
		return nil
	} else if err != nil {
		return err
	}
	r.fullDisk.retryAt = 0
	r.snapshot = &s
	keptBytes := int(r.config.DiskBytes / keptDiskDivisor)
	r.node.Compact(r.node.CompactionIndex(meta.Index, entriesKeptAfterSnapshot, keptBytes), meta)
	metricSnapshotsSaved.Inc()
	return nil
}

func (r *Replica) restore(s consensus.Snapshot) error {
	r.applied = s.Index
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Wrapf(r.applier.Restore(s.Data), "restore the state at index %d", s.Index)
}
