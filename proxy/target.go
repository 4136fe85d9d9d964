package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/view"
)

// target is where a request is sent.
type target struct {
	pool  *pool
	group string
	term  uint64
	// primary says that the answer counts only under the term's primary lease.
	primary bool
	// floor is the position that a replica must show, when checked is set.
	floor   session.Position
	checked bool
	// chosen is when a replica was chosen by its estimated lag.
	chosen time.Duration
}

// leasedPrimary returns the primary of a group under a valid lease. It waits for
// one until ctx ends.
func (s *Server) leasedPrimary(ctx context.Context, group string) (target, *rescode.Error) {
	for {
		snapshot := s.view.Current()
		t, err := s.primaryNow(snapshot, group)
		if err == nil {
			return t, nil
		}
		if ctx.Err() != nil || err.Code == rescode.ProxyDetached {
			return target{}, err
		}
		select {
		case <-snapshot.Replaced():
		case <-ctx.Done():
		}
	}
}

func (s *Server) primaryNow(snapshot *view.Snapshot, name string) (target, *rescode.Error) {
	now := clock.Now()
	if !snapshot.MayServe(now) {
		return target{}, rescode.New(rescode.ProxyDetached, "")
	}
	group, ok := snapshot.Groups[name]
	if !ok || group.Primary == "" {
		return target{}, rescode.New(rescode.NoUpstream, "group %q has no primary", name)
	}
	if !group.Healthy {
		return target{}, rescode.New(rescode.GroupFenced, "group %q, term %d", name, group.Term)
	}
	if !snapshot.Usable(group.Primary) {
		return target{}, rescode.New(rescode.NoUpstream, "the primary of group %q is leaving", name)
	}
	if !snapshot.LeaseValid(name, group.Term, now) {
		return target{}, rescode.New(rescode.GroupFenced, "no primary lease for group %q, term %d", name, group.Term)
	}
	p := s.pools.get(group.Primary, s.serviceOf(snapshot, name))
	return target{pool: p, group: name, term: group.Term, primary: true}, nil
}

func (s *Server) serviceOf(snapshot *view.Snapshot, group string) string {
	return snapshot.Groups[group].Service
}

// leaseValid reports whether an answer of a primary that arrives now counts.
func (s *Server) leaseValid(t target) bool {
	return s.view.Current().LeaseValid(t.group, t.term, clock.Now())
}

// readyReplicas returns the replicas that control saw alive, most advanced first.
func readyReplicas(snapshot *view.Snapshot, group string) []view.Health {
	g, ok := snapshot.Groups[group]
	if !ok {
		return nil
	}
	var ready []view.Health
	for _, address := range g.Replicas {
		health, ok := snapshot.Health[address]
		if ok && health.Reachable && health.InRecovery {
			ready = append(ready, health)
		}
	}
	slices.SortStableFunc(ready, func(a, b view.Health) int {
		switch {
		case a.Lsn > b.Lsn:
			return -1
		case a.Lsn < b.Lsn:
			return 1
		default:
			return 0
		}
	})
	return ready
}

func (s *Server) replicaPools(group string) []*pool {
	snapshot := s.view.Current()
	var pools []*pool
	for _, health := range readyReplicas(snapshot, group) {
		pools = append(pools, s.pools.get(health.Address, s.serviceOf(snapshot, group)))
	}
	return pools
}

// leastLoaded returns the pool of the replica with the most free share.
func (s *Server) leastLoaded(snapshot *view.Snapshot, group string, candidates []view.Health) *pool {
	var best *pool
	bestLoad := 0.0
	for _, health := range candidates {
		p := s.pools.get(health.Address, s.serviceOf(snapshot, group))
		load := p.load()
		if best == nil || load < bestLoad {
			best, bestLoad = p, load
		}
	}
	return best
}

// agedReplica returns a replica whose data is at most maxAge old.
func (s *Server) agedReplica(group string, maxAge time.Duration) (target, bool) {
	snapshot := s.view.Current()
	now := clock.Now()
	fresh := slices.DeleteFunc(readyReplicas(snapshot, group), func(h view.Health) bool {
		return h.Staleness(now) > maxAge
	})
	p := s.leastLoaded(snapshot, group, fresh)
	return target{pool: p, group: group}, p != nil
}

// floorGuess adds to the age that control reports, for the time between its probes.
const floorGuess = 20 * time.Millisecond

// reachedReplica returns a replica that has probably reached the floor: control saw
// it there, or the floor has been known for longer than the replica lags. Only the
// answer of the replica itself proves it.
func (s *Server) reachedReplica(floor session.Position, known time.Duration) (target, bool) {
	snapshot := s.view.Current()
	group, ok := snapshot.Groups[floor.Group]
	if !ok || floor.Term > group.Term {
		return target{}, false
	}
	now := clock.Now()
	lags := s.lags.of(floor.Group)
	age := now - lags.since(floor, known)
	likely := slices.DeleteFunc(readyReplicas(snapshot, floor.Group), func(h view.Health) bool {
		seen := session.HasReached(group.History, floor, h.Lsn, h.Timeline)
		return !seen && age < lags.guess(h, group.Term, now)
	})
	p := s.leastLoaded(snapshot, floor.Group, likely)
	return target{pool: p, group: floor.Group, floor: floor, checked: true, chosen: now}, p != nil
}

// guess returns the lag to expect of a replica: the lower of what this proxy has
// learned and what control reports, since either may be out of date.
func (g *groupLag) guess(h view.Health, term uint64, now time.Duration) time.Duration {
	reported := time.Duration(h.AgeMs)*time.Millisecond + floorGuess
	if learned, ok := g.estimate(h.Address, term, now); ok {
		return min(learned, reported)
	}
	return reported
}

// learnLag takes what a checked answer says of the replica's lag. A position on
// another history than the group's says nothing.
func (s *Server) learnLag(t target, group *view.Group, at replicaPosition) {
	p := session.Position{Group: t.group, Term: group.Term, LSN: at.lsn}
	if session.HasReached(group.History, p, at.lsn, at.timeline) {
		s.lags.of(t.group).answered(t.pool.address, t.chosen, p)
	}
}

// learnCommit remembers when a position was written. Other statements than these
// answer with a position that may have been written long before.
func (s *Server) learnCommit(texts []string, p session.Position) {
	if len(texts) == 0 {
		return
	}
	switch word, _ := firstWord(texts[len(texts)-1]); word {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COMMIT", "END":
		s.lags.of(p.Group).committed(clock.Now(), p)
	}
}
