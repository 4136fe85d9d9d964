package failover

import (
	"cmp"
	"slices"
	"time"
)

// In a group with synchronous replicas, every acknowledged commit is on a replica, draining or
// not. A server may be promoted while it is the only replica that still receives and it has what
// the paused ones have: then it has every acknowledged commit, also if the order is carried out
// late.

// Awaited returns the servers without which no candidate is known to have every acknowledged commit.
func (m *Machine) Awaited() []string {
	return m.awaited
}

// startTerm forgets what belonged to the term before. An order for another server may still be carried
// out: that of an earlier leader, or one that the new primary was promoted ahead of.
func (m *Machine) startTerm(primary string) {
	m.candidate, m.demoted, m.progress = "", demotion{}, progress{}
	if m.term > m.newestTerm {
		m.enterTerm(m.term, primary)
	}
	m.newestPrimary = primary
	if m.outstanding.candidate == primary {
		m.outstanding = outstandingOrder{}
	}
}

// leads reports whether the primary answers as primary.
func (m *Machine) leads(now time.Duration, servers []Server) bool {
	p := findServer(servers, m.primary)
	return p != nil && p.hasFreshSample(now) && p.Sample.Primary && now-m.lastAnswer < unreachableTimeout
}

// replaceSynchronous pauses the replicas and orders the promotion of one that has every acknowledged
// commit. While the primary leads, the candidate goes on receiving, so that commits do not stop. So does a candidate that
// overtakes an ordered one, since a pause would only take time, and one that may be resumed.
func (m *Machine) replaceSynchronous(now time.Duration, in Input, reason Reason) []Action {
	candidate := m.selectSynchronous(now, in.Servers)
	if candidate == nil {
		return m.resumeReplicas(now, in)
	}
	m.candidate = candidate.ID
	receiving := ""
	mayReceive := m.overtakes(now, in.Servers, candidate) || m.mayBeResumed(candidate.ID, candidate.Sample)
	if m.leads(now, in.Servers) || m.demoted.isObserved() || mayReceive {
		receiving = candidate.ID
	}
	actions := m.pauseReplicas(now, in.Servers, receiving)
	m.awaited = m.serversAhead(now, in.Servers, *candidate, receiving)
	if len(m.awaited) == 0 && !m.recentlyRefused(now, candidate.ID) {
		m.recordOutstanding(now, *candidate)
		return append(actions, m.promote(now, candidate.ID, reason))
	}
	if receiving != "" && candidate.Sample.PausedTerm != 0 {
		actions = append(actions, m.resume(now, in.Servers, *candidate)...)
	}
	return append(actions, m.demotePrimary(now, in, *candidate, reason)...)
}

func (m *Machine) recentlyRefused(now time.Duration, id string) bool {
	at, ok := m.refusedAt[id]
	return ok && now-at < refusalBackoff
}

