package failover

import (
	"fmt"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// suspicion records which events about a group without a reachable or unambiguous
// primary were already emitted.
type suspicion struct {
	active bool
	// pathBroken is set when replicas still hear from the primary, so that only the
	// path from control to it is broken.
	pathBroken bool
}

// adoptPrimary proposes the first primary of a group, once every member was probed and
// exactly one is not in recovery.
func (m *Machine) adoptPrimary(now time.Duration, g *group) {
	var found *upstream
	for _, u := range g.members {
		if !u.probed {
			return
		}
		if u.lastProbeFailed || u.inRecovery {
			continue
		}
		if found != nil {
			m.recordConflict(g, found, u)
			return
		}
		found = u
	}
	g.suspicion = suspicion{}
	if found == nil || found.state != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_AdoptPrimary{
		AdoptPrimary: &controlpb.AdoptPrimary{
			Group: g.name, Address: found.address, StartLsn: found.lsn, Timeline: found.timeline,
		},
	}})
}

func (m *Machine) recordConflict(g *group, a, b *upstream) {
	if g.suspicion.active {
		return
	}
	g.suspicion.active = true
	m.emit(RecordEvent{Subject: g.name, Text: fmt.Sprintf(
		"no primary adopted: %s and %s are both not in recovery", a.address, b.address)})
}

// checkPrimary fences a group whose primary neither answers control nor is heard by a
// replica, if a replica can be promoted.
func (m *Machine) checkPrimary(now time.Duration, g *group) {
	if !m.isPrimarySilent(now, g) {
		m.clearSuspicion(g)
		return
	}
	if m.isPrimaryHeardByReplica(now, g) {
		m.recordBrokenPath(g)
		return
	}
	if m.bestReplica(now, g, m.electedAt) == nil {
		return
	}
	if !g.suspicion.active {
		g.suspicion.active = true
		m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary + " is suspected to have failed"})
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_FenceGroup{
		FenceGroup: &controlpb.FenceGroup{
			Group: g.name, Term: g.term,
			Reason: fmt.Sprintf("primary %s has not answered for %s", g.primary, m.cfg.SuspectAfter),
		},
	}})
}

func (m *Machine) isPrimarySilent(now time.Duration, g *group) bool {
	heard := g.stateSince
	if u, ok := m.upstreams[g.primary]; ok {
		heard = max(heard, u.answeredAsPrimaryAt)
	}
	return now-heard >= m.cfg.SuspectAfter
}

func (m *Machine) isPrimaryHeardByReplica(now time.Duration, g *group) bool {
	for _, u := range g.members {
		if u.address != g.primary && m.hearsPrimary(now, g, u) {
			return true
		}
	}
	return false
}

func (m *Machine) clearSuspicion(g *group) {
	if g.suspicion.active || g.suspicion.pathBroken {
		m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary + " answers again"})
	}
	g.suspicion = suspicion{}
}

func (m *Machine) recordBrokenPath(g *group) {
	if g.suspicion.pathBroken {
		return
	}
	g.suspicion.pathBroken = true
	m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary +
		" does not answer control, but replicas hear from it: no promotion"})
}
