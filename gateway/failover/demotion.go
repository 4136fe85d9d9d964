package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// demotionDelay is how long servers that do not answer are waited for before a leaving primary is
	// demoted.
	demotionDelay = 500 * time.Millisecond
	// demotionRetryInterval is the time between two orders to demote the same primary.
	demotionRetryInterval = 500 * time.Millisecond
	// demotionSampleAge is the age up to which an answer shows that the candidate receives.
	demotionSampleAge = 300 * time.Millisecond
	// demotedCatchUpTime is how long commits that a demoted primary has sent may take to arrive.
	demotedCatchUpTime = time.Second
)

// demotion is the end of a primary's lead before its successor is promoted. The log of a demoted primary
// has every acknowledged commit, and none is added to it.
type demotion struct {
	// orderedAt is when the demotion was last ordered, or zero.
	orderedAt time.Duration
	// observedAt is when an answer first showed the server as demoted, or zero; position is the end of
	// its log then.
	observedAt time.Duration
	position   position.Position
}

func (d demotion) isObserved() bool {
	return d.observedAt != 0
}

// observeDemotion records whether the primary answers as demoted. There may be new commits once a server
// leads a newer term, or the demoted one leads again after a restart.
func (m *Machine) observeDemotion(now time.Duration, servers []Server) {
	if m.newestTerm > m.term {
		m.demoted = demotion{orderedAt: m.demoted.orderedAt}
		return
	}
	p := findServer(servers, m.primary)
	if p == nil || !p.hasFreshSample(now) {
		return
	}
	switch {
	case p.Sample.Primary && p.Sample.At > m.demoted.observedAt:
		m.demoted = demotion{orderedAt: m.demoted.orderedAt}
	case !p.Sample.Primary && p.Sample.PausedTerm > m.term && !m.demoted.isObserved():
		m.demoted = demotion{orderedAt: m.demoted.orderedAt, observedAt: now, position: p.Sample.Position}
	}
}

// demotePrimary returns the order to demote a leaving primary when the promotion waits only for servers
// that do not answer, or may be resumed: they may have ended for good, and they may receive commits unseen. The position of
// the demoted primary then shows which commits the candidate must have. The candidate has to be close to
// that, because it receives nothing more.
func (m *Machine) demotePrimary(now time.Duration, in Input, candidate Server, reason Reason) []Action {
	if reason != PrimaryLeaving || !m.leads(now, in.Servers) || now-candidate.Sample.At > demotionSampleAge {
		return nil
	}
	if len(m.awaited) == 0 || m.anySettlesSoon(now, in.Servers, m.awaited) || m.isMissingCommits(candidate.Sample.Position) {
		return nil
	}
	if now-m.pendingSince < demotionDelay || now-m.demoted.orderedAt < demotionRetryInterval {
		return nil
	}
	m.demoted.orderedAt = now
	return []Action{{Demote: m.primary, Term: m.pauseTerm()}}
}

// anySettlesSoon reports whether one of some servers answers, and will be known not to receive once it is paused.
func (m *Machine) anySettlesSoon(now time.Duration, servers []Server, ids []string) bool {
	for _, id := range ids {
		if s := findServer(servers, id); s != nil && s.hasFreshSample(now) && !m.mayBeResumed(id, s.Sample) {
			return true
		}
	}
	return false
}

// hasAllOfDemoted reports whether a candidate has the whole log of the demoted primary, and so every
// acknowledged commit, whatever other servers have.
func (m *Machine) hasAllOfDemoted(candidate Server) bool {
	return m.demoted.isObserved() && !candidate.Sample.Position.Before(m.demoted.position)
}

// mayStillCatchUp reports whether commits of the demoted primary may still arrive at a candidate.
func (m *Machine) mayStillCatchUp(now time.Duration) bool {
	return m.demoted.isObserved() && now-m.demoted.observedAt < demotedCatchUpTime
}
