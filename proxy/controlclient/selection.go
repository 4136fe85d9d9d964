package controlclient

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/proxy/view"
)

// GroupReporter returns the database groups that the proxy serves.
type GroupReporter interface {
	Groups(now time.Duration) []string
}

// selection tracks which group selection was sent on the current stream. Until one is sent,
// the leader sends updates for all groups.
type selection struct {
	// allGroupsUpTo is the number of groups up to which the proxy asks for all of them. With
	// so few groups a selection saves less than the wait for a group's first lease costs.
	allGroupsUpTo int
	lastSent      *controlpb.GroupSelection
}

// startStream forgets the selection sent on an earlier stream.
func (s *selection) startStream() {
	s.lastSent = nil
}

// update returns the selection for the next report, or nil if the leader already has it.
func (s *selection) update(snapshot *view.Snapshot, served []string, shares []*controlpb.ShareDemand) *controlpb.GroupSelection {
	wanted := s.wanted(snapshot, served, shares)
	if s.lastSent == nil && wanted.All {
		return nil
	}
	if s.lastSent != nil && s.lastSent.All == wanted.All && slices.Equal(s.lastSent.Names, wanted.Names) {
		return nil
	}
	s.lastSent = wanted
	return wanted
}

// wanted returns the selection of the served groups and of groups with open connections, or
// of all groups if there are few.
func (s *selection) wanted(snapshot *view.Snapshot, served []string, shares []*controlpb.ShareDemand) *controlpb.GroupSelection {
	if len(snapshot.Groups) <= s.allGroupsUpTo {
		return &controlpb.GroupSelection{All: true}
	}
	names := slices.Clone(served)
	for _, demand := range shares {
		// A connection may be in a transaction that needs the group's lease to commit.
		if upstream, ok := snapshot.Upstreams[demand.Upstream]; ok && demand.Open > 0 {
			names = append(names, upstream.Group)
		}
	}
	slices.Sort(names)
	return &controlpb.GroupSelection{Names: slices.Compact(names)}
}
