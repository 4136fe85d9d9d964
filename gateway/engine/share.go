package engine

import (
	"math"
	"time"

	"github.com/jayloom/jayloom/gateway/holders"
)

const (
	reservedConnections = holders.ReservedConnections
	// surplusMaxOpen is how many connections a node may have for a short time where its equal part is below
	// holders.SmallShare. It allows for a transaction that holds a connection while its caller
	// pauses.
	surplusMaxOpen = 3
	// maxInUsePerSlot is how many connections to an upstream the nodes that hold them use at once for each of its
	// slots. Some are inside transactions whose callers pause.
	maxInUsePerSlot = 6
	// idleFraction is the fraction of the equal part that may stay open while idle. An
	// upstream keeps the connections of VMs that lost power for some seconds; when all nodes
	// have lost it, the rest is available to them as soon as they restart.
	idleFraction = 0.5
	// surplusIdleTimeout is how long a connection beyond maxIdle may stay idle.
	surplusIdleTimeout = 300 * time.Millisecond
	// surplusBackoff is how long a node opens no more than maxIdle connections after the
	// upstream had no connection left.
	surplusBackoff = 3 * time.Second
	// restartScarcity is how long after a restart of all nodes connections are scarce: upstreams
	// keep those of VMs that lost power for some seconds.
	restartScarcity = 3 * time.Second
)

// share is how many connections to one upstream a node may have. Some deployments have nearly
// as many nodes as an upstream accepts connections, and each node has few callers of many
// teams. If every node kept its equal part open while idle, no connection would be left, and
// every node would have a single connection to wait for. So a node keeps few connections
// idle, and opens more while it needs them.
type share struct {
	// maxIdle bounds the connections that stay open while idle; maxOpen bounds all open ones.
	maxIdle, maxOpen int
	// maxInUse bounds those in use; 0 means as many as may be open.
	maxInUse int
	// maxRunning bounds the statements that run at once; 0 means without limit.
	maxRunning int
	// fullAt is when the upstream last had no connection left, or zero.
	fullAt time.Duration
	// scarceUntil is until when the upstream may have none left for other nodes because all have
	// restarted.
	scarceUntil time.Duration
}

// newShare returns the share of one node out of nodes. maxConnections is the limit of the
// upstream, or 0 if it has none.
func newShare(maxConnections, nodes int) share {
	if maxConnections <= 0 {
		return share{maxIdle: math.MaxInt32, maxOpen: math.MaxInt32}
	}
	available := max(1, maxConnections-holders.ReservedConnections)
	equalPart := holders.EqualPart(maxConnections, nodes)
	maxIdle := int(idleFraction * float64(available) / float64(max(1, nodes)))
	if equalPart >= holders.SmallShare {
		return share{maxIdle: maxIdle, maxOpen: equalPart}
	}
	return share{maxIdle: maxIdle, maxOpen: min(surplusMaxOpen, available)}
}

// newHolderShare returns the share of one of n nodes that hold the connections to an upstream for all others. It
// keeps them open while idle, for many teams, and uses fewer at once: the upstream has few slots, and statements wait
// better in the pool's queue than in its own, where they keep a connection and may be refused.
func newHolderShare(maxConnections, n, slots int) share {
	limit := holders.Share(maxConnections, n)
	s := share{maxIdle: limit, maxOpen: limit}
	if slots > 0 {
		s.maxInUse = max(1, maxInUsePerSlot*slots/n)
		s.maxRunning = runningLimit(slots, n)
	}
	return s
}

// currentMaxOpen returns how many connections may be open.
func (s share) currentMaxOpen(now time.Duration) int {
	if s.wasFull(now) {
		return max(1, s.maxIdle)
	}
	return s.maxOpen
}

// isScarce reports whether the upstream may have no connection left for other nodes.
func (s share) isScarce(now time.Duration) bool {
	return now < s.scarceUntil || s.wasFull(now)
}

// wasFull reports whether the upstream had no connection left a short time ago.
func (s share) wasFull(now time.Duration) bool {
	return s.fullAt != 0 && now-s.fullAt < surplusBackoff
}
