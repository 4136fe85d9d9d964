package engine

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// recordRefusedSetup counts and logs each statement of a batch that sets up the upstream's session and that
// the upstream refused, and a prepared statement that it does not know. Both mean that the upstream's
// session is not in the state that this node believes it to be in.
func (e *Engine) recordRefusedSetup(c *upstreamConn, id string, batch []Statement, replies []Reply) {
	for i, reply := range replies {
		st := batch[i]
		if !isRefusedSetup(st.Kind, reply.Outcome) {
			continue
		}
		metrics.GetOrCreateCounter(`jayloom_gateway_refused_setups_total{statement="` + st.Kind.String() + `",outcome="` +
			reply.Outcome.String() + `"}`).Inc()
		e.log.WithFields(logrus.Fields{
			"event": "setup_refused", "id": LoggedID(id), "statement": st.Kind.String(), "outcome": reply.Outcome.String(),
			"upstream": c.pool.target.ID, "name": logged(st.Name), "name_bytes": len(st.Name),
			// A name of more than one field is read as a name and something else.
			"name_fields": 1 + strings.Count(st.Name, " "), "prepared": c.prepared.recent.Len(), "resets": c.resets,
		}).Warn("upstream refused to set up the session")
	}
}

// isRefusedSetup reports whether the outcome of a statement shows that the upstream's session differs from
// what this node believes.
func isRefusedSetup(k Kind, o Outcome) bool {
	switch k {
	case SetValue, Prepare, Forget, Reset:
		return o != Done
	case Execute:
		return o == NoStatement
	default:
		return false
	}
}

// refusedSetup reports whether a reply shows that the upstream's session differs from what this node believes. index
// is the first such reply that the statement of the batch depends on, or -1: the statement may have run although an
// earlier one was not closed.
func refusedSetup(batch []Statement, replies []Reply) (index int, refused bool) {
	for i, reply := range replies {
		if !isRefusedSetup(batch[i].Kind, reply.Outcome) {
			continue
		}
		if batch[i].Kind != Forget {
			return i, true
		}
		refused = true
	}
	return -1, refused
}
