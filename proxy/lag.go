package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/jayloom/jayloom/policy/session"
)

const (
	// maxCommits bounds the commits remembered of one group.
	maxCommits = 512
	// minCommitInterval is the least time between two remembered commits. As half of a full
	// memory is dropped at once, it reaches back at least 2.5 s.
	minCommitInterval = 10 * time.Millisecond
	// lagDriftDivisor widens an estimate by this part of the time since the last answer,
	// so that a lag that changes slowly is followed.
	lagDriftDivisor = 500
	// lagResetWidth bounds the width of an estimate after an answer that contradicts the
	// earlier ones.
	lagResetWidth = 20 * time.Millisecond
	// lagUnknown stands for the upper bound of a lag that no answer has bounded yet, or
	// that is longer than the memory of commits.
	lagUnknown = time.Hour
)

// lagTracker holds what this proxy has learned of the replicas' lag, by group.
type lagTracker struct {
	mu     sync.RWMutex
	groups map[string]*groupLag
}

func newLagTracker() *lagTracker {
	return &lagTracker{groups: map[string]*groupLag{}}
}

func (b *lagTracker) group(group string) *groupLag {
	b.mu.RLock()
	g, ok := b.groups[group]
	b.mu.RUnlock()
	if ok {
		return g
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g, ok = b.groups[group]
	if !ok {
		g = &groupLag{}
		b.groups[group] = g
	}
	return g
}

// commit is a position that the primary was seen to reach.
type commit struct {
	at  time.Duration
	lsn uint64
}

// groupLag estimates how long after a commit the replicas of one group hold it, as
// seen from this proxy. It compares the positions in checked answers of replicas with
// the times of commits that this proxy forwarded. It only guides the choice of a
// replica and proves nothing.
type groupLag struct {
	mu   sync.Mutex
	term uint64
	// commits rise in both fields.
	commits  []commit
	replicas map[string]*replicaLag
}

// replicaLag bounds the lag of one replica.
type replicaLag struct {
	low, high time.Duration
	// updatedAt is when the bounds were last changed.
	updatedAt time.Duration
}

// recordCommit records that a write of this proxy has just reached a position.
func (g *groupLag) recordCommit(now time.Duration, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term > g.term {
		g.term, g.commits, g.replicas = p.Term, nil, map[string]*replicaLag{}
	}
	if p.Term < g.term {
		return
	}
	if n := len(g.commits); n > 0 {
		last := g.commits[n-1]
		if p.LSN <= last.lsn || now-last.at < minCommitInterval {
			return
		}
	}
	if len(g.commits) >= maxCommits {
		g.commits = slices.Delete(g.commits, 0, maxCommits/2)
	}
	g.commits = append(g.commits, commit{at: now, lsn: p.LSN})
}

// reachedSince returns the earliest time at which the primary is known to have reached a
// position.
func (g *groupLag) reachedSince(p session.Position, known time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		return known
	}
	i, _ := g.searchCommits(p.LSN)
	if i == len(g.commits) {
		return known
	}
	return min(known, g.commits[i].at)
}

// searchCommits returns the index of the first commit at or above a position.
func (g *groupLag) searchCommits(lsn uint64) (int, bool) {
	return slices.BinarySearchFunc(g.commits, lsn, func(c commit, lsn uint64) int {
		switch {
		case c.lsn < lsn:
			return -1
		case c.lsn > lsn:
			return 1
		default:
			return 0
		}
	})
}

// recordAnswer records the position that a replica showed to a read that was given to it
// at a time.
func (g *groupLag) recordAnswer(address string, asked time.Duration, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		return
	}
	low, high := g.lagBounds(asked, p.LSN)
	r, ok := g.replicas[address]
	if !ok {
		g.replicas[address] = &replicaLag{low: low, high: high, updatedAt: asked}
		return
	}
	r.narrow(asked, low, high)
}

// lagBounds returns what the position of a replica says of its lag: it holds the commits
// up to the position, and not the next one.
func (g *groupLag) lagBounds(asked time.Duration, lsn uint64) (low, high time.Duration) {
	next, exact := g.searchCommits(lsn)
	if exact {
		next++
	}
	low, high = 0, lagUnknown
	if next > 0 {
		high = max(0, asked-g.commits[next-1].at)
	}
	if next < len(g.commits) {
		low = max(0, asked-g.commits[next].at)
	}
	return low, high
}

func (r *replicaLag) narrow(at, low, high time.Duration) {
	r.widen(at)
	switch {
	case low > r.high:
		r.low, r.high = low, min(high, low+lagResetWidth)
	case high < r.low:
		r.low, r.high = max(low, high-lagResetWidth), high
	default:
		r.low, r.high = max(r.low, low), min(r.high, high)
	}
}

func (r *replicaLag) widen(at time.Duration) {
	if at <= r.updatedAt {
		return
	}
	drift := (at - r.updatedAt) / lagDriftDivisor
	r.low = max(0, r.low-drift)
	r.high = min(lagUnknown, r.high+drift)
	r.updatedAt = at
}

// estimate returns the middle of the bounds, which halves them with the next answer
// that falls between.
func (g *groupLag) estimate(address string, term uint64, now time.Duration) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[address]
	if !ok || term != g.term {
		return 0, false
	}
	r.widen(now)
	return (r.low + r.high) / 2, r.high < lagUnknown
}
