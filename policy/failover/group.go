package failover

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// group is the replicated state of a database group with what this leader knows.
type group struct {
	name          string
	members       []*upstream
	term          uint64
	primary       string
	phase         controlpb.GroupPhase
	candidate     string
	candidateTerm uint64
	// switchover is set while the primary is being replaced without loss.
	switchover bool
	// history holds the start of each completed term, timeline is the newest one's.
	history  []*controlpb.TermStart
	timeline uint32
	// timelineReused is set when servers that took no part in the term may carry its
	// timeline number.
	timelineReused bool

	// since is when this leader first saw the present phase, term and candidate.
	since    time.Duration
	proposal proposal
	suspect  suspicion
	fence    fence
	// candidateLSN is the highest position that the candidate was seen to have
	// replayed, by this leader or the one that chose it; 0 when it was never seen in
	// recovery.
	candidateLSN uint64
	promoteCall  call
	positions    positions
	target       target
	// delayed is set once operators were told that a switchover has to wait.
	delayed bool
	// retryAt is the earliest time of a switchover after one that was given up.
	retryAt time.Duration
}

// proposal is a command under way.
type proposal struct {
	pending bool
	at      time.Duration
}

// call is a request to an upstream.
type call struct {
	pending bool
	at      time.Duration
}

// due tells whether the call must be made, for the first time or again.
func (c call) due(now, retry time.Duration) bool {
	return !c.pending || now-c.at >= retry
}

// syncGroup takes over the replicated state and resets what belongs to an earlier
// phase, term or candidate.
func (m *Machine) syncGroup(now time.Duration, g *group, pb *controlpb.Group) {
	same := g.term == pb.Term && g.primary == pb.Primary && g.phase == pb.Phase &&
		g.candidate == pb.Candidate && g.candidateTerm == pb.CandidateTerm &&
		g.switchover == pb.Switchover
	newTerm := g.term != pb.Term
	g.term, g.primary, g.phase = pb.Term, pb.Primary, pb.Phase
	g.candidate, g.candidateTerm = pb.Candidate, pb.CandidateTerm
	g.switchover = pb.Switchover
	g.takeHistory(pb.History)
	if same {
		return
	}
	g.since = now
	g.proposal = proposal{}
	g.suspect = suspicion{}
	g.promoteCall = call{}
	if newTerm {
		g.positions = positions{}
		g.target = target{}
	}
	g.fence = fence{}
	if g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED {
		g.fence = m.newFence(now)
	}
	g.candidateLSN = max(m.replayed(g.candidate), pb.CandidateLsn)
}

func (g *group) takeHistory(history []*controlpb.TermStart) {
	if len(history) == 0 {
		return
	}
	last := history[len(history)-1]
	g.history, g.timeline, g.timelineReused = slices.Clone(history), last.Timeline, false
	for _, earlier := range history[:len(history)-1] {
		g.timelineReused = g.timelineReused || earlier.Timeline >= last.Timeline
	}
	// A skipped term belonged to a candidate that was given up. It was promoted from
	// the same timeline as its successor, if it was, and then has the same number.
	if n := len(history); n > 1 && last.Term > history[n-2].Term+1 {
		g.timelineReused = true
	}
}

// leftBehind tells whether a replica may hold log that a promotion left behind: on a
// timeline before a promotion and not below its start, it cannot be told from one
// that does.
func (g *group) leftBehind(u *upstream) bool {
	for _, start := range g.history {
		if u.timeline < start.Timeline && u.lsn >= start.StartLsn {
			return true
		}
	}
	return false
}

// currentTimeline is the primary's timeline. The control file of a server shows a
// new timeline only from the checkpoint after its promotion, so the primary may
// report a later one than the term history holds.
func (m *Machine) currentTimeline(g *group) uint32 {
	u, ok := m.upstreams[g.primary]
	if ok && u.answered && !u.inRecovery && u.sent >= g.since && u.timeline > g.timeline {
		return u.timeline
	}
	return g.timeline
}
