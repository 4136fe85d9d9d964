package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/jayloom/jayloom/policy/session"
)

const (
	// maxCommits bounds the commits remembered per group.
	maxCommits = 512
	// minCommitInterval is the least time between two remembered commits. Half of a full
	// list is dropped at once, so it reaches back at least 2.5 s.
	minCommitInterval = 10 * time.Millisecond
	// lagDriftDivisor widens an estimate by this fraction of the time since the last
	// answer, so that it follows a slowly changing lag.
	lagDriftDivisor = 500
	// lagResetWidth bounds the width of an estimate after an answer that contradicts the
	// earlier ones.
	lagResetWidth = 20 * time.Millisecond
	// lagUnknown is the upper bound of a lag that no answer has bounded yet, or that
	// reaches back beyond the remembered commits.
	lagUnknown = time.Hour
)

// lagTracker estimates the replicas' lag from this proxy's own traffic, by group.
type lagTracker struct {
	mu     sync.RWMutex
	groups map[string]*groupLag
}

func newLagTracker() *lagTracker {
	return &lagTracker{groups: map[string]*groupLag{}}
}

func (t *lagTracker) group(name string) *groupLag {
	t.mu.RLock()
	g, ok := t.groups[name]
	t.mu.RUnlock()
	if ok {
		return g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok = t.groups[name]
	if !ok {
		g = &groupLag{}
		t.groups[name] = g
	}
	return g
}

// commit is a position and the time at which the primary was seen to reach it.
type commit struct {
	at  time.Duration
	lsn uint64
}

// groupLag estimates how long after a commit the replicas of one group have replayed it,
// as observed by this proxy. It compares the positions in checked answers of replicas
// with the times of commits that this proxy forwarded. The estimate only guides the
// choice of a replica and proves nothing.
type groupLag struct {
	mu   sync.Mutex
	term uint64
	// commits are in ascending order of both fields.
	commits  []commit
	replicas map[string]*replicaLag
}

// replicaLag holds the bounds of one replica's lag.
type replicaLag struct {
	low, high time.Duration
	// updatedAt is when the bounds were last changed.
	updatedAt time.Duration
}

// recordCommit records that a write through this proxy has just reached a position.
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
// position: knownSince, or the time of an earlier commit.
func (g *groupLag) reachedSince(p session.Position, knownSince time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		return knownSince
	}
	i, _ := g.searchCommits(p.LSN)
	if i == len(g.commits) {
		return knownSince
	}
	return min(knownSince, g.commits[i].at)
}

// searchCommits returns the index of the first commit at or above a position, and
// whether it is at the position.
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

// recordAnswer records the position at which a replica answered a read that was assigned
// to it at askedAt.
func (g *groupLag) recordAnswer(address string, askedAt time.Duration, p session.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Term != g.term {
		return
	}
	low, high := g.lagBounds(askedAt, p.LSN)
	r, ok := g.replicas[address]
	if !ok {
		g.replicas[address] = &replicaLag{low: low, high: high, updatedAt: askedAt}
		return
	}
	r.narrow(askedAt, low, high)
}

// lagBounds derives bounds of a replica's lag from its position: the replica has
// replayed the commits up to the position, and not the next one.
func (g *groupLag) lagBounds(askedAt time.Duration, lsn uint64) (low, high time.Duration) {
	next, exact := g.searchCommits(lsn)
	if exact {
		next++
	}
	low, high = 0, lagUnknown
	if next > 0 {
		high = max(0, askedAt-g.commits[next-1].at)
	}
	if next < len(g.commits) {
		low = max(0, askedAt-g.commits[next].at)
	}
	return low, high
}

// narrow intersects the bounds with those of a new answer, which wins if they contradict
// each other.
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

// widen relaxes the bounds by the drift since their last change.
func (r *replicaLag) widen(at time.Duration) {
	if at <= r.updatedAt {
		return
	}
	drift := (at - r.updatedAt) / lagDriftDivisor
	r.low = max(0, r.low-drift)
	r.high = min(lagUnknown, r.high+drift)
	r.updatedAt = at
}

// estimate returns the middle of the bounds: the next answer within them then halves the
// interval. It reports false while there is no upper bound.
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
