package failover

import "time"

// An order to resume a replica carries no term, so nothing voids one that is carried out late: the replica then
// receives although it was paused since.

const (
	// resumeRetryInterval is the time between two orders to resume the same replica.
	resumeRetryInterval = 500 * time.Millisecond
	// lateResumeTimeout is how long after an order to resume that got no answer the replica may begin to receive.
	// The call takes up to a second.
	lateResumeTimeout = time.Second + maxOrderDelay
)

// resumption describes the orders to resume a replica.
type resumption struct {
	// order is the number of the newest order, given at orderedAt and answered at answeredAt; zero if it was not.
	order                 uint64
	orderedAt, answeredAt time.Duration
	// possibleUntil is how long an earlier order without an answer may still be carried out.
	possibleUntil time.Duration
}

// next returns the state after a further order.
func (r resumption) next(now time.Duration, order uint64) resumption {
	if r.order != 0 && r.answeredAt == 0 {
		r.possibleUntil = r.orderedAt + lateResumeTimeout
	}
	return resumption{order: order, orderedAt: now, possibleUntil: r.possibleUntil}
}

// mayActAfter reports whether an order may be carried out after a time.
func (r resumption) mayActAfter(at time.Duration) bool {
	if r.order == 0 {
		return false
	}
	if r.answeredAt == 0 {
		return at < r.orderedAt+lateResumeTimeout
	}
	return at <= r.answeredAt || at < r.possibleUntil
}

// HandleResumed records that a replica has answered an order to resume.
func (m *Machine) HandleResumed(now time.Duration, id string, order uint64) {
	r := m.resumptions[id]
	if r.order == order {
		r.answeredAt = now
		m.resumptions[id] = r
	}
}

// mayBeResumed reports whether an order to resume a replica may act after its newest sample.
func (m *Machine) mayBeResumed(id string, newest Sample) bool {
	return m.resumptions[id].mayActAfter(newest.At)
}

// resume returns the order to resume a replica, unless it was given a moment ago, or an order to promote
// another one may still be carried out.
func (m *Machine) resume(now time.Duration, servers []Server, s Server) []Action {
	candidate := m.outstandingCandidate(now, servers)
	earlierLeader := now < m.outstanding.until && m.outstanding.candidate == ""
	if earlierLeader && s.Sample.PausedTerm > m.term || candidate != nil && candidate.ID != s.ID {
		return nil
	}
	r := m.resumptions[s.ID]
	if r.order != 0 && now-r.orderedAt < resumeRetryInterval {
		return nil
	}
	m.resumeOrders++
	m.resumptions[s.ID] = r.next(now, m.resumeOrders)
	return []Action{{Resume: s.ID, Order: m.resumeOrders}}
}
