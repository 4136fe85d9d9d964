package coordinator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// minTopologySaveInterval is the minimum time between two commits of the topology, and topologySaveSpacing that
	// time for each upstream in a large fleet, whose topology takes hundreds of kilobytes to each voter.
	minTopologySaveInterval = 500 * time.Millisecond
	topologySaveSpacing     = time.Millisecond
)

// topologySaveInterval returns the minimum time between two commits of the topology of so many upstreams.
func topologySaveInterval(upstreams int) time.Duration {
	return max(minTopologySaveInterval, time.Duration(upstreams)*topologySaveSpacing)
}

// saveTopology commits the known upstreams and primaries for later leaders. Upstreams announce
// themselves only once a second, and after a power loss of all VMs a leader without a saved
// topology would keep callers waiting for that long. An outdated entry does no harm, because
// connections name the upstream that they expect.
func (l *Leader) saveTopology(ctx context.Context, now time.Duration) {
	revision := l.currentTopology().Revision
	if l.savingTopology || revision == l.savedRevision || now-l.topologySaveStartedAt < topologySaveInterval(l.registry.Size()) {
		return
	}
	t := persistentTopology(l.currentTopology())
	if isSameTopology(t, l.store.current().Topology) {
		l.savedRevision = revision
		return
	}
	l.savingTopology, l.topologySaveStartedAt = true, now
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		_, err := l.replica().Propose(callCtx, &controlpb.Command{Change: &controlpb.Command_PutTopology{PutTopology: t}})
		if err != nil {
			l.log.WithError(err).WithField("event", "topology_not_saved").Warn("failed to commit topology; will retry if it still differs")
		}
		l.post(ctx, topologySaved{})
	}()
}

// topologySaved reports the end of an attempt to commit the topology. The next tick compares the
// committed topology with the current one.
type topologySaved struct{}

// isSameTopology reports whether two topologies differ in no more than their revisions.
func isSameTopology(a, b *controlpb.Topology) bool {
	if b == nil {
		return false
	}
	return proto.Equal(a, &controlpb.Topology{Revision: a.Revision, Upstreams: b.Upstreams, Primaries: b.Primaries})
}

// persistentTopology returns t without what has no meaning for a later leader.
func persistentTopology(t *controlpb.Topology) *controlpb.Topology {
	out := &controlpb.Topology{Revision: t.Revision, Upstreams: t.Upstreams}
	for _, p := range t.Primaries {
		out.Primaries = append(out.Primaries, &controlpb.TopologyPrimary{Service: p.Service, Upstream: p.Upstream, Term: p.Term})
	}
	return out
}
