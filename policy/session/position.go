// Package session decides on read-your-writes: positions in the log of a group,
// the signed token that carries them, and which replica has reached them.
package session

import (
	"math"
	"slices"
	"strings"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Position is a place in the log of a group.
type Position struct {
	Group string
	Term  uint64
	LSN   uint64
}

// Before reports whether p is older than other, which is of the same group.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.LSN < other.LSN
}

// Positions holds at most one position per group, sorted by group.
type Positions []Position

// Get returns the position of a group.
func (ps Positions) Get(group string) (Position, bool) {
	i, ok := ps.find(group)
	if !ok {
		return Position{}, false
	}
	return ps[i], true
}

func (ps Positions) find(group string) (int, bool) {
	return slices.BinarySearchFunc(ps, group, func(p Position, g string) int {
		return strings.Compare(p.Group, g)
	})
}

// Advance returns positions that are at least at p, and whether that changed them.
func (ps Positions) Advance(p Position) (Positions, bool) {
	i, ok := ps.find(p.Group)
	if !ok {
		return slices.Insert(ps, i, p), true
	}
	if !ps[i].Before(p) {
		return ps, false
	}
	ps[i] = p
	return ps, true
}

// Without returns the positions of the other groups.
func (ps Positions) Without(group string) Positions {
	i, ok := ps.find(group)
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

// HasReached reports whether a replica that has replayed up to lsn on timeline holds
// everything up to floor.
func HasReached(history []*controlpb.TermStart, floor Position, lsn uint64, timeline uint32) bool {
	if len(history) == 0 || IsLost(history, floor) {
		return false
	}
	if floor.Term > history[len(history)-1].Term {
		return false
	}
	return min(lsn, shared(history, timeline)) >= floor.LSN
}

// shared returns how far the log of a replica on timeline is surely the log of the
// current term. A timeline number that two terms carry proves nothing beyond the
// start of the later one.
func shared(history []*controlpb.TermStart, timeline uint32) uint64 {
	current := history[len(history)-1]
	limit := uint64(math.MaxUint64)
	if timeline == current.Timeline && !repeated(history, timeline) {
		return limit
	}
	for _, start := range history[1:] {
		if timeline == 0 || start.Timeline >= timeline {
			limit = min(limit, start.StartLsn)
		}
	}
	return min(limit, current.StartLsn)
}

func repeated(history []*controlpb.TermStart, timeline uint32) bool {
	count := 0
	for _, start := range history {
		if start.Timeline == timeline {
			count++
		}
	}
	return count > 1
}
