package coordinator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

// holderFleet is a leader with nodes that report every tick, and one upstream whose connections are scarce.
type holderFleet struct {
	t       *testing.T
	leader  *Leader
	now     time.Duration
	streams map[string]*nodeStream
	silent  string
}

const holderUpstream = "i-0000000000"

func newHolderFleet(t *testing.T) *holderFleet {
	l, _ := newTestLeader(t)
	c := waxCatalog(1)
	c.Services = []*controlpb.CatalogService{{Name: "wax0", MaxConnections: 4}}
	c.Routes = nil
	if _, err := l.putCatalog(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	drainEvents(l)
	announce(l, 0, 1, controlpb.UpstreamPhase_UPSTREAM_PHASE_READY)
	f := &holderFleet{t: t, leader: l, now: l.leadingSince, streams: map[string]*nodeStream{}}
	for i := range 6 {
		name := fmt.Sprintf("n%d", i)
		f.streams[name] = startStream(l, name, &controlpb.NodeReport{
			Sequence: 1, Node: name, Place: "hafnarfj", ForwardAddress: name,
		})
	}
	return f
}

// run steps for a time; all nodes but the silent one report.
func (f *holderFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tickInterval
		for name, s := range f.streams {
			if name != f.silent {
				s.reportedAt = f.now
			}
		}
		f.leader.stepHolders(f.now)
		f.leader.publishChanges(f.now)
	}
}

// holders returns the holders that nodes are told.
func (f *holderFleet) holders() []string {
	f.leader.publishChanges(f.now)
	for _, u := range f.leader.currentTopology().Upstreams {
		if u.Id == holderUpstream {
			return u.Holders
		}
	}
	f.t.Fatal("the upstream is not in the topology")
	return nil
}

// Guards against holders that are chosen while most nodes are still connecting, against one that is frozen, stopping
// or lost and is still told to nodes, and against other holders that change with it.
func TestLostHolderIsReplaced(t *testing.T) {
	for name, lose := range map[string]func(f *holderFleet, s *nodeStream){
		"silent":   func(f *holderFleet, s *nodeStream) { f.silent = s.node },
		"stopping": func(_ *holderFleet, s *nodeStream) { s.stopping = true },
		"lost":     func(f *holderFleet, s *nodeStream) { f.leader.removeStream(s, false); delete(f.streams, s.node) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newHolderFleet(t)
			f.run(holderSettleTime - 2*tickInterval)
			if got := f.holders(); len(got) > 0 {
				t.Errorf("chosen before the nodes have connected: %v", got)
			}
			f.run(nodeSettleTime + time.Second)
			before := f.holders()
			if len(before) != 3 {
				t.Fatalf("the holders are %v", before)
			}
			lose(f, f.streams[before[0]])
			f.run(silentNodeTimeout + 2*tickInterval)
			after := f.holders()
			if len(after) != 3 || slices.Contains(after, before[0]) || !slices.Contains(after, before[1]) || !slices.Contains(after, before[2]) {
				t.Errorf("the holders changed from %v to %v", before, after)
			}
		})
	}
}

// Guards against a leader that has not run for a while and takes all nodes for silent.
func TestLeaderThatDidNotRunKeepsHolders(t *testing.T) {
	f := newHolderFleet(t)
	f.run(nodeSettleTime + 2*time.Second)
	before := f.holders()
	f.now += 10 * silentNodeTimeout
	f.leader.stepHolders(f.now)
	if diff := cmp.Diff(before, f.holders()); diff != "" {
		t.Error(diff)
	}
}

// Guards against connections that are opened anew because another node has become the leader.
func TestNewLeaderKeepsHolders(t *testing.T) {
	f := newHolderFleet(t)
	f.run(nodeSettleTime + 2*time.Second)
	earlier := f.leader.currentTopology()
	kept := slices.Sorted(slices.Values([]string{"n5", "n4", "n1"}))
	earlier.Upstreams[0].Holders = kept
	f.leader.startLeading(f.leader.term + 1)
	f.leader.adoptTopology(f.now, earlier)
	if diff := cmp.Diff(kept, f.holders()); diff != "" {
		t.Errorf("before nodes have connected: %s", diff)
	}
	for name := range f.streams {
		f.streams[name] = startStream(f.leader, name, &controlpb.NodeReport{
			Sequence: 1, Node: name, Place: "hafnarfj", ForwardAddress: name,
		})
	}
	f.now = f.leader.leadingSince
	f.run(nodeSettleTime + 2*time.Second)
	if diff := cmp.Diff(kept, f.holders()); diff != "" {
		t.Errorf("after all have connected: %s", diff)
	}
}
