package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// followPrimary configures every server in recovery to follow the primary of a term
// that began with a promotion. A new leader repeats the call, which is idempotent.
func (m *Machine) followPrimary(now time.Duration, g *group) {
	if g.term <= 1 {
		return
	}
	for _, u := range g.members {
		if u.address == g.primary || !u.inRecovery || !m.isAnswering(now, u) {
			continue
		}
		if u.follow.primary != g.primary || u.follow.term != g.term {
			u.follow = followState{primary: g.primary, term: g.term}
		}
		if u.follow.confirmed || !u.follow.call.isDue(now, m.cfg.RetryInterval) {
			continue
		}
		u.follow.call = call{pending: true, sentAt: now}
		m.emit(Follow{Address: u.address, Primary: g.primary})
	}
}

func (m *Machine) handleFollowResult(e FollowResult) {
	u, ok := m.upstreams[e.Address]
	if !ok || u.follow.primary != e.Primary {
		return
	}
	if e.Err != nil {
		m.emit(RecordEvent{Subject: u.group, Text: e.Address + " cannot follow " + e.Primary + ": " + e.Err.Error()})
		return
	}
	u.follow.confirmed = true
}

// readmitReplicas proposes the readmission of diverged servers that replicate from the
// primary again.
func (m *Machine) readmitReplicas(now time.Duration, g *group) {
	for _, u := range g.members {
		if u.state != controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED || !m.isReplicating(now, g, u) {
			continue
		}
		if g.timelineReused {
			m.recordAmbiguousTimeline(g, u)
			continue
		}
		if !u.readmission.isDue(now, m.cfg.RetryInterval) {
			continue
		}
		// This bypasses propose, because a pending readmission must not delay a fence.
		u.readmission = call{pending: true, sentAt: now}
		m.emit(Propose{Group: g.name, Command: &controlpb.Command{Change: &controlpb.Command_ReadmitUpstream{
			ReadmitUpstream: &controlpb.ReadmitUpstream{Address: u.address, Term: g.term},
		}}})
	}
}

// recordAmbiguousTimeline records once that a server stays diverged, because its timeline
// number does not prove which log it holds.
func (m *Machine) recordAmbiguousTimeline(g *group, u *upstream) {
	if u.ambiguityRecorded {
		return
	}
	u.ambiguityRecorded = true
	m.emit(RecordEvent{Subject: g.name, Text: u.address +
		" stays diverged: its timeline number was used twice; rebuild it, then remove it from the state"})
}

// isReplicating reports whether a server is in recovery on the current timeline, with a
// WAL receiver that is confirmed to follow the primary of the current term.
func (m *Machine) isReplicating(now time.Duration, g *group, u *upstream) bool {
	if !m.isAnswering(now, u) || !u.inRecovery || u.answerProbeSentAt < g.stateSince {
		return false
	}
	following := u.follow.confirmed && u.follow.primary == g.primary && u.follow.term == g.term
	return following && u.receiverActive && u.timeline == m.currentTimeline(g)
}
