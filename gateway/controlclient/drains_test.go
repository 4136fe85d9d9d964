package controlclient

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Guards against a node that counts the end of a drain from the arrival of the message, which may have taken
// long, or that keeps it to itself because nothing else in the view has changed.
func TestDrainsCountFromTheReport(t *testing.T) {
	c := newTestClient()
	c.sequence = 9
	c.sentAt[7], c.sentAt[8] = 50*time.Second, 60*time.Second
	changes := 0
	c.onViewChange = func(*View) { changes++ }
	drain := func(sequence uint64) *controlpb.NodeUpdate {
		return &controlpb.NodeUpdate{DrainsSequence: sequence, Drains: []*controlpb.UpstreamDrain{{Upstream: "a", LeftMs: 7000}}}
	}
	first := drain(8)
	first.Topology = &controlpb.Topology{Revision: 1, Upstreams: []*controlpb.TopologyUpstream{{Id: "a", Draining: true}}}
	for i, step := range []struct {
		update  *controlpb.NodeUpdate
		end     time.Duration
		changes int
	}{
		{first, 67 * time.Second, 1},
		{&controlpb.NodeUpdate{}, 67 * time.Second, 1},
		{drain(7), 57 * time.Second, 2},
		// A report that was not sent says nothing of the time.
		{drain(10), 7 * time.Second, 3},
	} {
		if err := c.apply(step.update, "leader"); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(map[string]time.Duration{"a": step.end}, c.View().DrainEnds); diff != "" || changes != step.changes {
			t.Errorf("update %d: %s, %d changes of the view, want %d", i, diff, changes, step.changes)
		}
	}
}
