package engine

import (
	"time"

	"github.com/jayloom/jayloom/base/clock"
)

// What a node knows of the load of an upstream is some time old, and many nodes choose at the same moment. The node that
// holds the connections to an upstream knows the load when a read arrives there, and sends the read on to another
// upstream if its turn would come late.
//
// Load pattern: hundreds of nodes read from a few upstreams, one of which is busier than the others for some seconds:
// the data centre of many callers, or an upstream that has just come back and is chosen by all.

// redirectFraction is the fraction of the latency objective that a read may wait for its turn at the upstream that was
// chosen first. A wait that long is worth the way to another one.
const redirectFraction = 0.1

// redirectWait returns how long a read may wait for its turn at the upstream that was chosen before it is sent on, or 0
// if it is not: it was sent on before, or no other upstream can serve it.
func (s *Session) redirectWait(op *operation, chosen *pool, tried triedUpstreams) time.Duration {
	others := triedUpstreams{chosen.target.ID: retryQueue}
	for id, reason := range tried {
		if reason == retryQueue {
			return 0
		}
		others[id] = reason
	}
	own := s.newestCommits[op.group.service]
	if _, ok := op.group.planRead(clock.Now(), op, s.engine.opts.Place, own, others); !ok {
		return 0
	}
	return time.Duration(redirectFraction * float64(op.route.LatencyObjective))
}
