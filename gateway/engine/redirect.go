package engine

import "time"

// What a node knows of the load of an upstream is some time old, and many nodes choose at the same moment. The node that
// holds the connections to an upstream knows the load when a read arrives there, and sends the read on to another
// upstream if its turn would come late.
//
// Load pattern: hundreds of nodes read from a few upstreams, one of which is busier than the others for some seconds:
// the data centre of many callers, or an upstream that has just come back and is chosen by all.

// redirectFraction is the fraction of the latency objective that a read may wait for its turn at the upstream that was
// chosen first. A wait that long is worth the way to another one.
const redirectFraction = 0.1

// mayRedirect bounds the wait of the next attempt if the read has not been sent on yet.
func (op *operation) mayRedirect(tried triedUpstreams) {
	op.maxWait = 0
	for _, reason := range tried {
		if reason == retryQueue {
			return
		}
	}
	op.maxWait = time.Duration(redirectFraction * float64(op.route.LatencyObjective))
}
