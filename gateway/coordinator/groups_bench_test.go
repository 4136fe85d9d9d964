package coordinator

import (
	"context"
	"fmt"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// BenchmarkStepGroups measures one tick of the leader of 300 nodes and 900 database groups, of which
// each node has used ten since its last report.
func BenchmarkStepGroups(b *testing.B) {
	const nodes, groups, used = 300, 900, 10
	l, _ := newTestLeader(b)
	t := &controlpb.Topology{Revision: 1}
	for i := range groups {
		service := fmt.Sprintf("wax%03d", i)
		t.Primaries = append(t.Primaries, &controlpb.TopologyPrimary{Service: service, Upstream: "p-" + service, Term: 4})
	}
	l.adoptTopology(clock.Now(), t)
	l.registry.IncrementRevision()
	publish(l)
	for i := range nodes {
		s := startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{Sequence: 1})
		report := &controlpb.NodeReport{Sequence: 2, Regular: true, TopologyRevision: l.currentTopology().Revision}
		for j := range used {
			report.AnsweredPrimaries = append(report.AnsweredPrimaries, uint32((i+j*7)%groups))
		}
		l.handle(context.Background(), reportReceived{s, report})
	}
	for b.Loop() {
		now := clock.Now()
		for s := range l.streams {
			s.primariesReceivedAt = now
		}
		l.stepGroups(context.Background(), now)
	}
}
