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

// target is the upstream that a request is sent to.
type target struct {
	pool  *pool
	group string
	term  uint64
	// primary is set for the primary, whose answer counts only under the lease of the
	// term.
	primary bool
	// minPosition is the position that a replica must have reached, if checkPosition is
	// set.
	minPosition   session.Position
	checkPosition bool
	// chosenAt is when a replica was chosen by its estimated lag.
	chosenAt time.Duration
}

// leasedPrimary returns the primary of a group under a valid lease, and waits for one
// until ctx ends.
func (s *Server) leasedPrimary(ctx context.Context, group string) (target, *rescode.Error) {
	for {
		snapshot := s.view.Current()
		t, err := s.currentPrimary(snapshot, group)
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

// currentPrimary returns the primary of a group in a snapshot, or why it may not be
// used.
func (s *Server) currentPrimary(snapshot *view.Snapshot, name string) (target, *rescode.Error) {
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

// leaseValid reports whether an answer that arrives now is covered by the primary's
// lease.
func (s *Server) leaseValid(t target) bool {
	return s.view.Current().LeaseValid(t.group, t.term, clock.Now())
}

// readyReplicas returns the replicas that control reports as reachable and in recovery,
// the most advanced first.
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

// leastLoaded returns the pool of the replica with the lowest load.
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

// freshReplica returns a replica whose data is at most maxStaleness old.
func (s *Server) freshReplica(group string, maxStaleness time.Duration) (target, bool) {
	snapshot := s.view.Current()
	now := clock.Now()
	fresh := slices.DeleteFunc(readyReplicas(snapshot, group), func(h view.Health) bool {
		return h.Staleness(now) > maxStaleness
	})
	p := s.leastLoaded(snapshot, group, fresh)
	return target{pool: p, group: group}, p != nil
}

// reportedLagMargin is added to the age that control reports, to cover the time between
// its probes.
const reportedLagMargin = 20 * time.Millisecond

// caughtUpReplica returns a replica that has probably reached the minimum position:
// control saw it there, or the position has been known for longer than the replica's
// expected lag. Only the replica's own answer proves it.
func (s *Server) caughtUpReplica(minPosition session.Position, knownSince time.Duration) (target, bool) {
	snapshot := s.view.Current()
	group, ok := snapshot.Groups[minPosition.Group]
	if !ok || minPosition.Term > group.Term {
		return target{}, false
	}
	now := clock.Now()
	lags := s.lags.group(minPosition.Group)
	age := now - lags.reachedSince(minPosition, knownSince)
	likely := slices.DeleteFunc(readyReplicas(snapshot, minPosition.Group), func(h view.Health) bool {
		reached := session.HasReached(group.History, minPosition, h.Lsn, h.Timeline)
		return !reached && age < lags.expectedLag(h, group.Term, now)
	})
	p := s.leastLoaded(snapshot, minPosition.Group, likely)
	return target{pool: p, group: minPosition.Group, minPosition: minPosition, checkPosition: true, chosenAt: now}, p != nil
}

// expectedLag returns the expected lag of a replica: the lower of this proxy's estimate
// and what control reports, since either may be out of date.
func (g *groupLag) expectedLag(h view.Health, term uint64, now time.Duration) time.Duration {
	reported := time.Duration(h.AgeMs)*time.Millisecond + reportedLagMargin
	if estimated, ok := g.estimate(h.Address, term, now); ok {
		return min(estimated, reported)
	}
	return reported
}

// recordReplicaLag updates the estimated lag from the position in a checked answer. A
// position on another history than the group's is ignored.
func (s *Server) recordReplicaLag(t target, group *view.Group, at replicaPosition) {
	p := session.Position{Group: t.group, Term: group.Term, LSN: at.lsn}
	if session.HasReached(group.History, p, at.lsn, at.timeline) {
		s.lags.group(t.group).recordAnswer(t.pool.address, t.chosenAt, p)
	}
}

// recordCommit records when a position was written. After other statements than these,
// the reported position may have been written long before.
func (s *Server) recordCommit(texts []string, p session.Position) {
	if len(texts) == 0 {
		return
	}
	switch word, _ := firstWord(texts[len(texts)-1]); word {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "COMMIT", "END":
		s.lags.group(p.Group).recordCommit(clock.Now(), p)
	}
}
