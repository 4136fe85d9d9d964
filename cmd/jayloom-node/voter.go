package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/controlclient"
)

// reopenPause is the time before a replica is opened again that could not write.
const reopenPause = time.Second

// runVoter holds the replicated state on a VM with a disk. When the disk fails the node
// goes on serving callers without a vote, and tries again.
func (n *node) runVoter(ctx context.Context) {
	for ctx.Err() == nil {
		r, err := n.openVoter()
		if err == nil {
			n.log.WithFields(logrus.Fields{"event": "disk_opened", "member": r.Status().Identity}).Info("replicated state opened")
			n.leader.SetReplica(r)
			n.voter.SetReplica(r)
			err = r.Run(ctx)
		}
		n.voter.SetReplica(nil)
		if err == nil {
			return
		}
		n.log.WithError(err).WithField("event", "disk_lost").Error("replicated state cannot be kept; tried again")
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

func (n *node) openVoter() (*replica.Replica, error) {
	return replica.Open(replica.Config{
		Folder: n.settings.DataFolder, Address: n.address, Voters: n.firstVoters(),
		DialOptions: dialOptions(), Log: n.log,
	}, n.leader.Store())
}

// voterIdentity describes the replica to the leader, if there is one.
func (n *node) voterIdentity() controlclient.Voter {
	r := n.voter.Replica()
	if r == nil {
		return controlclient.Voter{}
	}
	return controlclient.Voter{Identity: r.Status().Identity, Address: n.address}
}

// firstVoters are the seeds when the whole system starts for the first time. Any other
// VM with an empty disk waits until the leader takes it in.
func (n *node) firstVoters() []string {
	if !n.settings.Bootstrap {
		return nil
	}
	voters := n.seeds()
	for _, v := range voters {
		if v == n.address {
			return voters
		}
	}
	return nil
}
