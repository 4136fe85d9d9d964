package failover

import (
	"maps"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// fence is the wait between the fence of a term and a promotion.
type fence struct {
	since time.Duration
	// holders that could hold a lease of the fenced term, with the time of their
	// last grant.
	holders map[Holder]time.Duration
	// ended is set once no lease can be valid; positionsFrom is when that was seen.
	ended         bool
	positionsFrom time.Duration
	// probedAt is when a switchover last asked for positions.
	probedAt time.Duration
}

// newFence starts the wait. No lease of the term is granted from here on, so the
// holders are those known now.
func (m *Machine) newFence(now time.Duration) fence {
	return fence{since: now, holders: maps.Clone(m.holders)}
}

// endFence tells whether the fence is complete, and asks for positions when it
// becomes so.
func (m *Machine) endFence(now time.Duration, g *group) bool {
	if !m.leasesEnded(now, &g.fence) {
		return false
	}
	if !g.fence.ended {
		g.fence.ended = true
		g.fence.positionsFrom, g.fence.probedAt = now, now
		m.probeMembers(g)
	}
	return true
}

func (m *Machine) fenceAcknowledged(now time.Duration, e FenceAcknowledged) {
	g, ok := m.groups[e.Group]
	if !ok || g.phase != controlpb.GroupPhase_GROUP_PHASE_FENCED || g.term != e.Term {
		return
	}
	delete(g.fence.holders, e.Holder)
	m.evaluate(now, g)
}

// leasesEnded tells whether no lease of the fenced term can be valid.
func (m *Machine) leasesEnded(now time.Duration, f *fence) bool {
	// An earlier leader may have granted leases up to this leader's election, to
	// processes that this leader does not know.
	if now-m.electedAt < m.cfg.LeaseExpiry {
		return false
	}
	if now-f.since >= m.cfg.LeaseExpiry {
		return true
	}
	for _, granted := range f.holders {
		if now-granted < m.cfg.LeaseExpiry {
			return false
		}
	}
	return true
}

func (m *Machine) forgetHolders(now time.Duration) {
	maps.DeleteFunc(m.holders, func(_ Holder, granted time.Duration) bool {
		return now-granted >= m.cfg.LeaseExpiry
	})
}
