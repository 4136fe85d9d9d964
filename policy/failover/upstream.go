package failover

import (
	"strings"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// upstream is a database server with the results of its newest probes.
type upstream struct {
	address string
	group   string
	state   controlpb.UpstreamState
	// leavingSince is when this leader first saw the server in state LEAVING.
	leavingSince time.Duration

	// answered is true once the server has answered this leader. The fields below up
	// to receiverAge hold the newest answer.
	answered          bool
	answerProbeSentAt time.Duration
	answeredAt        time.Duration
	inRecovery        bool
	lsn               uint64
	timeline          uint32
	receiverActive    bool
	receiverAge       time.Duration

	// answeredAsPrimaryAt is the time of the newest answer as a primary.
	answeredAsPrimaryAt time.Duration
	// probed is true once a probe has a result. lastProbeSentAt and lastProbeFailed
	// describe the newest probe with a result.
	probed          bool
	lastProbeSentAt time.Duration
	lastProbeFailed bool

	follow followState
	// readmission is the proposal to end the server's diverged state.
	readmission call
	// ambiguityRecorded is set once an event says why the server stays diverged.
	ambiguityRecorded bool
}

// followState is the primary that a replica was told to follow.
type followState struct {
	primary   string
	term      uint64
	confirmed bool
	call      call
}

func byAddress(a, b *upstream) int {
	return strings.Compare(a.address, b.address)
}

func (u *upstream) setState(now time.Duration, state controlpb.UpstreamState) {
	if state == controlpb.UpstreamState_UPSTREAM_STATE_LEAVING && u.state != state {
		u.leavingSince = now
	}
	u.state = state
}

// handleProbeResult records the result of a probe and evaluates the server's group.
func (m *Machine) handleProbeResult(now time.Duration, p ProbeResult) {
	u, ok := m.upstreams[p.Address]
	// A probe sent before the election may be older than actions of earlier leaders.
	if !ok || p.SentAt < m.electedAt || (u.probed && p.SentAt < u.lastProbeSentAt) {
		return
	}
	u.probed, u.lastProbeSentAt, u.lastProbeFailed = true, p.SentAt, !p.Answered
	g, ok := m.groups[u.group]
	if !ok {
		return
	}
	if p.Answered {
		u.recordAnswer(now, p)
		g.recordPosition(u)
	}
	m.evaluate(now, g)
}

func (u *upstream) recordAnswer(now time.Duration, p ProbeResult) {
	u.answered, u.answerProbeSentAt, u.answeredAt = true, p.SentAt, now
	u.inRecovery, u.lsn, u.timeline = p.InRecovery, p.LSN, p.Timeline
	u.receiverActive, u.receiverAge = p.ReceiverActive, p.ReceiverAge
	if !p.InRecovery {
		u.answeredAsPrimaryAt = now
	}
}

// recordPosition stores the newest position of the candidate or the primary.
func (g *group) recordPosition(u *upstream) {
	if u.address == g.candidate && u.inRecovery {
		g.candidateLSN = max(g.candidateLSN, u.lsn)
	}
	if u.address == g.primary && !u.inRecovery && u.answerProbeSentAt >= g.stateSince {
		g.positions.add(u.answerProbeSentAt, u.lsn)
	}
}

// replayedLSN returns the position that a server in recovery has replayed, or 0.
func (m *Machine) replayedLSN(address string) uint64 {
	u, ok := m.upstreams[address]
	if !ok || !u.answered || !u.inRecovery {
		return 0
	}
	return u.lsn
}

// isAnswering reports whether a server has answered within SuspectAfter. A single failed
// probe does not make it false.
func (m *Machine) isAnswering(now time.Duration, u *upstream) bool {
	return u.answered && now-u.answeredAt <= m.cfg.SuspectAfter
}

// hearsPrimary reports whether a replica's newest answer shows that its WAL receiver
// heard from the group's primary within SuspectAfter. A receiver counts only if
// its source is known: in the first term that is taken to be the primary, in later terms
// Follow must have been confirmed.
func (m *Machine) hearsPrimary(now time.Duration, g *group, u *upstream) bool {
	if !m.isAnswering(now, u) || !u.inRecovery || !u.receiverActive {
		return false
	}
	known := g.term == 1 || (u.follow.confirmed && u.follow.primary == g.primary)
	return known && u.receiverAge < m.cfg.SuspectAfter
}

// isPromotable reports whether a server that stays in use may be promoted, by its newest answer.
func (m *Machine) isPromotable(now time.Duration, g *group, u *upstream) bool {
	return u.state == controlpb.UpstreamState_UPSTREAM_STATE_JOINING && m.mayHaveNewestWrites(now, g, u)
}

// mayHaveNewestWrites reports whether a replica, leaving or not, can become the primary of the group's log.
func (m *Machine) mayHaveNewestWrites(now time.Duration, g *group, u *upstream) bool {
	if u.address == g.primary || u.state == controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		return false
	}
	if !m.isAnswering(now, u) || !u.inRecovery {
		return false
	}
	return !g.mayHaveDiverged(u)
}
