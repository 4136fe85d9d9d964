package failover

import (
	"strings"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// upstream is a server with its newest answer.
type upstream struct {
	address string
	group   string
	state   controlpb.UpstreamState
	// leavingSince is when this leader first saw that the server leaves.
	leavingSince time.Duration

	// answered is true once the server has answered this leader; the fields below
	// are of the newest answer.
	answered       bool
	sent           time.Duration
	answeredAt     time.Duration
	inRecovery     bool
	lsn            uint64
	timeline       uint32
	receiverActive bool
	receiverAge    time.Duration

	// primaryAt is the time of the newest answer as a primary.
	primaryAt time.Duration
	// triedSent is the send time of the newest probe with an outcome, and tried is
	// true once there is one.
	tried     bool
	triedSent time.Duration
	failed    bool

	follow follow
	// readmission is the proposal that ends the server's diverged state.
	readmission call
	// unproven is set once a record says why the server stays diverged.
	unproven bool
}

// follow is the primary that a replica was told to follow.
type follow struct {
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

// probed records the outcome of a probe and decides for its group.
func (m *Machine) probed(now time.Duration, p ProbeResult) {
	u, ok := m.upstreams[p.Address]
	// A probe from before the election may be older than what earlier leaders did.
	if !ok || p.SentAt < m.electedAt || (u.tried && p.SentAt < u.triedSent) {
		return
	}
	u.tried, u.triedSent, u.failed = true, p.SentAt, !p.Answered
	g, ok := m.groups[u.group]
	if !ok {
		return
	}
	if p.Answered {
		u.take(now, p)
		g.observe(u)
	}
	m.evaluate(now, g)
}

func (u *upstream) take(now time.Duration, p ProbeResult) {
	u.answered, u.sent, u.answeredAt = true, p.SentAt, now
	u.inRecovery, u.lsn, u.timeline = p.InRecovery, p.LSN, p.Timeline
	u.receiverActive, u.receiverAge = p.ReceiverActive, p.ReceiverAge
	if !p.InRecovery {
		u.primaryAt = now
	}
}

// observe keeps the positions that later decisions need.
func (g *group) observe(u *upstream) {
	if u.address == g.candidate && u.inRecovery {
		g.candidateLSN = max(g.candidateLSN, u.lsn)
	}
	if u.address == g.primary && !u.inRecovery && u.sent >= g.since {
		g.positions.add(u.sent, u.lsn)
	}
}

// replayed is the position that a server in recovery has replayed, or 0.
func (m *Machine) replayed(address string) uint64 {
	u, ok := m.upstreams[address]
	if !ok || !u.answered || !u.inRecovery {
		return 0
	}
	return u.lsn
}

// answering tells whether a server has answered lately. One failed probe does not
// end it.
func (m *Machine) answering(now time.Duration, u *upstream) bool {
	return u.answered && now-u.answeredAt <= m.cfg.SuspectAfter
}

// hears tells whether a replica's newest answer shows that its WAL receiver heard
// from the group's primary lately. A receiver counts only when it is known whom
// it listens to: in the first term as found, later once Follow was confirmed.
func (m *Machine) hears(now time.Duration, g *group, u *upstream) bool {
	if !m.answering(now, u) || !u.inRecovery || !u.receiverActive {
		return false
	}
	known := g.term == 1 || (u.follow.confirmed && u.follow.primary == g.primary)
	return known && u.receiverAge < m.cfg.SuspectAfter
}

// promotable tells whether a server may be promoted by its newest answer.
func (m *Machine) promotable(now time.Duration, g *group, u *upstream) bool {
	if u.address == g.primary || u.state != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
		return false
	}
	if !m.answering(now, u) || !u.inRecovery {
		return false
	}
	return !g.leftBehind(u)
}
