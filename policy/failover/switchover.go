package failover

import (
	"fmt"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// target is a position of a fenced primary from after the end of all leases, so
// that every write acknowledged in its term lies below it.
type target struct {
	known bool
	lsn   uint64
}

// leave fences a healthy group whose primary leaves. Before that, running
// transactions get time to end and a replica must be close enough to take over:
// a fence without one would cut them for nothing.
func (m *Machine) leave(now time.Duration, g *group) {
	u, ok := m.upstreams[g.primary]
	if !ok || u.state != controlpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		g.delayed = false
		return
	}
	if now-u.leavingSince < m.cfg.DrainPeriod || now < g.retryAt {
		return
	}
	if reason := m.obstacle(now, g, u); reason != "" {
		m.recordDelay(g, reason, now-u.leavingSince >= m.cfg.CatchUpTimeout)
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_FenceGroup{
		FenceGroup: &controlpb.FenceGroup{
			Group: g.name, Term: g.term, Switchover: true,
			Reason: fmt.Sprintf("primary %s leaves", g.primary),
		},
	}})
}

// obstacle names what stands against a switchover now, or returns "".
func (m *Machine) obstacle(now time.Duration, g *group, primary *upstream) string {
	if !m.answering(now, primary) || primary.inRecovery {
		return "the primary does not answer"
	}
	replica := m.best(now, g, m.electedAt)
	if replica == nil || replica.timeline < g.timeline {
		return "no replica can be promoted"
	}
	age, ok := g.positions.age(now, replica.lsn)
	if !ok || age > m.cfg.MaxSwitchoverAge {
		return "replica " + replica.address + " is too far behind"
	}
	return ""
}

// recordDelay tells operators once that a leaving primary cannot be replaced yet.
func (m *Machine) recordDelay(g *group, reason string, late bool) {
	if g.delayed || !late {
		return
	}
	g.delayed = true
	m.emit(ReportSwitchoverDelay{Group: g.name, Text: "switchover from " + g.primary + " waits: " + reason})
}

// catchUp drives the fence of a switchover to the promotion of a replica that has
// everything, or back to the primary.
func (m *Machine) catchUp(now time.Duration, g *group) {
	if !m.endFence(now, g) {
		return
	}
	from := g.fence.positionsFrom
	m.learnTarget(g, from)
	primary := m.returned(now, g, from)
	replica := m.reached(now, g, from)
	late := now-from >= m.cfg.CatchUpTimeout
	switch {
	case primary != nil && primary.state == controlpb.UpstreamState_UPSTREAM_STATE_JOINING:
		m.keepPrimary(now, g, primary, "it does not leave any more")
	case replica != nil:
		m.begin(now, g, replica, true)
	case m.primaryLost(now, g):
		m.chooseBest(now, g)
	case primary != nil && late:
		m.keepPrimary(now, g, primary, fmt.Sprintf("no replica has caught up within %s", m.cfg.CatchUpTimeout))
	default:
		m.probeSoon(now, g)
		m.recordDelay(g, "the primary does not answer, but replicas hear from it", late)
	}
}

// keepPrimary gives a switchover up: the primary is confirmed under a new term, in
// which it has every write.
func (m *Machine) keepPrimary(now time.Duration, g *group, primary *upstream, reason string) {
	if !g.proposal.pending {
		m.emit(RecordEvent{Subject: g.name, Text: "switchover from " + g.primary + " given up: " + reason})
	}
	g.retryAt = now + m.cfg.SwitchoverRetryInterval
	m.begin(now, g, primary, true)
}

// learnTarget takes the primary's position from the first answer to a probe sent
// from a time on at which no lease was valid.
func (m *Machine) learnTarget(g *group, from time.Duration) {
	u, ok := m.upstreams[g.primary]
	if g.target.known || !ok || !u.answered || u.inRecovery || u.sent < from {
		return
	}
	g.target = target{known: true, lsn: u.lsn}
}

// reached returns the most advanced replica if it took part in the fenced term and
// has every write that was acknowledged in it.
func (m *Machine) reached(now time.Duration, g *group, from time.Duration) *upstream {
	replica := m.best(now, g, from)
	if replica == nil || !g.target.known || replica.timeline < g.timeline || replica.lsn < g.target.lsn {
		return nil
	}
	return replica
}

// primaryLost tells whether a switchover has become a failover. The rule is that of
// watch.
func (m *Machine) primaryLost(now time.Duration, g *group) bool {
	return m.primarySilent(now, g) && !m.heardByReplica(now, g)
}

// successorOfSwitchover returns who follows a candidate that was given up, and
// whether the switchover goes on.
func (m *Machine) successorOfSwitchover(now time.Duration, g *group) (next *upstream, switchover bool) {
	m.learnTarget(g, g.since)
	if replica := m.reached(now, g, g.since); replica != nil {
		return replica, true
	}
	if primary := m.returned(now, g, g.since); primary != nil {
		g.retryAt = now + m.cfg.SwitchoverRetryInterval
		return primary, true
	}
	if m.primaryLost(now, g) {
		return m.successor(now, g, g.since), false
	}
	return nil, false
}

// probeSoon asks for new positions ahead of the regular interval, which would make
// the wait for a replica longer by up to two intervals.
func (m *Machine) probeSoon(now time.Duration, g *group) {
	if now-g.fence.probedAt < m.cfg.CatchUpProbeInterval {
		return
	}
	g.fence.probedAt = now
	m.probeMembers(g)
}
