package failover

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// follow tells every server in recovery to follow the primary of a term that began
// with a promotion. A new leader repeats it; the repetition changes nothing.
func (m *Machine) follow(now time.Duration, g *group) {
	if g.term <= 1 {
		return
	}
	for _, u := range g.members {
		if u.address == g.primary || !u.inRecovery || !m.answering(now, u) {
			continue
		}
		if u.follow.primary != g.primary || u.follow.term != g.term {
			u.follow = follow{primary: g.primary, term: g.term}
		}
		if u.follow.confirmed || !u.follow.call.due(now, m.cfg.RetryInterval) {
			continue
		}
		u.follow.call = call{pending: true, at: now}
		m.emit(Follow{Address: u.address, Primary: g.primary})
	}
}

func (m *Machine) followResult(e FollowResult) {
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

// readmit ends the diverged state of servers that replicate from the primary again.
func (m *Machine) readmit(now time.Duration, g *group) {
	for _, u := range g.members {
		if u.state != controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED || !m.replicates(now, g, u) {
			continue
		}
		if g.timelineReused {
			m.recordUnproven(g, u)
			continue
		}
		if !u.readmission.due(now, m.cfg.RetryInterval) {
			continue
		}
		// Not through propose: a fence must not wait for this.
		u.readmission = call{pending: true, at: now}
		m.emit(Propose{Group: g.name, Command: &controlpb.Command{Change: &controlpb.Command_ReadmitUpstream{
			ReadmitUpstream: &controlpb.ReadmitUpstream{Address: u.address, Term: g.term},
		}}})
	}
}

// recordUnproven tells operators once that a server stays diverged.
func (m *Machine) recordUnproven(g *group, u *upstream) {
	if u.unproven {
		return
	}
	u.unproven = true
	m.emit(RecordEvent{Subject: g.name, Text: u.address +
		" stays diverged: its timeline number was used twice; rebuild it, then remove it from the state"})
}

// replicates tells whether a server is in recovery on the current timeline with a
// receiver that was told to follow the primary.
func (m *Machine) replicates(now time.Duration, g *group, u *upstream) bool {
	if !m.answering(now, u) || !u.inRecovery || u.sent < g.since {
		return false
	}
	following := u.follow.confirmed && u.follow.primary == g.primary && u.follow.term == g.term
	return following && u.receiverActive && u.timeline == m.currentTimeline(g)
}
