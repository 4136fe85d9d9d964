package failover

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

// In a group with synchronous replicas, every acknowledged commit is on a replica, draining or
// not. A server may be promoted while it is the only replica that still receives and it has what
// the paused ones have: then it has every acknowledged commit, also if the order is carried out
// late.

const (
	// lateOrderTimeout is how long an order without a known outcome may still be carried out. The
	// platform states "seconds".
	lateOrderTimeout = 10 * time.Second
	// resumeRetryInterval is the time between two orders to resume the same replica.
	resumeRetryInterval = 500 * time.Millisecond
	// resumeSettleTime is how long an order to resume a replica may take to arrive. Until then, an
	// answer that shows the replica as paused does not show that it stays so.
	resumeSettleTime = time.Second
)

// departure is a replica that is no longer in the group and may have acknowledged commits.
type departure struct {
	at time.Duration
	// bound is a position that the replica's log does not exceed, or zero.
	bound position.Position
}

// outstandingOrder is a promotion order that may still be carried out. The candidate is empty if an
// earlier leader may have given the order.
type outstandingOrder struct {
	candidate string
	until     time.Duration
	// pauseTerm is the term that replicas were paused for.
	pauseTerm uint64
	// unanswered is set if the outcome of an order is not known.
	unanswered bool
}

// Awaited returns the servers without which no candidate is known to have every acknowledged commit.
func (m *Machine) Awaited() []string {
	return m.awaited
}

// clearAnswered forgets an order that will not be carried out, unless an earlier one still may be.
func (m *Machine) clearAnswered() {
	if !m.outstanding.unanswered {
		m.outstanding = outstandingOrder{}
	}
}

// startTerm forgets what belonged to the term before. An order for another server may still be carried
// out: that of an earlier leader, or one that the new primary was promoted ahead of.
func (m *Machine) startTerm(primary string) {
	m.candidate = ""
	if m.outstanding.candidate == primary {
		m.outstanding = outstandingOrder{}
	}
}

// leads reports whether the primary answers as primary.
func (m *Machine) leads(now time.Duration, servers []Server) bool {
	p := findServer(servers, m.primary)
	return p != nil && p.hasFreshSample(now) && p.Sample.Primary && now-m.lastAnswer < unreachableTimeout
}

// trackDepartures keeps the replicas that have left until a remaining one has what they may have.
func (m *Machine) trackDepartures(now time.Duration, servers []Server) {
	for id, last := range m.replicas {
		if findServer(servers, id) == nil && id != m.primary {
			m.departed[id] = m.departureOf(now, last, servers)
		}
	}
	m.replicas = map[string]Server{}
	newest := position.Position{}
	for _, s := range servers {
		m.replicas[s.ID] = s
		delete(m.departed, s.ID)
		if s.ID != m.primary {
			newest = position.Max(newest, s.Sample.Position)
		}
	}
	if m.pauseTerm(servers) > m.outstanding.pauseTerm {
		// The ordered server led a term that this leader has not observed, and has left since. Its
		// acknowledged commits are on its replicas.
		delete(m.departed, m.outstanding.candidate)
	}
	m.boundDepartures(now, servers, newest)
}

// boundDepartures forgets the departed replicas whose commits a remaining one has; newest is the newest
// position of those. The primary's position bounds the commits of all that left before its answer.
func (m *Machine) boundDepartures(now time.Duration, servers []Server, newest position.Position) {
	primary, leads := findServer(servers, m.primary), m.leads(now, servers)
	for id, d := range m.departed {
		if d.bound.IsZero() && leads && primary.Sample.At > d.at {
			d.bound = primary.Sample.Position
			m.departed[id] = d
		}
		if !d.bound.IsZero() && !newest.Before(d.bound) {
			delete(m.departed, id)
		}
	}
}

