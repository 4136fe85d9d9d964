package holders

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fleet returns nodes in three places, two of which in each have a data folder, and the upstreams of groups with one
// in each place.
func fleet(size, groups int) ([]Node, []Upstream) {
	var nodes []Node
	for i := range size {
		nodes = append(nodes, Node{
			Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Place: fmt.Sprintf("place-%d", i%3), Voter: i < 6,
			Leader: i == 0, Settled: true,
		})
	}
	var upstreams []Upstream
	for i := range 3 * groups {
		upstreams = append(upstreams, Upstream{ID: fmt.Sprintf("u%d", i), Place: fmt.Sprintf("place-%d", i%3), MaxConnections: 56})
	}
	return nodes, upstreams
}

// roles counts the upstreams that each node holds.
func roles(chosen map[string][]string) map[string]int {
	out := map[string]int{}
	for _, addresses := range chosen {
		for _, a := range addresses {
			out[a]++
		}
	}
	return out
}

// Guards against a node that carries the traffic of two upstreams while others carry none, against holders far from
// their upstream, whose statements would cross between places twice, and against a voter that does both.
func TestHoldersAreSpread(t *testing.T) {
	for _, size := range []int{85, 300} {
		nodes, upstreams := fleet(size, 8)
		chosen := Choose(nil, upstreams, nodes, size)
		for _, u := range upstreams {
			if len(chosen[u.ID]) != MaxPerUpstream {
				t.Errorf("%d nodes: %s has the holders %v", size, u.ID, chosen[u.ID])
			}
			for _, address := range chosen[u.ID] {
				i := slices.IndexFunc(nodes, func(n Node) bool { return n.Address == address })
				if nodes[i].Place != u.Place || nodes[i].Voter {
					t.Errorf("%d nodes: %s in %s is held by %+v", size, u.ID, u.Place, nodes[i])
				}
			}
		}
		for address, n := range roles(chosen) {
			if n > 1 {
				t.Errorf("%d nodes: %s holds %d upstreams", size, address, n)
			}
		}
	}
}

// Guards against connections that are opened anew because a node came or left that did not hold them.
func TestOnlyTheLostHolderIsReplaced(t *testing.T) {
	for _, size := range []int{85, 300} {
		nodes, upstreams := fleet(size, 8)
		chosen := Choose(nil, upstreams, nodes, size)
		lost := chosen["u4"][0]
		left := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Address == lost })
		after := Choose(chosen, upstreams, left, size)
		for id, before := range chosen {
			kept := 0
			for _, a := range before {
				if slices.Contains(after[id], a) {
					kept++
				}
			}
			want := MaxPerUpstream
			if id == "u4" {
				want--
			}
			if kept != want || len(after[id]) != MaxPerUpstream || slices.Contains(after[id], lost) {
				t.Errorf("%d nodes: holders of %s changed from %v to %v", size, id, before, after[id])
			}
		}
		if diff := cmp.Diff(after, Choose(after, upstreams, nodes, size)); diff != "" {
			t.Errorf("%d nodes: a node that returned displaced holders: %s", size, diff)
		}
	}
}

// Guards against holders that are switched on in a fleet whose nodes have enough connections each, and against
// switching on and off when one node comes and goes.
func TestHoldersOnlyWhereConnectionsAreScarce(t *testing.T) {
	nodes, upstreams := fleet(11, 3)
	if chosen := Choose(nil, upstreams, nodes, 27); len(chosen) != 0 {
		t.Errorf("with two connections for each node: %v", chosen)
	}
	chosen := Choose(nil, upstreams, nodes, 28)
	if len(chosen) != len(upstreams) {
		t.Errorf("with one connection for each node: %v", chosen)
	}
	if diff := cmp.Diff(chosen, Choose(chosen, upstreams, nodes, 27)); diff != "" {
		t.Errorf("after a node has left: %s", diff)
	}
	unlimited := []Upstream{{ID: "u", Place: "place-0"}}
	if chosen := Choose(nil, unlimited, nodes, 300); len(chosen) != 0 {
		t.Errorf("without a limit of connections: %v", chosen)
	}
}

// Guards against a place without a node that could hold its upstream, and against voters as holders where there are
// other nodes.
func TestPlacesWithFewNodes(t *testing.T) {
	nodes := []Node{
		{Name: "a", Address: "a", Place: "x", Voter: true}, {Name: "b", Address: "b", Place: "y"},
		{Name: "l", Address: "l", Place: "w", Voter: true, Leader: true},
	}
	upstreams := []Upstream{
		{ID: "u1", Place: "x", MaxConnections: 2}, {ID: "u2", Place: "y", MaxConnections: 2},
		{ID: "u3", Place: "y", MaxConnections: 2}, {ID: "u4", Place: "z", MaxConnections: 2}, {ID: "u5", Place: "w", MaxConnections: 2},
	}
	want := map[string][]string{"u1": {"a"}, "u2": {"b"}, "u3": {"b"}}
	if diff := cmp.Diff(want, Choose(nil, upstreams, nodes, 3)); diff != "" {
		t.Error(diff)
	}
}

