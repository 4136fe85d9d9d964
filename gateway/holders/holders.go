// Package holders decides which gateway nodes hold the connections to an upstream, and which of them holds those of
// a team. It has no clock and no I/O.
//
// Load pattern: nearly a hundred nodes, an upstream that accepts fewer connections than there are nodes, and nearly a
// hundred teams, each of which needs connections of its own. When each node opens connections itself, nearly every
// statement opens one, which takes as much of the upstream's capacity as the statement.
package holders

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// ReservedConnections of each upstream are left for the control leader's probes.
	ReservedConnections = 1
	// SmallShare is the number of connections below which an equal part of an upstream's is too small for a node:
	// a transaction holds one while its caller pauses.
	SmallShare = 2
	// MaxPerUpstream is the number of nodes that hold the connections to one upstream. Several of them share the
	// traffic of the upstream, and the loss of one leaves most teams their connections.
	MaxPerUpstream = 3
	// minPerUpstream is the number of holders below which the leader holds connections too: with a single holder, its
	// loss would send all nodes to connections of their own.
	minPerUpstream = 2
	// wideLinkFactor is how many times the bandwidth of the narrowest link of its place a node has whose link counts
	// as wide. On a narrow link, an answer of a kilobyte that passes a holder takes as long as a short statement.
	wideLinkFactor = 4
	// maxPerWideNode and maxPerNode are the numbers of upstreams that each node with a wide link and each other node
	// hold at most. In a place with more, each node opens connections itself: few nodes can't serve the traffic of
	// hundreds of upstreams, and with holders everywhere each node is connected to nearly all others.
	maxPerWideNode = 32
	maxPerNode     = 8
	// retainedFactor is how many times these a place may have that has holders, so that the loss of a node does not
	// switch them off.
	retainedFactor = 2
	// connectionFraction is the fraction of an upstream's connections that its holders use. The rest is for the
	// successor of a lost holder, whose connections the upstream keeps for some seconds, and for nodes that reach
	// no holder.
	connectionFraction = 0.7
	// retainedShare is the equal part below which holders that were chosen stay in use, so that a node more or less
	// does not switch them on and off.
	retainedShare = SmallShare + 1
)

// Node is a connected node.
type Node struct {
	Name    string
	Address string
	Place   string
	// Voter is set for a node with a data folder, Leader for the one that decides.
	Voter, Leader bool
	// LinkMbps is the bandwidth of the node's link, or 0 if it is not known.
	LinkMbps int
	// Settled is set once the node has been connected for a while. Others are chosen only for upstreams without a
	// holder.
	Settled bool
}

// Upstream is a server whose connections may be held.
type Upstream struct {
	ID    string
	Place string
	// MaxConnections is the number of connections that it accepts, or 0 if that is not limited.
	MaxConnections int
}

// EqualPart returns the part of an upstream's connections that each node of a fleet may open.
func EqualPart(maxConnections, nodes int) int {
	return max(1, maxConnections-ReservedConnections) / max(1, nodes)
}

// Share returns how many connections each of n holders of an upstream may open.
func Share(maxConnections, n int) int {
	return max(1, int(connectionFraction*float64(maxConnections-ReservedConnections))/max(minPerUpstream, n))
}

// Choose returns the addresses of the holders, sorted, of each upstream that needs some. current holds those of the previous
// choice: a holder that is still connected is kept, so a node that has just connected displaces none. fleetSize is the
// number of nodes among which connections are divided.
func Choose(current map[string][]string, upstreams []Upstream, nodes []Node, fleetSize int) map[string][]string {
	c := &chooser{
		byPlace: map[string][]Node{}, byAddress: map[string]Node{}, roles: map[string]int{}, chosen: map[string][]string{},
	}
	scarce := scarceUpstreams(current, upstreams, fleetSize)
	perPlace, held := countByPlace(scarce, current)
	for place, here := range groupByPlace(nodes) {
		most := perPlace[place]
		if held[place] {
			most = (most + retainedFactor - 1) / retainedFactor
		}
		c.byPlace[place] = candidates(here, most)
		for _, n := range c.byPlace[place] {
			c.byAddress[n.Address] = n
		}
	}
	c.keep(current, scarce)
	c.fill(scarce, perPlace)
	for _, addresses := range c.chosen {
		slices.Sort(addresses)
	}
	return c.chosen
}

func groupByPlace(nodes []Node) map[string][]Node {
	out := map[string][]Node{}
	for _, n := range nodes {
		out[n.Place] = append(out[n.Place], n)
	}
	return out
}

