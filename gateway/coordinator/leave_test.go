package coordinator

import (
	"slices"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// Guards against the loss of acknowledged commits on a replica that a late Leave call has taken out of use (review,
// case 7): it receives, so the failover of its group has to count with it and probe it. Nodes send it no work.
func TestReplicaWhoseLeaveIsDoubtedCountsInItsGroup(t *testing.T) {
	for _, syncReplicas := range []int{0, 1} {
		l, _ := newTestLeader(t)
		for i := range 3 {
			announce(l, i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
		}
		id := announcement(2, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY).Id
		g := l.groupOf(clock.Now(), "wax0")
		g.syncReplicas = syncReplicas
		l.handle(t.Context(), announcementReceived{
			&controlpb.UpstreamAnnouncement{Id: id, Phase: controlpb.UpstreamPhase_UPSTREAM_PHASE_LEFT}, make(chan struct{}),
		})
		l.stepGroups(t.Context(), clock.Now())
		if probed, want := g.probers[id] != nil, syncReplicas > 0; probed != want {
			t.Errorf("sync_replicas %d: probed %t, want %t", syncReplicas, probed, want)
		}
		in := failoverInput(g, l.upstreamsByService(clock.Now())["wax0"], primaryReports{}.on("wax0"))
		if n, want := len(in.Servers), 2+syncReplicas; n != want {
			t.Errorf("sync_replicas %d: the failover counts with %d servers, want %d", syncReplicas, n, want)
		}
		publish(l)
		isListed := func(u *controlpb.TopologyUpstream) bool { return u.Id == id }
		if slices.ContainsFunc(l.currentTopology().Upstreams, isListed) {
			t.Errorf("sync_replicas %d: nodes are told to use an upstream that has left", syncReplicas)
		}
		if l.groups[""] != nil {
			t.Error("a Leave call, which names no service, has made a group")
		}
		l.stopLeading()
	}
}
