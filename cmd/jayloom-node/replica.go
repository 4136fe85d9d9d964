package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/controlclient"
)

// reopenDelay is the time between a storage failure of the replica and the next attempt to
// open it.
const reopenDelay = time.Second

// runReplica runs the replica of the control state on a VM with a disk. When the disk fails,
// the node keeps serving callers without a vote and retries after reopenDelay.
func (n *node) runReplica(ctx context.Context) {
	for ctx.Err() == nil {
		r, err := n.openReplica()
		if err == nil {
			n.logOpened(r)
			n.leader.SetReplica(r)
			n.replicaEndpoint.SetReplica(r)
			err = r.Run(ctx)
		}
		n.replicaEndpoint.SetReplica(nil)
		if err == nil {
			return
		}
		n.log.WithError(err).WithField("event", storageEvent(err)).Error("replica failed; it will be reopened")
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// storageEvent names what ended a replica: a disk without room for what must be written, or a broken one.
func storageEvent(err error) string {
	if replica.IsDiskFull(err) {
		return "disk_full"
	}
	return "disk_lost"
}

// logOpened logs what the folder held, which tells a replica that lost entries from one that
// lacks a quorum.
func (n *node) logOpened(r *replica.Replica) {
	held, err := r.Recovered()
	entry := n.log.WithFields(logrus.Fields{
		"event": "disk_opened", "member": r.Status().Identity, "term": held.Term, "last_index": held.LastIndex,
		"snapshot_index": held.SnapshotIndex, "voters": held.Voters, "learners": held.Learners,
	})
	if err != nil {
		entry.WithError(err).Warn("replica opened; its log holds a membership that cannot be decoded")
		return
	}
	entry.Info("replica opened")
}

func (n *node) openReplica() (*replica.Replica, error) {
	return replica.Open(replica.Config{
		Folder: n.settings.DataFolder, Address: n.address, Voters: n.initialVoters(),
		DialOptions: dialOptions(), DiskBytes: n.settings.DiskBytes(), Log: n.log,
	}, n.leader.Store())
}

// voterIdentity returns the identity and address that the node reports to the leader, or the
// zero value while it has no replica.
func (n *node) voterIdentity() controlclient.Voter {
	r := n.replicaEndpoint.Replica()
	if r == nil {
		return controlclient.Voter{}
	}
	return controlclient.Voter{Identity: r.Status().Identity, Address: n.address}
}

// voterAnnouncer returns the announcer of the voters that this node's replica knows.
func (n *node) voterAnnouncer() *controlclient.VoterAnnouncer {
	return &controlclient.VoterAnnouncer{
		Self: n.address, Seeds: n.seeds, Learn: n.controlClient.LearnVoters,
		Dial: dialNode, DialOptions: dialOptions(), Log: n.log,
		Voters: func() *controlpb.VoterSet {
			r := n.replicaEndpoint.Replica()
			if r == nil {
				return nil
			}
			return r.Status().VoterSet()
		},
	}
}

// initialVoters returns the seeds if the whole system starts for the first time and the node
// is one of them, else nil. Any other VM with an empty disk waits until the leader adds it.
func (n *node) initialVoters() []string {
	if !n.settings.Bootstrap {
		return nil
	}
	voters := n.seeds()
	for _, voter := range voters {
		if voter == n.address {
			return voters
		}
	}
	return nil
}