// countByPlace returns the number of upstreams in each place, and the places that have holders.
func countByPlace(upstreams []Upstream, current map[string][]string) (map[string]int, map[string]bool) {
	count, held := map[string]int{}, map[string]bool{}
	for _, u := range upstreams {
		count[u.Place]++
		if len(current[u.ID]) > 0 {
			held[u.Place] = true
		}
	}
	return count, held
}

// candidates returns the nodes of a place that may hold the connections to a number of upstreams, sorted by name:
// those with a wide link if there are any, else those without a data folder, else all; none if each would hold too
// many. The leader has its own work, and is one of them only if its link is wide and there are few.
func candidates(nodes []Node, upstreams int) []Node {
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	limit := func(chosen []Node, most int) []Node {
		if minPerUpstream*upstreams > most*len(chosen) {
			return nil
		}
		return chosen
	}
	others := without(nodes, func(n Node) bool { return n.Leader })
	if wide := without(nodes, isNarrow(nodes)); len(wide) > 0 {
		if rest := without(wide, func(n Node) bool { return n.Leader }); len(rest) >= minPerUpstream {
			return limit(rest, maxPerWideNode)
		}
		return limit(wide, maxPerWideNode)
	}
	if plain := without(others, func(n Node) bool { return n.Voter }); len(plain) > 0 {
		return limit(plain, maxPerNode)
	}
	return limit(others, maxPerNode)
}

// isNarrow reports whether the link of a node is not much wider than the narrowest one of the nodes.
func isNarrow(nodes []Node) func(Node) bool {
	narrowest := 0
	for i, n := range nodes {
		if i == 0 || n.LinkMbps < narrowest {
			narrowest = n.LinkMbps
		}
	}
	return func(n Node) bool { return narrowest == 0 || n.LinkMbps < wideLinkFactor*narrowest }
}

func without(nodes []Node, excluded func(Node) bool) []Node {
	return slices.DeleteFunc(slices.Clone(nodes), excluded)
}

// scarceUpstreams returns the upstreams whose connections are too few for each node to have some, sorted by ID.
func scarceUpstreams(current map[string][]string, upstreams []Upstream, fleetSize int) []Upstream {
	var out []Upstream
	for _, u := range upstreams {
		limit := SmallShare
		if len(current[u.ID]) > 0 {
			limit = retainedShare
		}
		if u.MaxConnections > 0 && EqualPart(u.MaxConnections, fleetSize) < limit {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// chooser is the state of one choice.
type chooser struct {
	// byPlace and byAddress hold the candidates.
	byPlace   map[string][]Node
	byAddress map[string]Node
	// roles counts the upstreams that each node holds, by address.
	roles  map[string]int
	chosen map[string][]string
}

// keep keeps the current holders that are still candidates.
func (c *chooser) keep(current map[string][]string, upstreams []Upstream) {
	for _, u := range upstreams {
		for _, address := range current[u.ID] {
			n, ok := c.byAddress[address]
			if ok && n.Place == u.Place && len(c.chosen[u.ID]) < MaxPerUpstream {
				c.add(u.ID, n)
			}
		}
	}
}

func (c *chooser) add(upstream string, n Node) {
	c.chosen[upstream] = append(c.chosen[upstream], n.Address)
	c.roles[n.Address]++
}

// fill adds holders until each upstream has minPerUpstream, and more if its place has a node for each.
func (c *chooser) fill(upstreams []Upstream, perPlace map[string]int) {
	for count := 1; count <= MaxPerUpstream; count++ {
		for _, u := range upstreams {
			nodes := c.byPlace[u.Place]
			if len(c.chosen[u.ID]) < count && (count <= minPerUpstream || len(nodes) >= count*perPlace[u.Place]) {
				c.addBest(u.ID, nodes)
			}
		}
	}
}

// addBest adds the node with the fewest upstreams; among equals, the one with the highest score for the upstream.
func (c *chooser) addBest(upstream string, nodes []Node) {
	best, bestScore := -1, uint64(0)
	for i, n := range nodes {
		if slices.Contains(c.chosen[upstream], n.Address) || (!n.Settled && len(c.chosen[upstream]) > 0) {
			continue
		}
		s := score(upstream, n.Name)
		if best >= 0 {
			order := cmp.Compare(c.roles[n.Address], c.roles[nodes[best].Address])
			if order > 0 || (order == 0 && s <= bestScore) {
				continue
			}
		}
		best, bestScore = i, s
	}
	if best >= 0 {
		c.add(upstream, nodes[best])
	}
}

// Equal reports whether two choices are the same.
func Equal(a, b map[string][]string) bool {
	return maps.EqualFunc(a, b, slices.Equal)
}
