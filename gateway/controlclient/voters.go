package controlclient

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
)

// LearnVoters records the voters that another node or the local replica names, and reports
// whether it did. A node that is connected to the leader learns them from there, and an older
// set never replaces a newer one.
func (c *Client) LearnVoters(v *controlpb.VoterSet) bool {
	if len(v.GetAddresses()) == 0 {
		return false
	}
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	current := c.View()
	if current.Leader != "" || v.Index < current.Voters.GetIndex() {
		return false
	}
	next := *current
	next.Voters = v
	c.view.Store(&next)
	if !slices.Equal(v.Addresses, current.Voters.GetAddresses()) {
		c.opts.Log.WithFields(logrus.Fields{
			"event": "voters_learned", "voters": v.Addresses, "index": v.Index, "index_before": current.Voters.GetIndex(),
		}).Info("learned which nodes vote")
	}
	return true
}

func (c *Client) setLeader(address string) {
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	v := *c.View()
	v.Leader = address
	c.view.Store(&v)
}

// publish stores a new view. If the update that it was made from names no voters, it keeps those
// that are known.
func (c *Client) publish(next *View) {
	c.viewMu.Lock()
	defer c.viewMu.Unlock()
	if next.Voters == nil {
		next.Voters = c.View().Voters
	}
	c.view.Store(next)
}
