package topology

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

// testDrainTime is how long the upstreams of these tests take new work after they announced a drain.
const testDrainTime = 7 * time.Second

func newDrainRegistry() *Registry {
	r := NewRegistry(0)
	r.SetDrainTime(testDrainTime)
	return r
}

// step is an announcement at a time, and the end of the drain that is known after it.
type step struct {
	at       time.Duration
	started  int64
	phase    controlpb.UpstreamPhase
	draining bool
	end      time.Duration
}

// Guards against a drain whose end moves: by a repeated announcement, by a late one, by a server that starts
// again under its ID, or by a new leader, which does not know when an earlier one acknowledged the drain.
func TestEndOfDrain(t *testing.T) {
	known := func(draining bool) *controlpb.Topology {
		return &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{{Id: "a", Service: "wax", Address: "10.0.0.1:80", Draining: draining}}}
	}
	const second = time.Second
	for name, c := range map[string]struct {
		adopted *controlpb.Topology
		steps   []step
	}{
		"repeated announcement": {nil, []step{
			{1 * second, 100, ready, false, 0},
			{2 * second, 100, draining, true, 9 * second},
			{3 * second, 100, draining, true, 9 * second},
			{8 * second, 100, ready, true, 9 * second},
			{20 * second, 100, draining, true, 9 * second},
		}},
		"new process under the same ID": {nil, []step{
			{1 * second, 100, ready, false, 0},
			{2 * second, 100, draining, true, 9 * second},
			{5 * second, 200, ready, false, 0},
			{6 * second, 200, draining, true, 13 * second},
		}},
		"first announcement of an unknown server": {nil, []step{
			{10 * second, 100, draining, true, 0},
			{12 * second, 100, draining, true, 0},
		}},
		"was ready under the earlier leader": {known(false), []step{
			{10 * second, 100, draining, true, 17*second - earlierLeaderMargin},
			{12 * second, 100, draining, true, 17*second - earlierLeaderMargin},
		}},
		"announced ready to the new leader": {known(false), []step{
			{10 * second, 100, ready, false, 0},
			{11 * second, 100, draining, true, 18 * second},
		}},
		"drained under the earlier leader": {known(true), []step{
			{10 * second, 100, draining, true, 0},
			{11 * second, 100, draining, true, 0},
		}},
		"drained under the earlier leader, late announcement": {known(true), []step{
			{10 * second, 100, ready, false, 0},
			{11 * second, 100, ready, false, 0},
			{12 * second, 100, draining, true, 0},
		}},
		"drained under the earlier leader, started again": {known(true), []step{
			{10 * second, 100, ready, false, 0},
			{12 * second, 200, ready, false, 0},
			{13 * second, 200, draining, true, 20 * second},
		}},
	} {
		r := newDrainRegistry()
		r.AddUnconfirmed(0, c.adopted)
		for i, s := range c.steps {
			r.ApplyAnnouncement(s.at, announce("a", s.started, uint64(i+1), s.phase))
			u := live(r)["a"]
			if u.Draining != s.draining || u.DrainEndsAt != s.end {
				t.Errorf("%s, step %d: draining %v until %s, want %v until %s", name, i, u.Draining, u.DrainEndsAt, s.draining, s.end)
			}
		}
	}
}

// Guards against a drain that begins anew when a server that was silent for long is registered again.
func TestForgottenServerStaysDrained(t *testing.T) {
	r := newDrainRegistry()
	r.ApplyAnnouncement(0, announce("a", 100, 1, ready))
	r.ApplyAnnouncement(0, announce("a", 100, 2, draining))
	r.Expire(AnnouncementTimeout)
	r.ApplyAnnouncement(AnnouncementTimeout+1, announce("a", 100, 3, draining))
	if u := live(r)["a"]; u == nil || !u.Draining || u.DrainEndsAt != 0 {
		t.Errorf("after a long silence: %+v", u)
	}
}

// Guards against a new server at the address of a draining one that inherits its drain.
func TestNewServerAtTheAddressDoesNotDrain(t *testing.T) {
	r := newDrainRegistry()
	r.ApplyAnnouncement(0, announce("a", 100, 1, ready))
	r.ApplyAnnouncement(0, announce("a", 100, 2, draining))
	r.ApplyAnnouncement(time.Second, announce("b", 200, 1, ready))
	if u := live(r)["b"]; u.Draining || u.DrainEndsAt != 0 {
		t.Errorf("the new server drains until %s", u.DrainEndsAt)
	}
}

// Guards against nodes that are not told the end of a drain: they get a topology only with a new revision.
func TestDrainChangesTheRevision(t *testing.T) {
	r := newDrainRegistry()
	r.ApplyAnnouncement(0, announce("a", 100, 1, ready))
	before := r.Revision()
	r.ApplyAnnouncement(0, announce("a", 100, 2, draining))
	during := r.Revision()
	r.ApplyAnnouncement(time.Second, announce("a", 100, 3, draining))
	if during == before || r.Revision() != during {
		t.Errorf("revisions %d, %d at the drain, %d after its repetition", before, during, r.Revision())
	}
}

// Guards against a node that takes a drain as longer than it is: the way of the messages counts against it, a
// new leader that knows less does not extend it, and a server that is ready again has no drain.
func TestNodeDrainEnds(t *testing.T) {
	const sentAt = 100 * time.Second
	upstreams := func(draining bool) *controlpb.Topology {
		return &controlpb.Topology{Upstreams: []*controlpb.TopologyUpstream{{Id: "a", Draining: draining}, {Id: "b"}}}
	}
	told := func(ms uint32) []*controlpb.UpstreamDrain {
		return []*controlpb.UpstreamDrain{{Upstream: "a", LeftMs: ms}}
	}
	type ends = map[string]time.Duration
	for name, c := range map[string]struct {
		previous ends
		topology *controlpb.Topology
		told     []*controlpb.UpstreamDrain
		want     ends
	}{
		"new drain":                      {nil, upstreams(true), told(7000), ends{"a": 107 * time.Second}},
		"end not known":                  {nil, upstreams(true), nil, ends{}},
		"a leader that does not know it": {ends{"a": 103 * time.Second}, upstreams(true), nil, ends{"a": 103 * time.Second}},
		"a leader that knows a later one": {
			ends{"a": 103 * time.Second}, upstreams(true), told(7000), ends{"a": 103 * time.Second},
		},
		"a leader that knows an earlier one": {
			ends{"a": 103 * time.Second}, upstreams(true), told(2000), ends{"a": 102 * time.Second},
		},
		"ready again":                   {ends{"a": 103 * time.Second}, upstreams(false), nil, ends{}},
		"told of one that is ready":     {nil, upstreams(false), told(7000), ends{}},
		"gone":                          {ends{"a": 103 * time.Second}, &controlpb.Topology{}, nil, ends{}},
		"no topology":                   {nil, nil, told(7000), ends{}},
		"no time left when it was sent": {nil, upstreams(true), told(0), ends{"a": sentAt}},
	} {
		if diff := cmp.Diff(c.want, NodeDrainEnds(c.previous, c.topology, c.told, sentAt)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