// Guards against answers that pass a narrow link twice where nodes with wide links could hold the connections, against
// a single such node, whose loss would concern all teams, and against the leader as a holder beside two others.
func TestNodesWithWideLinksHoldConnections(t *testing.T) {
	nodes, upstreams := fleet(85, 8)
	for i := range nodes {
		nodes[i].LinkMbps = 2
		if nodes[i].Voter {
			nodes[i].LinkMbps = 100
		}
	}
	for id, addresses := range Choose(nil, upstreams, nodes, len(nodes)) {
		for _, a := range addresses {
			if i := slices.IndexFunc(nodes, func(n Node) bool { return n.Address == a }); !nodes[i].Voter {
				t.Errorf("%s is held by %+v", id, nodes[i])
			}
		}
		if len(addresses) != minPerUpstream {
			t.Errorf("%s has the holders %v", id, addresses)
		}
	}
	nodes[9].LinkMbps = 100
	for id, addresses := range Choose(nil, upstreams, nodes, len(nodes)) {
		if slices.Contains(addresses, nodes[0].Address) {
			t.Errorf("%s is held by the leader: %v", id, addresses)
		}
	}
}

// Guards against holders in a fleet with thousands of upstreams: the processors, memory and connections of a few run
// out, and with all nodes as holders each is connected to nearly all others. Holders that are in use stay when a node
// is lost.
func TestNoHoldersOfThousandsOfUpstreams(t *testing.T) {
	for _, wide := range []bool{false, true} {
		nodes, upstreams := fleet(300, 900)
		for i := range nodes {
			nodes[i].LinkMbps = 2
			if wide && nodes[i].Voter {
				nodes[i].LinkMbps = 100
			}
		}
		if chosen := Choose(nil, upstreams, nodes, len(nodes)); len(chosen) != 0 {
			t.Errorf("wide links %v: %d upstreams have holders, some nodes of up to %d", wide, len(chosen), maxRole(chosen))
		}
	}
	nodes, upstreams := fleet(300, 32)
	for i := range nodes {
		nodes[i].LinkMbps = 2
		if nodes[i].Voter {
			nodes[i].LinkMbps = 100
		}
	}
	chosen := Choose(nil, upstreams, nodes, len(nodes))
	lost := nodes[4]
	after := Choose(chosen, upstreams, slices.DeleteFunc(nodes, func(n Node) bool { return n.Name == lost.Name }), len(nodes))
	if len(chosen) != len(upstreams) || len(after) != len(upstreams) {
		t.Errorf("%d of %d upstreams have holders, after the loss of one %d", len(chosen), len(upstreams), len(after))
	}
}

func maxRole(chosen map[string][]string) int {
	most := 0
	for _, n := range roles(chosen) {
		most = max(most, n)
	}
	return most
}

// Guards against teams that move to a node each time that it restarts, and against an upstream that waits for a holder.
func TestNodeThatHasJustConnected(t *testing.T) {
	nodes := []Node{{Name: "a", Address: "a", Place: "x"}, {Name: "b", Address: "b", Place: "x"}}
	upstreams := []Upstream{{ID: "u", Place: "x", MaxConnections: 2}}
	first := Choose(nil, upstreams, nodes, 2)
	if len(first["u"]) != 1 {
		t.Errorf("before any node has settled: %v", first)
	}
	for i := range nodes {
		nodes[i].Settled = true
	}
	if got := Choose(first, upstreams, nodes, 2); len(got["u"]) != 2 {
		t.Errorf("after all have: %v", got)
	}
}

// Guards against a holder that gets most teams, and against teams that move although their holder stays.
func TestTeamsAreSpreadAndStay(t *testing.T) {
	holders := []string{"10.0.0.7:4001", "10.0.0.7:4002", "10.0.0.7:4003"}
	const teams = 300
	first := map[string]int{}
	for i := range teams {
		team := fmt.Sprintf("team%d", i)
		ranked := Rank(team, holders)
		first[ranked[0]]++
		if got := Rank(team, ranked[:2])[0]; got != ranked[0] {
			t.Errorf("%s moved from %s to %s", team, ranked[0], got)
		}
	}
	for _, h := range holders {
		if n := first[h]; n < teams/4 || n > teams*5/12 {
			t.Errorf("%s holds %d of %d teams", h, n, teams)
		}
	}
}

// Guards against a sum of connections that leaves none for the successor of a lost holder.
func TestLostHolderLeavesRoomForItsSuccessor(t *testing.T) {
	for _, limit := range []int{23, 56, 70} {
		share := Share(limit, MaxPerUpstream)
		if sum := (MaxPerUpstream + 1) * share; sum > limit-ReservedConnections {
			t.Errorf("%d holders and a successor open %d connections of %d", MaxPerUpstream, sum, limit)
		}
	}
}
