package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// choose begins a promotion once the fenced term has no lease left.
func (m *Machine) choose(now time.Duration, g *group) {
	if m.endFence(now, g) {
		m.chooseBest(now, g)
	}
}

// chooseBest begins the promotion of the best server by positions from after the
// fence.
func (m *Machine) chooseBest(now time.Duration, g *group) {
	// Positions from before the end of the leases may miss a write that a replica
	// confirmed and a proxy acknowledged, so only later ones are compared.
	from := g.fence.positionsFrom
	if now-from < m.cfg.PositionTimeout && m.positionsMissing(now, g, from) {
		return
	}
	m.begin(now, g, m.successor(now, g, from), false)
}

func (m *Machine) probeMembers(g *group) {
	for _, u := range g.members {
		m.emit(ProbeNow{Address: u.address})
	}
}

// positionsMissing tells whether an answering replica has no probe outcome yet
// from after a time.
func (m *Machine) positionsMissing(now time.Duration, g *group, from time.Duration) bool {
	for _, u := range g.members {
		if m.promotable(now, g, u) && u.triedSent < from {
			return true
		}
	}
	return false
}

// best returns the most advanced replica by answers to probes sent from a time
// on, or nil.
func (m *Machine) best(now time.Duration, g *group, from time.Duration) *upstream {
	var best *upstream
	for _, u := range g.members {
		if u.sent < from || !m.promotable(now, g, u) || u.address == g.candidate {
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

// successor returns the best replica that took part in the fenced term; else the
// term's own primary if it answers again, as it has lost nothing; else the best
// replica that missed the term.
func (m *Machine) successor(now time.Duration, g *group, from time.Duration) *upstream {
	replica := m.best(now, g, from)
	if replica != nil && replica.timeline >= g.timeline {
		return replica
	}
	if primary := m.returned(now, g, from); primary != nil {
		return primary
	}
	return replica
}

// returned returns the fenced term's primary if it answers again and may be
// confirmed.
func (m *Machine) returned(now time.Duration, g *group, from time.Duration) *upstream {
	u, ok := m.upstreams[g.primary]
	if !ok || u.address == g.candidate || u.sent < from || !m.answering(now, u) {
		return nil
	}
	if u.inRecovery || u.timeline < g.timeline {
		return nil
	}
	return u
}

// begin proposes the promotion of a replica, or the confirmation of the primary. A
// switchover is one without the loss of an acknowledged write.
func (m *Machine) begin(now time.Duration, g *group, u *upstream, switchover bool) {
	if u == nil {
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_BeginPromotion{
		BeginPromotion: &controlpb.BeginPromotion{
			Group: g.name, Candidate: u.address, Term: max(g.term, g.candidateTerm) + 1,
			Switchover: switchover, CandidateLsn: m.replayed(u.address),
		},
	}})
}

// promote drives the promotion under way to its end or to another candidate.
func (m *Machine) promote(now time.Duration, g *group) {
	u, ok := m.upstreams[g.candidate]
	if ok && u.answered && !u.inRecovery && u.sent >= g.since {
		m.complete(now, g, u)
		return
	}
	if !ok || m.givenUp(now, g, u) {
		if next, switchover := m.nextCandidate(now, g); next != nil {
			m.begin(now, g, next, switchover)
			return
		}
	}
	if !ok || !u.answered || !u.inRecovery || u.address == g.primary {
		return
	}
	if g.promoteCall.due(now, m.cfg.RetryInterval) {
		g.promoteCall = call{pending: true, at: now}
		m.emit(Promote{Group: g.name, Address: u.address, Term: g.candidateTerm})
	}
}

func (m *Machine) nextCandidate(now time.Duration, g *group) (next *upstream, switchover bool) {
	if g.switchover {
		return m.successorOfSwitchover(now, g)
	}
	return m.successor(now, g, g.since), false
}

// givenUp tells whether the candidate is silent, or answers and stays in recovery.
func (m *Machine) givenUp(now time.Duration, g *group, u *upstream) bool {
	heard := max(g.since, u.answeredAt)
	return now-heard >= m.cfg.CandidateTimeout || now-g.since >= m.cfg.RecoveryTimeout
}

func (m *Machine) complete(now time.Duration, g *group, u *upstream) {
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_CompletePromotion{
		CompletePromotion: &controlpb.CompletePromotion{
			Group: g.name, Primary: u.address, Term: g.candidateTerm,
			StartLsn: g.completionLSN(u), Timeline: max(u.timeline, g.timeline),
		},
	}})
}

// completionLSN is a position that the new primary held before it wrote anything
// in its new term. Positions of earlier terms above it count as lost, so it must
// never be too high; too low costs a session one error.
func (g *group) completionLSN(u *upstream) uint64 {
	switch {
	case u.address == g.primary && u.timeline == g.timeline:
		return u.lsn
	case u.address != g.primary && g.candidateLSN > 0:
		return g.candidateLSN
	default:
		// This leader did not see what the server held before it left recovery, and
		// that may be less than the start of the term.
		return 0
	}
}

func (m *Machine) promoteResult(e PromoteResult) {
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
