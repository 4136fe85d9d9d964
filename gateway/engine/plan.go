package engine

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// otherPlaceCost is added for an upstream in another place: a round trip and the price of
	// traffic between places.
	otherPlaceCost = 4 * time.Millisecond
	// primaryCost keeps reads off the primary, whose slots are needed for writes.
	primaryCost = 15 * time.Millisecond
	// unprovenCost is added for an upstream that is not known to have reached the minimum
	// position. If it is behind, a second attempt is necessary.
	unprovenCost = 8 * time.Millisecond
	// waitCost is added for an upstream on which the read must wait for a connection.
	waitCost = 20 * time.Millisecond
	// connectCost is added for an upstream to which a connection must be opened. Opening one
	// occupies a slot of the upstream for as long as a short statement.
	connectCost = 15 * time.Millisecond
	// stalenessReserve is the time allowed between the sending of a read and its start at the
	// upstream.
	stalenessReserve = 350 * time.Millisecond
	// minObservationInterval is the minimum time between two observations that are kept.
	minObservationInterval = 25 * time.Millisecond
	// maxObservations bounds the memory of a group. So many observations cover more than
	// 2.5 s.
	maxObservations = 128
)

// Candidate is the state of an upstream that chooseCandidate compares.
type Candidate struct {
	ID, Place string
	Draining  bool
	Failing   bool
	// HasIdleConnection is true when an idle connection of the team is available, and
	// MustWait when a read must wait for a connection.
	HasIdleConnection, MustWait bool
	// Pause is how long nothing is offered to the upstream because it has shed work or had no
	// connection left.
	Pause          time.Duration
	RecentlyBehind bool
	// NeedsPermit is true when a statement needs a permit for the upstream, and NoPermit when there is none.
	NeedsPermit, NoPermit bool
	// Success is the fraction of statements that the upstream runs; 0 stands for all.
	Success  float64
	InFlight int
	Latency  time.Duration
	Position position.Position
}

// chooseCandidate returns the index of the candidate with the lowest cost for a read, or -1.
// The cost is an estimate of the time to the answer. It is meant for readers on all nodes and
// upstreams with three slots, one of which is slow or lagging: each node estimates from the
// answers that it gets, so a slow upstream gets as many reads as it can answer, and the nodes
// need not coordinate.
func chooseCandidate(candidates []Candidate, place, primary string, minPosition position.Position, tried triedUpstreams) int {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Draining || c.Failing || c.NoPermit || tried.has(c.ID) {
			continue
		}
		proven := !c.Position.Before(minPosition)
		if c.RecentlyBehind && !proven {
			continue
		}
		cost := time.Duration(c.InFlight+1)*c.Latency + c.Pause
		if c.Place != place {
			cost += otherPlaceCost
		}
		if c.ID == primary {
			cost += primaryCost
		} else if !proven {
			cost += unprovenCost
		}
		switch {
		case c.MustWait:
			cost += waitCost
		case !c.HasIdleConnection:
			cost += connectCost
		}
		if c.Success > 0 {
			cost = time.Duration(float64(cost) / c.Success)
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// observation states that every commit acknowledged before the time at is covered by
// position.
type observation struct {
	at       time.Duration
	position position.Position
}

// observations holds the observed positions of a primary, oldest first.
type observations struct {
	entries []observation
}

// add records that an upstream had reached p, as the primary, when it was queried at the time
// at.
func (o *observations) add(at time.Duration, p position.Position) {
	if n := len(o.entries); n > 0 {
		last := o.entries[n-1]
		if at < last.at+minObservationInterval && last.position.Term == p.Term {
			return
		}
		// Ignores observations that arrive late: of an earlier term, or queried earlier.
		if p.Term < last.position.Term || at < last.at {
			return
		}
		// Commits of an earlier term may have been rolled back.
		if p.Term > last.position.Term {
			o.entries = o.entries[:0]
		}
	}
	o.entries = append(o.entries, observation{at, p})
	if len(o.entries) > maxObservations {
		o.entries = append(o.entries[:0], o.entries[len(o.entries)-maxObservations/2:]...)
	}
}

func (o *observations) newest() (observation, bool) {
	if len(o.entries) == 0 {
		return observation{}, false
	}
	return o.entries[len(o.entries)-1], true
}

// covering returns the oldest observation that covers every commit acknowledged before since.
// It has the lowest position, which most replicas have reached.
func (o *observations) covering(since time.Duration) (observation, bool) {
	for _, entry := range o.entries {
		if entry.at >= since {
			return entry, true
		}
	}
	return observation{}, false
}

// minReadPosition returns the minimum position for a read that is sent now. own is the
// position of the session's newest commit.
func minReadPosition(now, maxStaleness time.Duration, o *observations, own position.Position) (position.Position, bool) {
	oldest, ok := o.covering(now + stalenessReserve - maxStaleness)
	if !ok {
		return position.Position{}, false
	}
	newest, _ := o.newest()
	switch {
	case own.Term < oldest.position.Term:
		// The session wrote under an earlier primary. Its commits that survived the failover
		// are covered by every position of the newer term.
		return oldest.position, true
	case own.Term > newest.position.Term:
		return position.Position{}, false
	default:
		return position.Max(oldest.position, own), true
	}
}
