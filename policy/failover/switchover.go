package failover

import (
	"fmt"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// catchUpTarget is the position of a fenced primary after all leases have expired. No
// write acknowledged in its term lies above it.
type catchUpTarget struct {
	known bool
	lsn   uint64
}

// startSwitchover fences a healthy group whose primary is leaving, once running
// transactions had time to finish and a replica is close enough to take over. A fence
// without such a replica would interrupt transactions to no effect.
func (m *Machine) startSwitchover(now time.Duration, g *group) {
	u, ok := m.upstreams[g.primary]
	if !ok || u.state != controlpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		g.delayReported = false
		return
	}
	if now-u.leavingSince < m.cfg.DrainPeriod || now < g.switchoverRetryAt {
		return
	}
	if reason := m.switchoverObstacle(now, g, u); reason != "" {
		m.reportDelay(g, reason, now-u.leavingSince >= m.cfg.CatchUpTimeout)
		return
	}
	m.propose(now, g, &controlpb.Command{Change: &controlpb.Command_FenceGroup{
		FenceGroup: &controlpb.FenceGroup{
			Group: g.name, Term: g.term, Switchover: true,
			Reason: fmt.Sprintf("primary %s is leaving", g.primary),
		},
	}})
}

// switchoverObstacle returns the reason why a switchover cannot begin now, or "".
func (m *Machine) switchoverObstacle(now time.Duration, g *group, primary *upstream) string {
	if !m.isAnswering(now, primary) || primary.inRecovery {
		return "the primary does not answer"
	}
	replica := m.bestReplica(now, g, m.electedAt)
	if replica == nil || replica.timeline < g.timeline {
		return "no replica can be promoted"
	}
	age, ok := g.positions.age(now, replica.lsn)
	if !ok || age > m.cfg.MaxSwitchoverAge {
		return "replica " + replica.address + " is too far behind"
	}
	return ""
}

// reportDelay reports once that a leaving primary cannot be replaced yet.
func (m *Machine) reportDelay(g *group, reason string, late bool) {
	if g.delayReported || !late {
		return
	}
	g.delayReported = true
	m.emit(ReportSwitchoverDelay{Group: g.name, Text: "switchover from " + g.primary + " waits: " + reason})
}

// driveSwitchover waits in the fenced phase for a replica with every acknowledged write
// and promotes it. It returns to the primary if no replica catches up or the primary no
// longer leaves, and continues as a failover if the primary is lost.
func (m *Machine) driveSwitchover(now time.Duration, g *group) {
	if !m.updateFence(now, g) {
		return
	}
	notBefore := g.fence.leasesExpiredAt
	m.recordTarget(g, notBefore)
	primary := m.returnedPrimary(now, g, notBefore)
	replica := m.caughtUpReplica(now, g, notBefore)
	late := now-notBefore >= m.cfg.CatchUpTimeout
	switch {
	case primary != nil && primary.state == controlpb.UpstreamState_UPSTREAM_STATE_JOINING:
		m.keepPrimary(now, g, primary, "the primary is no longer leaving")
	case replica != nil:
		m.beginPromotion(now, g, replica, true)
	case m.isPrimaryLost(now, g):
		m.promoteSuccessor(now, g)
	case primary != nil && late:
		m.keepPrimary(now, g, primary, fmt.Sprintf("no replica has caught up within %s", m.cfg.CatchUpTimeout))
	default:
		m.probeDuringCatchUp(now, g)
		m.reportDelay(g, "the primary does not answer, but replicas hear from it", late)
	}
}

// keepPrimary abandons a switchover and confirms the primary, which has every write,
// under a new term.
func (m *Machine) keepPrimary(now time.Duration, g *group, primary *upstream, reason string) {
	if !g.proposal.pending {
		m.emit(RecordEvent{Subject: g.name, Text: "switchover from " + g.primary + " abandoned: " + reason})
	}
	g.switchoverRetryAt = now + m.cfg.SwitchoverRetryInterval
	m.beginPromotion(now, g, primary, true)
}

// recordTarget sets the target to the primary's position in its first answer to a probe
// sent at notBefore or later, when no lease was valid.
func (m *Machine) recordTarget(g *group, notBefore time.Duration) {
	u, ok := m.upstreams[g.primary]
	if g.target.known || !ok || !u.answered || u.inRecovery || u.answerProbeSentAt < notBefore {
		return
	}
	g.target = catchUpTarget{known: true, lsn: u.lsn}
}

// caughtUpReplica returns the most advanced replica if it took part in the fenced term
// and has every write acknowledged in it, and nil otherwise.
func (m *Machine) caughtUpReplica(now time.Duration, g *group, notBefore time.Duration) *upstream {
	replica := m.bestReplica(now, g, notBefore)
	if replica == nil || !g.target.known || replica.timeline < g.timeline || replica.lsn < g.target.lsn {
		return nil
	}
	return replica
}

// isPrimaryLost reports whether a switchover must continue as a failover, by the same
// rule as checkPrimary.
func (m *Machine) isPrimaryLost(now time.Duration, g *group) bool {
	return m.isPrimarySilent(now, g) && !m.isPrimaryHeardByReplica(now, g)
}

// selectSwitchoverSuccessor returns the server to promote instead of an abandoned
// candidate, and whether the switchover continues with it.
func (m *Machine) selectSwitchoverSuccessor(now time.Duration, g *group) (next *upstream, switchover bool) {
	m.recordTarget(g, g.stateSince)
	if replica := m.caughtUpReplica(now, g, g.stateSince); replica != nil {
		return replica, true
	}
	if primary := m.returnedPrimary(now, g, g.stateSince); primary != nil {
		g.switchoverRetryAt = now + m.cfg.SwitchoverRetryInterval
		return primary, true
	}
	if m.isPrimaryLost(now, g) {
		return m.selectSuccessor(now, g, g.stateSince), false
	}
	return nil, false
}

// probeDuringCatchUp probes the members more often than at the regular interval, which
// would prolong the wait for a replica by up to two intervals.
func (m *Machine) probeDuringCatchUp(now time.Duration, g *group) {
	if now-g.fence.probedAt < m.cfg.CatchUpProbeInterval {
		return
	}
	g.fence.probedAt = now
	m.probeMembers(g)
}
