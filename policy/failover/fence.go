package failover

import (
	"maps"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// fence tracks the wait from the fencing of a term until none of its leases can be
// valid. Only then may a server be promoted.
type fence struct {
	startedAt time.Duration
	// lastGrants maps each holder that may have a lease of the fenced term and has
	// not acknowledged the fence to the time of its last grant.
	lastGrants map[Holder]time.Duration
	// leasesExpired is set once no lease can be valid, leasesExpiredAt is the time of
	// that. Only positions from probes sent later are compared.
	leasesExpired   bool
	leasesExpiredAt time.Duration
	// probedAt is when a switchover last requested probes of the members.
	probedAt time.Duration
}

// newFence starts the wait. No lease of the fenced term is granted any more, so the
// current lastGrants are complete.
func (m *Machine) newFence(now time.Duration) fence {
	return fence{startedAt: now, lastGrants: maps.Clone(m.lastGrants)}
}

// updateFence reports whether all leases of the fenced term have expired, and probes
// the members when that first becomes true.
func (m *Machine) updateFence(now time.Duration, g *group) bool {
	if !m.haveLeasesExpired(now, &g.fence) {
		return false
	}
	if !g.fence.leasesExpired {
		g.fence.leasesExpired = true
		g.fence.leasesExpiredAt, g.fence.probedAt = now, now
		m.probeMembers(g)
	}
	return true
}

func (m *Machine) handleFenceAcknowledged(now time.Duration, e FenceAcknowledged) {
	g, ok := m.groups[e.Group]
	if !ok || g.phase != controlpb.GroupPhase_GROUP_PHASE_FENCED || g.term != e.Term {
		return
	}
	delete(g.fence.lastGrants, e.Holder)
	m.evaluate(now, g)
}

// haveLeasesExpired reports whether no lease of the fenced term can be valid.
func (m *Machine) haveLeasesExpired(now time.Duration, f *fence) bool {
	// Until this leader's election an earlier leader may have granted leases to
	// processes that this leader does not know.
	if now-m.electedAt < m.cfg.LeaseExpiry {
		return false
	}
	if now-f.startedAt >= m.cfg.LeaseExpiry {
		return true
	}
	for _, granted := range f.lastGrants {
		if now-granted < m.cfg.LeaseExpiry {
			return false
		}
	}
	return true
}

func (m *Machine) dropExpiredGrants(now time.Duration) {
	maps.DeleteFunc(m.lastGrants, func(_ Holder, granted time.Duration) bool {
		return now-granted >= m.cfg.LeaseExpiry
	})
}
