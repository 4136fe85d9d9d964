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
