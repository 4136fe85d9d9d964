package control

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Guards against a proxy that gets no lease for a group that it serves, and against
// updates that grow with the groups that it does not serve.
func TestUpdateCoversSelectedGroups(t *testing.T) {
	l := newBenchLeader(t, fleetSize{teams: 1, groups: 4, proxies: 1})
	exchange := func(selection *controlpb.GroupSelection) (leases []string, health int) {
		t.Helper()
		report := l.report(0, nil, nil)
		report.Groups = selection
		var update controlpb.Update
		if err := proto.Unmarshal(l.exchange(t, t.Context(), 0, encode(t, report)), &update); err != nil {
			t.Fatal(err)
		}
		for _, lease := range update.PrimaryLeases {
			leases = append(leases, lease.Group)
		}
		return leases, len(update.Health)
	}
	served := &controlpb.GroupSelection{Names: []string{"service-0002-0", "unknown"}}
	for _, step := range []struct {
		name           string
		selection      *controlpb.GroupSelection
		leases, health int
	}{
		{"no statement", nil, 4, 12},
		{"one group", served, 1, 3},
		{"no change", nil, 1, 3},
		{"no group", &controlpb.GroupSelection{}, 0, 0},
		{"all", &controlpb.GroupSelection{All: true}, 4, 12},
	} {
		leases, health := exchange(step.selection)
		if len(leases) != step.leases || health != step.health {
			t.Errorf("%s: leases of %v, health of %d upstreams", step.name, leases, health)
		}
		if step.leases == 1 && leases[0] != served.Names[0] {
			t.Errorf("%s: leases of %v", step.name, leases)
		}
	}
}
