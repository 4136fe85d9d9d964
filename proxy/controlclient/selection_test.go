package controlclient

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/proxy/view"
)

// snapshotWithGroups returns a snapshot with n groups of one upstream each.
func snapshotWithGroups(n int) *view.Snapshot {
	state := &controlpb.FleetState{Groups: map[string]*controlpb.Group{}, Upstreams: map[string]*controlpb.Upstream{}}
	for i := range n {
		name := fmt.Sprintf("g%d", i)
		state.Groups[name] = &controlpb.Group{Name: name}
		state.Upstreams[name+":1"] = &controlpb.Upstream{Address: name + ":1", Group: name}
	}
	return &view.Snapshot{Config: view.Compile(state, "p1")}
}

// Guards against a proxy that asks for the leases of all groups when there are many, that
// omits a group that it serves or has a transaction on, or that repeats an unchanged
// selection in each report.
func TestSelectionNamesServedGroups(t *testing.T) {
	few, many := snapshotWithGroups(3), snapshotWithGroups(9)
	open := []*controlpb.ShareDemand{{Upstream: "g7:1", Open: 1}, {Upstream: "g8:1"}, {Upstream: "gone:1", Open: 1}}
	named := func(names ...string) *controlpb.GroupSelection { return &controlpb.GroupSelection{Names: names} }
	allGroups := &controlpb.GroupSelection{All: true}
	s := selection{allGroupsUpTo: 3}
	for _, step := range []struct {
		name     string
		restart  bool
		snapshot *view.Snapshot
		served   []string
		shares   []*controlpb.ShareDemand
		want     *controlpb.GroupSelection
	}{
		{"few groups", true, few, []string{"g1"}, open, nil},
		{"more groups", false, many, []string{"g2", "g1"}, open, named("g1", "g2", "g7")},
		{"no change", false, many, []string{"g1", "g2"}, open, nil},
		{"another group", false, many, []string{"g1", "g3"}, nil, named("g1", "g3")},
		{"new stream", true, many, []string{"g1", "g3"}, nil, named("g1", "g3")},
		{"nothing served", false, many, nil, nil, named()},
		{"nothing served on a new stream", true, many, nil, nil, named()},
		{"few again", false, few, nil, nil, allGroups},
		{"still few", false, few, []string{"g1"}, nil, nil},
	} {
		if step.restart {
			s.startStream()
		}
		got := s.update(step.snapshot, step.served, step.shares)
		if diff := cmp.Diff(step.want, got, protocmp.Transform()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}

// Guards against a stream to a new leader on which the proxy doesn't send its selection
// again: the leader would send all groups, or none.
func TestEachStreamSendsItsGroups(t *testing.T) {
	groups := map[string]*controlpb.Group{}
	for i := range 9 {
		name := fmt.Sprintf("g%d", i)
		groups[name] = &controlpb.Group{Name: name, Term: 1, Phase: healthy, Primary: name + ":1"}
	}
	answer := func(r *controlpb.Report) *controlpb.Update {
		u := fullUpdate(r, 1, groups)
		u.PrimaryLeases = nil
		for _, name := range r.GetGroups().GetNames() {
			u.PrimaryLeases = append(u.PrimaryLeases, &controlpb.GroupTerm{Group: name, Term: 1})
		}
		return u
	}
	control := startFakeControl(t, answer)
	served := &servedGroups{}
	client, store := startClientServing(t, served, control.address)
	eventually(t, "the proxy holds the serving lease", func() bool { return store.Current().MayServe(clock.Now()) })
	served.set("g4")
	client.ReportNow()
	eventually(t, "the group's lease is held", func() bool { return store.Current().LeaseValid("g4", 1, clock.Now()) })
	control.mu.Lock()
	control.reports = nil
	control.answer = func(*controlpb.Report) *controlpb.Update { return nil }
	control.mu.Unlock()
	eventually(t, "a new stream starts with the group", func() bool {
		return control.hasReceived(func(r *controlpb.Report) bool {
			names := r.GetGroups().GetNames()
			return r.Sequence == 1 && len(names) == 1 && names[0] == "g4"
		})
	})
}
