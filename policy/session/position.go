// Package session implements read-your-writes consistency: positions in the logs of
// groups, the signed token that carries them between connections, and the check whether
// a replica has reached a position.
package session

import (
	"math"
	"slices"
	"strings"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Position is a position in the log of a group.
type Position struct {
	Group string
	Term  uint64
	LSN   uint64
}

// Before reports whether p is older than other, which must be of the same group.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.LSN < other.LSN
}

// Positions holds at most one position per group and is sorted by group.
type Positions []Position

// Get returns the position of a group and whether there is one.
func (ps Positions) Get(group string) (Position, bool) {
	i, ok := ps.search(group)
	if !ok {
		return Position{}, false
	}
	return ps[i], true
}

func (ps Positions) search(group string) (int, bool) {
	return slices.BinarySearchFunc(ps, group, func(p Position, g string) int {
		return strings.Compare(p.Group, g)
	})
}

// Advance returns ps with the position of p's group moved forward to p, and whether that
// changed it. A position never moves back. Advance may modify ps.
func (ps Positions) Advance(p Position) (Positions, bool) {
	i, ok := ps.search(p.Group)
	if !ok {
		return slices.Insert(ps, i, p), true
	}
	if !ps[i].Before(p) {
		return ps, false
	}
	ps[i] = p
	return ps, true
}

// Without returns a copy of ps without the position of group, or ps itself if it has none.
func (ps Positions) Without(group string) Positions {
	i, ok := ps.search(group)
	if !ok {
		return ps
	}
	return slices.Delete(slices.Clone(ps), i, i+1)
}

// IsLost reports whether a failover discarded the log at p: a later term started
// below it.
func IsLost(history []*controlpb.TermStart, p Position) bool {
	for _, start := range history {
		if start.Term > p.Term && start.StartLsn < p.LSN {
			return true
		}
	}
	return false
}

// HasReached reports whether a replica that has replayed up to lsn on timeline holds the
// whole log up to the minimum position.
func HasReached(history []*controlpb.TermStart, minimum Position, lsn uint64, timeline uint32) bool {
	if len(history) == 0 || IsLost(history, minimum) {
		return false
	}
	if minimum.Term > history[len(history)-1].Term {
		return false
	}
	return min(lsn, sharedUpTo(history, timeline)) >= minimum.LSN
}

// sharedUpTo returns the position up to which the log of a replica on timeline is certain
// to be the log of the current term. If two terms have the same timeline number, it proves
// nothing beyond the start of the later term.
func sharedUpTo(history []*controlpb.TermStart, timeline uint32) uint64 {
	current := history[len(history)-1]
	limit := uint64(math.MaxUint64)
	if timeline == current.Timeline && !isTimelineRepeated(history, timeline) {
		return limit
	}
	for _, start := range history[1:] {
		if timeline == 0 || start.Timeline >= timeline {
			limit = min(limit, start.StartLsn)
		}
	}
	return min(limit, current.StartLsn)
}

func isTimelineRepeated(history []*controlpb.TermStart, timeline uint32) bool {
	count := 0
	for _, start := range history {
		if start.Timeline == timeline {
			count++
		}
	}
	return count > 1
}
