package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// driveFailover begins a promotion once all leases of the fenced term have expired.
func (m *Machine) driveFailover(now time.Duration, g *group) {
	if m.updateFence(now, g) {
		m.promoteSuccessor(now, g)
	}
}

// promoteSuccessor begins the promotion of the best successor, by positions measured
// after the leases have expired.
func (m *Machine) promoteSuccessor(now time.Duration, g *group) {
	// Positions measured while leases were valid may lack a write that a replica
	// confirmed and a proxy acknowledged, so only later ones are compared.
	notBefore := g.fence.leasesExpiredAt
	if now-notBefore < m.cfg.PositionTimeout && m.hasMissingPositions(now, g, notBefore) {
		return
	}
	m.beginPromotion(now, g, m.selectSuccessor(now, g, notBefore), false)
}

func (m *Machine) probeMembers(g *group) {
	for _, u := range g.members {
		m.emit(ProbeNow{Address: u.address})
	}
}

// hasMissingPositions reports whether a replica, leaving or not, has no result yet of a probe
// sent at notBefore or later.
func (m *Machine) hasMissingPositions(now time.Duration, g *group, notBefore time.Duration) bool {
	for _, u := range g.members {
		if m.mayHaveNewestWrites(now, g, u) && u.lastProbeSentAt < notBefore {
			return true
		}
	}
	return false
}

// bestReplica returns the most advanced replica that stays in use, by answers to probes
// sent at notBefore or later. It returns nil if no replica can be promoted.
func (m *Machine) bestReplica(now time.Duration, g *group, notBefore time.Duration) *upstream {
	return mostAdvanced(g, notBefore, func(u *upstream) bool { return m.isPromotable(now, g, u) })
}

// replicaWithNewestWrites is like bestReplica, but returns a leaving replica if that is
// more advanced than all that stay: it may have writes that only it has confirmed. As
// the primary it is replaced by a switchover, which loses none.
func (m *Machine) replicaWithNewestWrites(now time.Duration, g *group, notBefore time.Duration) *upstream {
	best := m.bestReplica(now, g, notBefore)
	newest := mostAdvanced(g, notBefore, func(u *upstream) bool { return m.mayHaveNewestWrites(now, g, u) })
	if best != nil && moreAdvanced(newest, best) {
		return newest
	}
	return best
}

// mostAdvanced returns the most advanced of the servers that are eligible and have
// answered a probe sent at notBefore or later.
func mostAdvanced(g *group, notBefore time.Duration, eligible func(*upstream) bool) *upstream {
	var best *upstream
	for _, u := range g.members {
		if u.answerProbeSentAt < notBefore || u.address == g.candidate || !eligible(u) {
			continue
		}
		if best == nil || moreAdvanced(u, best) {
			best = u
		}
	}
	return best
}

func moreAdvanced(a, b *upstream) bool {
	if a.timeline != b.timeline {
		return a.timeline > b.timeline
	}
	return a.lsn > b.lsn
}

// selectSuccessor returns the best replica that took part in the fenced term. Without
// one it returns the term's own primary if that answers again, because it has lost
// nothing, and otherwise the best replica that missed the term.
func (m *Machine) selectSuccessor(now time.Duration, g *group, notBefore time.Duration) *upstream {
	replica := m.replicaWithNewestWrites(now, g, notBefore)
	if replica != nil && replica.timeline >= g.timeline {
		return replica
	}
	if primary := m.returnedPrimary(now, g, notBefore); primary != nil {
		return primary
	}
	return replica
}

// returnedPrimary returns the fenced term's primary if it answers again and may be
// confirmed, and nil otherwise.
func (m *Machine) returnedPrimary(now time.Duration, g *group, notBefore time.Duration) *upstream {
	u, ok := m.upstreams[g.primary]
	if !ok || u.address == g.candidate || u.answerProbeSentAt < notBefore || !m.isAnswering(now, u) {
		return nil
	}
	if u.inRecovery || u.timeline < g.timeline {
		return nil
	}
	return u
}

// beginPromotion proposes the promotion of a replica or the confirmation of the primary.
// switchover states that no acknowledged write is lost. It does nothing if u is nil.
func (m *Machine) beginPromotion(now time.Duration, g *group, u *upstream, switchover bool) {
	if u == nil {
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_BeginPromotion{
		BeginPromotion: &controlpb.BeginPromotion{
			Group: g.name, Candidate: u.address, Term: max(g.term, g.candidateTerm) + 1,
			Switchover: switchover, CandidateLsn: m.replayedLSN(u.address),
		},
	}})
}

// drivePromotion completes the current promotion, repeats the call to the candidate or
// selects another candidate.
func (m *Machine) drivePromotion(now time.Duration, g *group) {
	u, ok := m.upstreams[g.candidate]
	if ok && u.answered && !u.inRecovery && u.answerProbeSentAt >= g.stateSince {
		m.completePromotion(now, g, u)
		return
	}
	if !ok || m.hasCandidateTimedOut(now, g, u) {
		if next, switchover := m.selectNextCandidate(now, g); next != nil {
			m.beginPromotion(now, g, next, switchover)
			return
		}
	}
	if !ok || !u.answered || !u.inRecovery || u.address == g.primary {
		return
	}
	if g.promoteCall.isDue(now, m.cfg.RetryInterval) {
		g.promoteCall = call{pending: true, sentAt: now}
		m.emit(Promote{Group: g.name, Address: u.address, Term: g.candidateTerm})
	}
}

func (m *Machine) selectNextCandidate(now time.Duration, g *group) (next *upstream, switchover bool) {
	if g.switchover {
		return m.selectSwitchoverSuccessor(now, g)
	}
	return m.selectSuccessor(now, g, g.stateSince), false
}

// hasCandidateTimedOut reports whether the candidate has not answered for too long, or
// answers but stays in recovery for too long.
func (m *Machine) hasCandidateTimedOut(now time.Duration, g *group, u *upstream) bool {
	heard := max(g.stateSince, u.answeredAt)
	return now-heard >= m.cfg.CandidateTimeout || now-g.stateSince >= m.cfg.RecoveryTimeout
}

func (m *Machine) completePromotion(now time.Duration, g *group, u *upstream) {
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_CompletePromotion{
		CompletePromotion: &controlpb.CompletePromotion{
			Group: g.name, Primary: u.address, Term: g.candidateTerm,
			StartLsn: g.completionLSN(u), Timeline: max(u.timeline, g.timeline),
		},
	}})
}

// completionLSN returns a position that the new primary had reached before it wrote
// anything in its new term. Positions of earlier terms above it count as lost. A value
// that is too high would treat lost writes as kept; one that is too low costs a session
// one error.
func (g *group) completionLSN(u *upstream) uint64 {
	switch {
	case u.address == g.primary && u.timeline == g.timeline:
		return u.lsn
	case u.address != g.primary && g.candidateLSN > 0:
		return g.candidateLSN
	default:
		// This leader does not know the server's position before it left recovery,
		// which may be below the start of the term.
		return 0
	}
}

func (m *Machine) handlePromoteResult(e PromoteResult) {
	g, ok := m.groups[e.Group]
	if !ok || g.candidate != e.Address || g.candidateTerm != e.Term {
		return
	}
	if e.Err != nil {
		m.emit(RecordEvent{Subject: g.name, Text: "promotion of " + e.Address + " failed: " + e.Err.Error()})
		return
	}
	m.emit(ProbeNow{Address: e.Address})
}
