package failover

import (
	"fmt"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// suspicion is what a silent primary of a healthy group has led to so far.
type suspicion struct {
	active bool
	// pathBroken is set when replicas still hear from the silent primary.
	pathBroken bool
}

// adopt proposes the first primary of a group.
func (m *Machine) adopt(now time.Duration, g *group) {
	var found *upstream
	for _, u := range g.members {
		if !u.tried {
			return
		}
		if u.failed || u.inRecovery {
			continue
		}
		if found != nil {
			m.conflicting(g, found, u)
			return
		}
		found = u
	}
	g.suspect = suspicion{}
	if found == nil || found.state != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_AdoptPrimary{
		AdoptPrimary: &controlpb.AdoptPrimary{
			Group: g.name, Address: found.address, StartLsn: found.lsn, Timeline: found.timeline,
		},
	}})
}

func (m *Machine) conflicting(g *group, a, b *upstream) {
	if g.suspect.active {
		return
	}
	g.suspect.active = true
	m.emit(RecordEvent{Subject: g.name, Text: fmt.Sprintf(
		"no primary adopted: %s and %s are both not in recovery", a.address, b.address)})
}

// watch fences the group of a primary that is silent for control and replicas.
func (m *Machine) watch(now time.Duration, g *group) {
	if !m.primarySilent(now, g) {
		m.endSuspicion(g)
		return
	}
	if m.heardByReplica(now, g) {
		m.recordBrokenPath(g)
		return
	}
	if m.best(now, g, m.electedAt) == nil {
		return
	}
	if !g.suspect.active {
		g.suspect.active = true
		m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary + " is suspected"})
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_FenceGroup{
		FenceGroup: &controlpb.FenceGroup{
			Group: g.name, Term: g.term,
			Reason: fmt.Sprintf("primary %s is silent for %s", g.primary, m.cfg.SuspectAfter),
		},
	}})
}

func (m *Machine) primarySilent(now time.Duration, g *group) bool {
	heard := g.since
	if u, ok := m.upstreams[g.primary]; ok {
		heard = max(heard, u.primaryAt)
	}
	return now-heard >= m.cfg.SuspectAfter
}

func (m *Machine) heardByReplica(now time.Duration, g *group) bool {
	for _, u := range g.members {
		if u.address != g.primary && m.hears(now, g, u) {
			return true
		}
	}
	return false
}

func (m *Machine) endSuspicion(g *group) {
	if g.suspect.active || g.suspect.pathBroken {
		m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary + " answers again"})
	}
	g.suspect = suspicion{}
}

func (m *Machine) recordBrokenPath(g *group) {
	if g.suspect.pathBroken {
		return
	}
	g.suspect.pathBroken = true
	m.emit(RecordEvent{Subject: g.name, Text: "primary " + g.primary +
		" does not answer control, but replicas hear from it: no promotion"})
}
