package coordinator

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
)

// drainList holds when the drains of a topology end, by upstream ID. Upstreams whose end is not known are not
// in it.
type drainList struct {
	revision uint64
	ends     map[string]time.Duration
}

// knownDrainEnds returns when the drains of upstreams end, by ID, as far as that is known.
func knownDrainEnds(upstreams []*topology.Upstream) map[string]time.Duration {
	ends := map[string]time.Duration{}
	for _, u := range upstreams {
		if u.Draining && u.DrainEndsAt != 0 {
			ends[u.ID] = u.DrainEndsAt
		}
	}
	return ends
}

// unsentDrains returns the time that is left of the current drains that were not sent yet, or with another end.
func unsentDrains(now time.Duration, sent, current map[string]time.Duration) []*controlpb.UpstreamDrain {
	var unsent []*controlpb.UpstreamDrain
	for id, end := range current {
		if sentEnd, ok := sent[id]; ok && sentEnd == end {
			continue
		}
		left := max(0, end-now)
		unsent = append(unsent, &controlpb.UpstreamDrain{Upstream: id, LeftMs: uint32(left.Milliseconds())})
	}
	return unsent
}

// addDrains adds the time that is left of the drains that the node was not told. A node that does not have the
// current topology yet could not tell which drain is meant, and is told with it.
func (l *Leader) addDrains(now time.Duration, s *nodeStream, u *controlpb.NodeUpdate) {
	current := l.drains
	if s.sentTopologyRevision != current.revision || s.sentDrains.revision == current.revision {
		return
	}
	u.Drains = unsentDrains(now, s.sentDrains.ends, current.ends)
	u.DrainsSequence = s.sequence
	s.sentDrains = current
}