// replaceSynchronous pauses the replicas and orders the promotion of one that has every acknowledged
// commit. While the primary leads, the candidate goes on receiving, so that commits do not stop.
func (m *Machine) replaceSynchronous(now time.Duration, in Input, reason Reason) []Action {
	candidate := m.selectSynchronous(now, in.Servers)
	if candidate == nil {
		return m.resumeReplicas(now, in.Servers)
	}
	m.candidate = candidate.ID
	receiving := ""
	if m.leads(now, in.Servers) {
		receiving = candidate.ID
	}
	actions := m.pauseReplicas(now, in.Servers, receiving)
	m.awaited = m.serversAhead(now, in.Servers, *candidate, receiving)
	if len(m.awaited) == 0 && !m.recentlyRefused(now, candidate.ID) {
		m.recordOutstanding(now, candidate.ID, m.pauseTerm(in.Servers))
		return append(actions, m.promote(now, candidate.ID, reason))
	}
	if receiving != "" && candidate.Sample.PausedTerm != 0 {
		actions = append(actions, m.resume(now, in.Servers, *candidate)...)
	}
	return actions
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

func (m *Machine) recordOutstanding(now time.Duration, candidate string, pauseTerm uint64) {
	unanswered := m.outstanding.unanswered && now < m.outstanding.until
	m.outstanding = outstandingOrder{
		candidate: candidate, until: now + lateOrderTimeout, pauseTerm: pauseTerm, unanswered: unanswered,
	}
}

func (m *Machine) recentlyRefused(now time.Duration, id string) bool {
	at, ok := m.refusedAt[id]
	return ok && now-at < refusalBackoff
}

// selectSynchronous returns the server to promote, or nil. A server with an order that may still be
// carried out stays the candidate. While the primary leads, the others can catch up, so no draining
// server is selected; without a primary, the most advanced one is.
func (m *Machine) selectSynchronous(now time.Duration, servers []Server) *Server {
	if s := m.outstandingCandidate(now, servers); s != nil {
		return s
	}
	leads := m.leads(now, servers)
	var best *Server
	for i := range servers {
		s := &servers[i]
		if !s.hasFreshSample(now) || (s.ID == m.primary && s.Sample.Primary) || (leads && s.Draining) {
			continue
		}
		if best == nil || m.preferred(now, s, best, leads) {
			best = s
		}
	}
	return best
}

// preferred reports whether a is the better candidate. A replica that still receives, or the present
// candidate, goes first while the primary leads, because a change of the candidate stops commits.
func (m *Machine) preferred(now time.Duration, a, b *Server, leads bool) bool {
	if leads {
		if x, y := m.recentlyRefused(now, a.ID), m.recentlyRefused(now, b.ID); x != y {
			return y
		}
		if x, y := a.Sample.PausedTerm == 0, b.Sample.PausedTerm == 0; x != y {
			return x
		}
		if x, y := a.ID == m.candidate, b.ID == m.candidate; x != y {
			return x
		}
	}
	if a.Sample.Position != b.Sample.Position {
		return b.Sample.Position.Before(a.Sample.Position)
	}
	if a.Draining != b.Draining {
		return b.Draining
	}
	return m.recentlyRefused(now, b.ID) && !m.recentlyRefused(now, a.ID)
}

// pauseTerm is the term to pause for: above the newest term that any server has.
func (m *Machine) pauseTerm(servers []Server) uint64 {
	newest := m.term
	for _, s := range servers {
		newest = max(newest, s.Sample.Term)
	}
	return newest + 1
}

// pauseReplicas pauses the replicas that still receive, except one.
func (m *Machine) pauseReplicas(now time.Duration, servers []Server, except string) []Action {
	var pauses []Action
	term := m.pauseTerm(servers)
	for _, s := range servers {
		if s.ID == except || !s.hasFreshSample(now) || s.Sample.Primary || s.Sample.PausedTerm >= term {
			continue
		}
		pauses = append(pauses, Action{Pause: s.ID, Term: term})
		m.hasPaused = true
	}
	return pauses
}

// serversAhead returns the servers that may have an acknowledged commit which the candidate lacks. A
// primary that is silent has none that is on no replica.
func (m *Machine) serversAhead(now time.Duration, servers []Server, candidate Server, receiving string) []string {
	if !candidate.hasFreshSample(now) {
		return []string{candidate.ID}
	}
	var ahead []string
	term := m.pauseTerm(servers)
	for _, s := range servers {
		answersAsReplica := s.hasFreshSample(now) && !s.Sample.Primary
		if s.ID == receiving || (s.ID == m.primary && !answersAsReplica) {
			continue
		}
		// An earlier answer may be from before a restart, after which a replica receives again.
		final := answersAsReplica && m.isFinal(s, term) && s.Sample.At >= m.pendingSince
		if !final || candidate.Sample.Position.Before(s.Sample.Position) {
			ahead = append(ahead, s.ID)
		}
	}
	for id, d := range m.departed {
		if d.bound.IsZero() || candidate.Sample.Position.Before(d.bound) {
			ahead = append(ahead, id)
		}
	}
	slices.Sort(ahead)
	return ahead
}

// isFinal reports whether the position in a server's newest sample cannot advance: it was paused and
// stays so until it restarts.
func (m *Machine) isFinal(s Server, term uint64) bool {
	return !s.Sample.Primary && s.Sample.PausedTerm >= term && !m.mayBeResumed(s)
}

// departureOf returns the departure of a replica. If it was paused until it left, its position is known.
func (m *Machine) departureOf(now time.Duration, last Server, servers []Server) departure {
	d := departure{at: now}
	if last.hasFreshSample(now) && m.isFinal(last, m.pauseTerm(servers)) {
		d.bound = last.Sample.Position
	}
	return d
}

// mayBeResumed reports whether an order to resume a replica may arrive after its newest sample.
func (m *Machine) mayBeResumed(s Server) bool {
	at, ok := m.resumedAt[s.ID]
	return ok && s.Sample.At < at+resumeSettleTime
}

// resumeReplicas resumes the paused replicas of a primary that leads. While an order may still be
// carried out, only its candidate receives.
func (m *Machine) resumeReplicas(now time.Duration, servers []Server) []Action {
	m.awaited = nil
	if !m.leads(now, servers) {
		return nil
	}
	var actions []Action
	if candidate := m.outstandingCandidate(now, servers); candidate != nil {
		actions = m.pauseReplicas(now, servers, candidate.ID)
	}
	for _, s := range servers {
		if s.ID != m.primary && s.hasFreshSample(now) && s.Sample.PausedTerm != 0 {
			actions = append(actions, m.resume(now, servers, s)...)
		}
	}
	return actions
}

// outstandingCandidate returns the server that an order of this leader may still promote, or nil.
func (m *Machine) outstandingCandidate(now time.Duration, servers []Server) *Server {
	if now >= m.outstanding.until {
		return nil
	}
	return findServer(servers, m.outstanding.candidate)
}

// resume returns the order to resume a replica, unless it was given a moment ago, or an order to promote
// another one may still be carried out.
func (m *Machine) resume(now time.Duration, servers []Server, s Server) []Action {
	candidate := m.outstandingCandidate(now, servers)
	earlierLeader := now < m.outstanding.until && m.outstanding.candidate == ""
	if earlierLeader && s.Sample.PausedTerm > m.term || candidate != nil && candidate.ID != s.ID {
		return nil
	}
	if at, ok := m.resumedAt[s.ID]; ok && now-at < resumeRetryInterval {
		return nil
	}
	m.resumedAt[s.ID] = now
	return []Action{{Resume: s.ID}}
}
