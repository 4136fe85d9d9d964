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
	// allUpTo is the number of groups up to which the proxy asks for all: below it a
	// selection saves less than the wait for the first lease of a group costs.
	allUpTo int
	stated  *controlpb.GroupSelection
}

// startStream forgets what an earlier stream has stated.
func (s *selection) startStream() {
	s.stated = nil
}

// next returns the selection for a report, or nil if control has it already.
func (s *selection) next(snapshot *view.Snapshot, used []string, shares []*controlpb.ShareDemand) *controlpb.GroupSelection {
	wanted := s.wanted(snapshot, used, shares)
	if s.stated == nil && wanted.All {
		return nil
	}
	if s.stated != nil && s.stated.All == wanted.All && slices.Equal(s.stated.Names, wanted.Names) {
		return nil
	}
	s.stated = wanted
	return wanted
}

func (s *selection) wanted(snapshot *view.Snapshot, used []string, shares []*controlpb.ShareDemand) *controlpb.GroupSelection {
	if len(snapshot.Groups) <= s.allUpTo {
		return &controlpb.GroupSelection{All: true}
	}
	names := slices.Clone(used)
	for _, demand := range shares {
		// A connection may be inside a transaction that needs a lease to commit.
		if upstream, ok := snapshot.Upstreams[demand.Upstream]; ok && demand.Open > 0 {
			names = append(names, upstream.Group)
		}
	}
	slices.Sort(names)
	return &controlpb.GroupSelection{Names: slices.Compact(names)}
}
