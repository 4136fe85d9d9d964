package coordinator

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

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

// BenchmarkChange measures one tick of a leader in which an upstream of a large fleet starts or ends to drain, and the
// updates of all nodes.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ nodes, upstreams int }{{300, 600}, {300, 2700}, {1200, 3000}} {
		b.Run(fmt.Sprintf("%d nodes, %d upstreams", size.nodes, size.upstreams), func(b *testing.B) {
			l, _ := newTestLeader(b)
			for i := range size.upstreams {
				announce(l, i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
			}
			publish(l)
			streams := make([]*nodeStream, size.nodes)
			for i := range streams {
				streams[i] = startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{
					Sequence: 1, TopologyRevision: l.currentTopology().Revision,
				})
			}
			bytes, changes := 0, 0
			for b.Loop() {
				a := announcement(changes%size.upstreams, uint64(changes+2), controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
				a.Slots = uint32(changes)
				l.handle(context.Background(), announcementReceived{a, make(chan struct{})})
				changes++
				if l.publishChanges(clock.Now()) {
					l.pushAll()
				}
				for _, s := range streams {
					for len(s.updates) > 0 {
						bytes += proto.Size(<-s.updates)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(changes*size.nodes), "bytes/node")
		})
	}
}
