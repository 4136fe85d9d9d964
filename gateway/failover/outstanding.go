package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// OrderTimeout limits one call for a promotion. A call that is slow arrives at most that long after it was made.
	OrderTimeout = 5 * time.Second
	// maxOrderDelay is how long after its arrival a call without an answer may be carried out. The platform
	// states 2 to 12 s.
	maxOrderDelay = 12 * time.Second
	// lateOrderTimeout is how long after an order without a known outcome its server may begin to lead.
	lateOrderTimeout = OrderTimeout + maxOrderDelay + promotionTimeout
)

// outstandingOrder is a promotion order that may still be carried out. The candidate is empty if an
// earlier leader may have given the order.
type outstandingOrder struct {
	candidate string
	until     time.Duration
	// pauseTerm is the term that replicas were paused for, and so the one that the candidate will lead.
	pauseTerm uint64
	// firstOrderedAt and orderedAt are when the order was first and last given, the latter with the
	// candidate at position.
	firstOrderedAt, orderedAt time.Duration
	position                  position.Position
	// unanswered is set if the outcome of an order is not known.
	unanswered bool
}

// clearAnswered forgets an order that will not be carried out, unless an earlier one still may be.
func (m *Machine) clearAnswered() {
	if !m.outstanding.unanswered {
		m.outstanding = outstandingOrder{}
	}
}

func (m *Machine) recordOutstanding(now time.Duration, candidate Server) {
	unanswered := m.outstanding.unanswered && now < m.outstanding.until
	first := now
	if m.outstanding.candidate == candidate.ID {
		first = m.outstanding.firstOrderedAt
	}
	m.outstanding = outstandingOrder{
		candidate: candidate.ID, until: now + lateOrderTimeout, pauseTerm: m.pauseTerm(), unanswered: unanswered,
		firstOrderedAt: first, orderedAt: now, position: candidate.Sample.Position,
	}
}

// outstandingCandidate returns the server that an order of this leader may still promote, or nil.
func (m *Machine) outstandingCandidate(now time.Duration, servers []Server) *Server {
	if now >= m.outstanding.until {
		return nil
	}
	s := findServer(servers, m.outstanding.candidate)
	if s == nil || hasEnded(now, *s) {
		return nil
	}
	return s
}

// guardOrder returns the actions that are due while an order is under way.
func (m *Machine) guardOrder(now time.Duration, in Input) []Action {
	switch {
	case !m.synchronous:
		return nil
	case m.overtakingServer(now, in.Servers) != nil:
		return m.replaceSynchronous(now, in, m.pendingReason)
	default:
		return m.keepOnlyCandidateReceiving(now, in.Servers)
	}
}

// keepOnlyCandidateReceiving keeps the replicas paused while an order is carried out, also those that
// have come since, and resumes the candidate if the primary leads again.
func (m *Machine) keepOnlyCandidateReceiving(now time.Duration, servers []Server) []Action {
	actions := m.pauseReplicas(now, servers, m.order.candidate)
	candidate := findServer(servers, m.order.candidate)
	if candidate != nil && candidate.Sample.PausedTerm != 0 && m.leads(now, servers) {
		actions = append(actions, m.resume(now, servers, *candidate)...)
	}
	return actions
}

// overtakingServer returns the most advanced server that has commits which the candidate of the outstanding order
// lacks and cannot receive any more, or nil. It has started, or started again, since the order was given, and the
// primary, which the leader does not reach, has confirmed commits with it. An order for it voids the outstanding one.
func (m *Machine) overtakingServer(now time.Duration, servers []Server) *Server {
	candidate := m.outstandingCandidate(now, servers)
	hasTakenEffect := m.newestTerm >= m.outstanding.pauseTerm
	if candidate == nil || hasTakenEffect || m.leads(now, servers) || m.demoted.isObserved() {
		return nil
	}
	var ahead *Server
	newest := position.Max(m.outstanding.position, candidate.Sample.Position)
	for i := range servers {
		s := &servers[i]
		isOther := s.ID != candidate.ID && s.ID != m.newestPrimary && !s.Sample.Primary
		if !isOther || !s.hasFreshSample(now) || m.mayStillReceive(*candidate, *s) {
			continue
		}
		if newest.Before(s.Sample.Position) {
			ahead, newest = s, s.Sample.Position
		}
	}
	return ahead
}

// mayStillReceive reports whether a candidate that is behind another server may only have been asked earlier: it
// receives, and has not answered since the other one was paused.
func (m *Machine) mayStillReceive(candidate, other Server) bool {
	if m.isFinal(candidate.ID, candidate.Sample) {
		return false
	}
	return !m.isFinal(other.ID, other.Sample) || candidate.Sample.At <= other.Sample.At
}

func (m *Machine) overtakes(now time.Duration, servers []Server, s *Server) bool {
	return m.overtakingServer(now, servers) == s
}
