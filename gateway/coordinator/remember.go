package coordinator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// rememberInterval is the least time between two commits of the topology.
const rememberInterval = 500 * time.Millisecond

// rememberTopology commits what the leader knows of upstreams. Load pattern: all VMs lose power.
// Upstreams announce themselves each second only, so a leader that starts from nothing would
// keep callers waiting for that long; connections name the upstream that they expect, so an
// entry that has become wrong does no harm.
func (l *Leader) rememberTopology(ctx context.Context, now time.Duration) {
	revision := l.registry.Revision()
	if l.remembering || revision == l.remembered || now-l.rememberedAt < rememberInterval {
		return
	}
	t := lasting(l.topology())
	if proto.Equal(t, l.store.current().Topology) {
		l.remembered = revision
		return
	}
	l.remembering, l.rememberedAt = true, now
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		_, err := l.replica().Propose(callCtx, &controlpb.Command{Change: &controlpb.Command_PutTopology{PutTopology: t}})
		if err != nil {
			l.log.WithError(err).WithField("event", "topology_not_saved").Warn("topology was not committed; tried again if still due")
		}
		l.post(ctx, topologyRemembered{})
	}()
}

// topologyRemembered ends a commit of the topology. The next tick compares the result.
type topologyRemembered struct{}

// lasting returns what of a topology is worth knowing for a later leader.
func lasting(t *controlpb.Topology) *controlpb.Topology {
	t.Revision = 0
	for _, p := range t.Primaries {
		p.Changing = false
	}
	return t
}
