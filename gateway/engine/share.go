package engine

import (
	"math"
	"time"
)

const (
	// spareConnections of each upstream stay for the leader's probes.
	spareConnections = 1
	// smallShare is the equal part of an upstream's connections below which a node may
	// open more for a moment.
	smallShare = 2
	// surplusLimit is how many it may have open then: a transaction holds one while its
	// caller pauses.
	surplusLimit = 3
	// keptShare is the share of the equal part that may stay open while idle. An upstream
	// holds the connections of VMs without power for seconds; when all have lost it, the
	// rest is there for them at once.
	keptShare = 0.5
	// surplusIdle is how long a connection beyond that may stay idle.
	surplusIdle = 300 * time.Millisecond
	// surplusPause is how long a node keeps to what may stay open after the upstream had no
	// connection left.
	surplusPause = 3 * time.Second
)

// share is how many connections to one upstream a node may have. Load pattern: nearly as
// many nodes as an upstream accepts connections, each with few callers of many teams. Idle
// connections in equal parts would take up all of them while each node waits for its single
// one, so nodes keep few, and take more while they need them.
type share struct {
	// kept may stay open while idle; limit bounds what is open.
	kept, limit int
	// fullAt is when the upstream last had no connection left, or zero.
	fullAt time.Duration
}

// newShare returns the share of one of some nodes. maxConnections is 0 without a limit.
func newShare(maxConnections, nodes int) share {
	if maxConnections <= 0 {
		return share{kept: math.MaxInt32, limit: math.MaxInt32}
	}
	all := max(1, maxConnections-spareConnections)
	equal := all / max(1, nodes)
	kept := int(keptShare * float64(all) / float64(max(1, nodes)))
	if equal >= smallShare {
		return share{kept: kept, limit: equal}
	}
	return share{kept: kept, limit: min(surplusLimit, all)}
}

// limitNow is how many connections may be open.
func (s share) limitNow(now time.Duration) int {
	if s.fullAt != 0 && now-s.fullAt < surplusPause {
		return max(1, s.kept)
	}
	return s.limit
}
