package controlclient

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/proxy/view"
)

// GroupReporter tells which database groups the proxy serves.
type GroupReporter interface {
	Groups(now time.Duration) []string
}

// selection is what a stream has told control about the groups that the proxy
// serves. Without a statement control sends what concerns any group.
type selection struct {
	// allGroupsUpTo is the number of groups up to which the proxy asks for all: below it a
	// selection saves less than the wait for the first lease of a group costs.
	allGroupsUpTo int
	lastSent      *controlpb.GroupSelection
}

// startStream forgets what an earlier stream has stated.
func (s *selection) startStream() {
	s.lastSent = nil
}

// update returns the selection for a report, or nil if control has it already.
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

func (s *selection) wanted(snapshot *view.Snapshot, served []string, shares []*controlpb.ShareDemand) *controlpb.GroupSelection {
	if len(snapshot.Groups) <= s.allGroupsUpTo {
		return &controlpb.GroupSelection{All: true}
	}
	names := slices.Clone(served)
	for _, demand := range shares {
		// A connection may be inside a transaction that needs a lease to commit.
		if upstream, ok := snapshot.Upstreams[demand.Upstream]; ok && demand.Open > 0 {
			names = append(names, upstream.Group)
		}
	}
	slices.Sort(names)
	return &controlpb.GroupSelection{Names: slices.Compact(names)}
}
