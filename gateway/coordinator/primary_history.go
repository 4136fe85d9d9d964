package coordinator

import "github.com/jayloom/jayloom/api/controlpb"

// maxSentPrimaries is the number of topologies whose primaries are kept. Nodes receive a new
// topology within a fraction of a second.
const maxSentPrimaries = 16

// primaryHistory holds the primaries of the newest topologies that nodes were sent. Reports and
// positions name primaries by their position in them.
type primaryHistory struct {
	entries []sentPrimaries
}

type sentPrimaries struct {
	revision  uint64
	primaries []*controlpb.TopologyPrimary
}

// add adds the primaries of a topology, if they are not the newest ones already.
func (h *primaryHistory) add(revision uint64, primaries []*controlpb.TopologyPrimary) {
	if n := len(h.entries); n > 0 && h.entries[n-1].revision == revision {
		return
	}
	h.entries = append(h.entries, sentPrimaries{revision, primaries})
	if n := len(h.entries); n > maxSentPrimaries {
		h.entries = append(h.entries[:0], h.entries[n-maxSentPrimaries:]...)
	}
}

// of returns the primaries of a topology, or none if it was not sent lately.
func (h *primaryHistory) of(revision uint64) []*controlpb.TopologyPrimary {
	for _, e := range h.entries {
		if e.revision == revision {
			return e.primaries
		}
	}
	return nil
}

// resolve returns the primaries at the given positions of a topology, by service.
func (h *primaryHistory) resolve(revision uint64, positions []uint32) map[string]string {
	known := h.of(revision)
	resolved := make(map[string]string, len(positions))
	for _, i := range positions {
		if int(i) < len(known) {
			resolved[known[i].Service] = known[i].Upstream
		}
	}
	return resolved
}
