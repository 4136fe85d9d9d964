package engine

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// otherPlaceCost is what a statement in another place counts more: a round trip and
	// the price of bytes between places.
	otherPlaceCost = 4 * time.Millisecond
	// primaryCost keeps reads off the primary, whose slots writes need.
	primaryCost = 15 * time.Millisecond
	// unprovenCost is what an upstream counts more whose log was not yet seen at the
	// position: a second attempt, should it be behind.
	unprovenCost = 8 * time.Millisecond
	// fullCost is what an upstream counts more on which a connection must be waited for.
	fullCost = 20 * time.Millisecond
	// connectCost is what an upstream counts more on which a connection must be opened.
	// It takes one of its slots for as long as a short statement.
	connectCost = 15 * time.Millisecond
	// stalenessReserve is the time until the upstream starts a read that is sent now.
	stalenessReserve = 350 * time.Millisecond
	// observationGap is the least time between two kept observations.
	observationGap = 25 * time.Millisecond
	// observationsKept bounds the memory of a group: more than 2.5 s.
	observationsKept = 128
)

// Candidate is an upstream as the choice sees it.
type Candidate struct {
	ID, Place string
	Draining  bool
	Failing   bool
	// HasIdleConnection is true when an idle connection of the team is at hand, MustWait when one
	// must be waited for.
	HasIdleConnection, MustWait bool
	RecentlyBehind              bool
	InFlight                    int
	Latency                     time.Duration
	Position                    position.Position
}

// choose returns the index of the candidate that is expected to answer a read first, or
// -1. Load pattern: readers on all nodes, three slots at each upstream, one of them
// slow or lagging. Each node learns this from its own answers, so a slow upstream keeps
// as many reads as it can answer and no node has to ask another.
func choose(candidates []Candidate, place, primary string, floor position.Position, skip map[string]bool) int {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if c.Draining || c.Failing || skip[c.ID] {
			continue
		}
		proven := !c.Position.Before(floor)
		if c.RecentlyBehind && !proven {
			continue
		}
		cost := time.Duration(c.InFlight+1) * c.Latency
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
			cost += fullCost
		case !c.HasIdleConnection:
			cost += connectCost
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// observation says that every commit acknowledged before At is covered by Position.
type observation struct {
	at       time.Duration
	position position.Position
}

// observations are what a node has seen of a primary's log, oldest first.
type observations struct {
	kept []observation
}

// add notes that a server that led had reached p when it was asked at the time at.
func (o *observations) add(at time.Duration, p position.Position) {
	if n := len(o.kept); n > 0 {
		last := o.kept[n-1]
		if at < last.at+observationGap && last.position.Term == p.Term {
			return
		}
		// A position of an earlier term, or one asked for earlier, arrived late.
		if p.Term < last.position.Term || at < last.at {
			return
		}
		// Positions of an earlier term may have been rolled back.
		if p.Term > last.position.Term {
			o.kept = o.kept[:0]
		}
	}
	o.kept = append(o.kept, observation{at, p})
	if len(o.kept) > observationsKept {
		o.kept = append(o.kept[:0], o.kept[len(o.kept)-observationsKept/2:]...)
	}
}

func (o *observations) newest() (observation, bool) {
	if len(o.kept) == 0 {
		return observation{}, false
	}
	return o.kept[len(o.kept)-1], true
}

// covering returns the oldest observation that covers every commit acknowledged before
// since. The oldest asks least of the replicas.
func (o *observations) covering(since time.Duration) (observation, bool) {
	for _, kept := range o.kept {
		if kept.at >= since {
			return kept, true
		}
	}
	return observation{}, false
}

// readFloor returns the position that a read sent now needs. own is the position of the
// session's newest commit.
func readFloor(now, maxStaleness time.Duration, o *observations, own position.Position) (position.Position, bool) {
	seen, ok := o.covering(now + stalenessReserve - maxStaleness)
	if !ok {
		return position.Position{}, false
	}
	newest, _ := o.newest()
	switch {
	case own.Term < seen.position.Term:
		// The session wrote under an earlier primary. What is left of that is in
		// every position of the newer term.
		return seen.position, true
	case own.Term > newest.position.Term:
		return position.Position{}, false
	default:
		return position.Max(seen.position, own), true
	}
}