// selectSynchronous returns the server to promote, or nil. A server with an order that may still be
// carried out stays the candidate unless another one overtakes it. While the primary leads, the others can catch up, so no draining
// server is selected; without a primary, the most advanced one is.
func (m *Machine) selectSynchronous(now time.Duration, servers []Server) *Server {
	if s := m.outstandingCandidate(now, servers); s != nil {
		return cmp.Or(m.overtakingServer(now, servers), s)
	}
	leads := m.leads(now, servers) || m.mayStillCatchUp(now)
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
// candidate, goes first while the primary leads, because a change of the candidate stops commits. Among equals a
// replica that may be resumed goes first, because nothing else makes sure that what it receives is kept.
func (m *Machine) preferred(now time.Duration, a, b *Server, leads bool) bool {
	if leads {
		if x, y := m.recentlyRefused(now, a.ID), m.recentlyRefused(now, b.ID); x != y {
			return y
		}
		if x, y := m.mayBeResumed(a.ID, a.Sample), m.mayBeResumed(b.ID, b.Sample); x != y {
			return x
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
	if x, y := m.mayBeResumed(a.ID, a.Sample), m.mayBeResumed(b.ID, b.Sample); x != y {
		return x
	}
	if a.Draining != b.Draining {
		return b.Draining
	}
	if x, y := a.Sample.PausedTerm == 0, b.Sample.PausedTerm == 0; x != y {
		// The candidate of an earlier leader.
		return x
	}
	return m.recentlyRefused(now, b.ID) && !m.recentlyRefused(now, a.ID)
}

// observeTerms finds out which server led the newest term. This leader may not have observed it as
// primary: a server that has a newer term shows that the ordered one was promoted.
func (m *Machine) observeTerms(servers []Server) {
	newest := m.term
	for _, s := range servers {
		newest = max(newest, s.Sample.Term)
	}
	switch {
	case newest > m.newestTerm && newest >= m.outstanding.pauseTerm:
		m.enterTerm(newest, m.outstanding.candidate)
	case newest > m.newestTerm:
		m.enterTerm(newest, "")
	}
	if m.newestTerm == m.term || m.term == 0 && m.newestPrimary == "" {
		// In term 0 the primary is known from its announcement only.
		m.newestPrimary = m.primary
	}
}

// enterTerm records a new term and the server that leads it, or nothing if that is not known.
func (m *Machine) enterTerm(term uint64, primary string) {
	m.resetBounds()
	if primary != "" && primary == m.outstanding.candidate {
		m.boundByPromotion()
	}
	m.newestTerm, m.newestPrimary = term, primary
}

// pauseTerm is the term to pause for: above the newest term that any server has.
func (m *Machine) pauseTerm() uint64 {
	return m.newestTerm + 1
}

// pauseReplicas pauses the replicas that still receive, except one.
func (m *Machine) pauseReplicas(now time.Duration, servers []Server, except string) []Action {
	var pauses []Action
	for _, s := range servers {
		if s.ID != except {
			pauses = append(pauses, m.pause(now, s)...)
		}
	}
	return pauses
}

// pause returns the order to pause a replica, unless it is paused already or does not answer.
func (m *Machine) pause(now time.Duration, s Server) []Action {
	if !s.hasFreshSample(now) || s.Sample.Primary || s.Sample.PausedTerm >= m.pauseTerm() {
		return nil
	}
	m.hasPaused = true
	return []Action{{Pause: s.ID, Term: m.pauseTerm()}}
}

// serversAhead returns the servers that may have an acknowledged commit which the candidate lacks. A
// primary that is silent has none that is on no replica. One that has ended is judged by its departure.
func (m *Machine) serversAhead(now time.Duration, servers []Server, candidate Server, receiving string) []string {
	if !candidate.hasFreshSample(now) {
		return []string{candidate.ID}
	}
	if m.hasAllOfDemoted(candidate) {
		return nil
	}
	ahead := m.departedAhead(now, servers, candidate.Sample.Position)
	for _, s := range servers {
		answersAsReplica := s.hasFreshSample(now) && !s.Sample.Primary
		if s.ID == receiving || (s.ID == m.newestPrimary && !answersAsReplica) {
			continue
		}
		if _, departed := m.departed[s.ID]; departed && hasEnded(now, s) {
			continue
		}
		// An earlier answer may be from before a restart, after which a replica receives again.
		final := answersAsReplica && m.isFinal(s.ID, s.Sample) && s.Sample.At >= m.pendingSince
		if !final || candidate.Sample.Position.Before(s.Sample.Position) {
			ahead = append(ahead, s.ID)
		}
	}
	slices.Sort(ahead)
	return ahead
}

// isFinal reports whether the position in a server's newest sample cannot advance: it was paused and
// stays so until it restarts.
func (m *Machine) isFinal(id string, newest Sample) bool {
	return newest.At != 0 && !newest.Primary && newest.PausedTerm >= m.pauseTerm() && !m.mayBeResumed(id, newest)
}

// resumeReplicas resumes the paused replicas of a primary that leads, except those that drain while enough
// others receive. While an order may still be carried out, only its candidate receives.
func (m *Machine) resumeReplicas(now time.Duration, in Input) []Action {
	m.awaited = nil
	if !m.leads(now, in.Servers) {
		return nil
	}
	var actions []Action
	candidate := m.outstandingCandidate(now, in.Servers)
	if candidate != nil {
		actions = m.pauseReplicas(now, in.Servers, candidate.ID)
	}
	for _, s := range in.Servers {
		switch {
		case s.ID == m.primary || !s.hasFreshSample(now):
		case candidate == nil && s.Draining && m.othersSuffice(now, in):
			actions = append(actions, m.pauseDraining(now, s)...)
		case s.Sample.PausedTerm != 0:
			actions = append(actions, m.resume(now, in.Servers, s)...)
		}
	}
	return actions
}
