package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// Load pattern: 2,700 upstreams announce themselves while 300 nodes report. Guards against a topology that is built,
// compared and compressed again for each report: the leader's goroutine had no time left for announcements, and no
// configuration was ever acknowledged (sweep at 300 machines).
func TestTopologyIsPublishedOncePerTick(t *testing.T) {
	const nodes, upstreamsPerTick, ticks = 300, 225, 12
	l, _ := newTestLeader(t)
	var streams []*nodeStream
	for i := range nodes {
		streams = append(streams, startStream(l, fmt.Sprintf("n%d", i), &controlpb.NodeReport{Sequence: 1}))
	}
	revisions := map[uint64]bool{l.currentTopology().Revision: true}
	for tick := range ticks {
		for i := range upstreamsPerTick {
			announce(l, tick*upstreamsPerTick+i, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
			s := streams[(tick*upstreamsPerTick+i)%nodes]
			l.handle(context.Background(), reportReceived{s, &controlpb.NodeReport{Sequence: s.sequence + 1}})
			revisions[l.currentTopology().Revision] = true
		}
		l.tick(context.Background())
		for _, s := range streams {
			for len(s.updates) > 0 {
				<-s.updates
			}
		}
	}
	if len(revisions) > ticks+1 {
		t.Errorf("%d topologies in %d ticks", len(revisions), ticks)
	}
}

// Guards against topologies that follow each other while nodes wait for the one before, and against a change that
// waits for slow nodes without end.
func TestPublicationWaitsForDelayedNodes(t *testing.T) {
	at := clock.Now()
	p := publication{publishedAt: at}
	for name, c := range map[string]struct {
		after   time.Duration
		delayed bool
		want    bool
	}{
		"all nodes have it":         {tickInterval, false, true},
		"nodes wait":                {tickInterval, true, false},
		"nodes have waited so long": {maxPublicationDelay, true, true},
	} {
		if got := p.due(at+c.after, c.delayed); got != c.want {
			t.Errorf("%s: due %v, want %v", name, got, c.want)
		}
	}
}
