package topology

import (
	"fmt"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
)

// BenchmarkLive measures the list of the upstreams of a large fleet, which each tick of the leader needs.
func BenchmarkLive(b *testing.B) {
	const upstreams = 2700
	r := NewRegistry(0)
	for i := range upstreams {
		r.ApplyAnnouncement(0, &controlpb.UpstreamAnnouncement{Id: fmt.Sprintf("i-%010x", i*7919%upstreams), Service: "wax", Address: fmt.Sprint(i), Sequence: 1})
	}
	for b.Loop() {
		if got := len(r.Live()); got != upstreams {
			b.Fatalf("%d upstreams", got)
		}
	}
}
