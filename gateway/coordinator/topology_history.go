package coordinator

import (
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/topology"
)

// maxSentTopologies is the number of topologies that are kept. Nodes receive a new topology within
// a fraction of a second.
const maxSentTopologies = 16

// topologyHistory holds the newest topologies that nodes were sent, the newest one last. A node
// that has one of them receives only the difference, and reports and positions name primaries by
// their position in one of them. Topologies must not be modified.
type topologyHistory struct {
	log     *logrus.Entry
	entries []sentTopology
	// complete and changes cache what nodes are sent: the newest topology, and the changes to it by
	// base revision.
	complete *encoded[*controlpb.Topology]
	changes  map[uint64]encoded[*controlpb.TopologyChange]
}

// sentTopology is a topology that nodes were sent.
type sentTopology struct {
	*controlpb.Topology
	// primaryIndex is the position of each service's primary in the topology.
	primaryIndex map[string]int
}

// newest returns the newest topology, or nil.
func (h *topologyHistory) newest() *controlpb.Topology {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[len(h.entries)-1].Topology
}

// add adds a newer topology.
func (h *topologyHistory) add(t *controlpb.Topology) {
	sent := sentTopology{t, make(map[string]int, len(t.Primaries))}
	for i, p := range t.Primaries {
		sent.primaryIndex[p.Service] = i
	}
	h.entries = append(h.entries, sent)
	if n := len(h.entries); n > maxSentTopologies {
		h.entries = append(h.entries[:0], h.entries[n-maxSentTopologies:]...)
	}
	h.complete, h.changes = nil, map[uint64]encoded[*controlpb.TopologyChange]{}
}

// of returns the topology of a revision, without content if it was not sent lately.
func (h *topologyHistory) of(revision uint64) sentTopology {
	for _, sent := range h.entries {
		if sent.Revision == revision {
			return sent
		}
	}
	return sentTopology{}
}

// indexOf returns the position of a primary among those of the topology.
func (t sentTopology) indexOf(service, upstream string) (int, bool) {
	i, ok := t.primaryIndex[service]
	return i, ok && t.Primaries[i].Upstream == upstream
}

// changeFrom returns the change from a revision to the newest topology. ok is false if the topology of
// that revision is not kept.
func (h *topologyHistory) changeFrom(revision uint64) (change encoded[*controlpb.TopologyChange], ok bool) {
	if change, ok := h.changes[revision]; ok {
		return change, true
	}
	base := h.of(revision).Topology
	if base == nil {
		return change, false
	}
	h.changes[revision] = encode(topology.Diff(base, h.newest()), h.log)
	return h.changes[revision], true
}

// encodedNewest returns the newest topology as it is sent.
func (h *topologyHistory) encodedNewest() encoded[*controlpb.Topology] {
	if h.complete == nil {
		complete := encode(h.newest(), h.log)
		h.complete = &complete
	}
	return *h.complete
}

// resolve returns the primaries at the given positions of a topology, by service.
func (h *topologyHistory) resolve(revision uint64, positions []uint32) map[string]string {
	known := h.of(revision).GetPrimaries()
	resolved := make(map[string]string, len(positions))
	for _, i := range positions {
		if int(i) < len(known) {
			resolved[known[i].Service] = known[i].Upstream
		}
	}
	return resolved
}
