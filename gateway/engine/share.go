package engine

import (
	"math"
	"time"
)

const (
	// reservedConnections of each upstream stay for the leader's probes.
	reservedConnections = 1
	// smallShare is the equal part of an upstream's connections below which a node may
	// open more for a moment.
	smallShare = 2
	// surplusMaxOpen is how many it may have open then: a transaction holds one while its
	// caller pauses.
	surplusMaxOpen = 3
	// idleFraction is the share of the equal part that may stay open while idle. An upstream
	// holds the connections of VMs without power for seconds; when all have lost it, the
	// rest is there for them at once.
	idleFraction = 0.5
	// surplusIdleTimeout is how long a connection beyond that may stay idle.
	surplusIdleTimeout = 300 * time.Millisecond
	// surplusBackoff is how long a node keeps to what may stay open after the upstream had no
	// connection left.
	surplusBackoff = 3 * time.Second
)

// share is how many connections to one upstream a node may have. Load pattern: nearly as
// many nodes as an upstream accepts connections, each with few callers of many teams. Idle
// connections in equal parts would take up all of them while each node waits for its single
// one, so nodes keep few, and take more while they need them.
type share struct {
	// maxIdle may stay open while idle; maxOpen bounds what is open.
	maxIdle, maxOpen int
	// fullAt is when the upstream last had no connection left, or zero.
	fullAt time.Duration
}

// newShare returns the share of one of some nodes. maxConnections is 0 without a limit.
func newShare(maxConnections, nodes int) share {
	if maxConnections <= 0 {
		return share{maxIdle: math.MaxInt32, maxOpen: math.MaxInt32}
	}
	available := max(1, maxConnections-reservedConnections)
	equalPart := available / max(1, nodes)
	maxIdle := int(idleFraction * float64(available) / float64(max(1, nodes)))
	if equalPart >= smallShare {
		return share{maxIdle: maxIdle, maxOpen: equalPart}
	}
	return share{maxIdle: maxIdle, maxOpen: min(surplusMaxOpen, available)}
}

// currentMaxOpen is how many connections may be open.
func (s share) currentMaxOpen(now time.Duration) int {
	if s.fullAt != 0 && now-s.fullAt < surplusBackoff {
		return max(1, s.maxIdle)
	}
	return s.maxOpen
}
