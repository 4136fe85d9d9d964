package failover

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// group combines the replicated state of a database group with what this leader has
// observed of it.
type group struct {
	name          string
	members       []*upstream
	term          uint64
	primary       string
	phase         controlpb.GroupPhase
	candidate     string
	candidateTerm uint64
	// switchover is set while the primary is replaced without loss of acknowledged
	// writes.
	switchover bool
	// history holds the start of each term whose promotion completed; timeline is
	// the timeline of the newest.
	history  []*controlpb.TermStart
	timeline uint32
	// timelineReused is set when a server that took no part in the current term may
	// have its timeline number.
	timelineReused bool

	// stateSince is when this leader first saw the current phase, term and candidate.
	stateSince time.Duration
	proposal   proposal
	suspicion  suspicion
	fence      fence
	// candidateLSN is the highest position that the candidate reported as replayed, to
	// this leader or to the one that selected it. It is 0 if no leader got an answer
	// from it in recovery.
	candidateLSN uint64
	promoteCall  call
	positions    positionHistory
	target       catchUpTarget
	// delayReported is set once an event reported that a switchover has to wait.
	delayReported bool
	// switchoverRetryAt is the earliest time of the next switchover after an
	// abandoned one.
	switchoverRetryAt time.Duration
}

// proposal is a proposed command without a result so far.
type proposal struct {
	pending bool
	sentAt  time.Duration
}

// call is a request without a result so far.
type call struct {
	pending bool
	sentAt  time.Duration
}

// isDue reports whether the call must be made or repeated.
func (c call) isDue(now, retry time.Duration) bool {
	return !c.pending || now-c.sentAt >= retry
}

// syncGroup copies the replicated state into g and resets what belongs to an earlier
// phase, term or candidate.
func (m *Machine) syncGroup(now time.Duration, g *group, pb *controlpb.Group) {
	same := g.term == pb.Term && g.primary == pb.Primary && g.phase == pb.Phase &&
		g.candidate == pb.Candidate && g.candidateTerm == pb.CandidateTerm &&
		g.switchover == pb.Switchover
	newTerm := g.term != pb.Term
	g.term, g.primary, g.phase = pb.Term, pb.Primary, pb.Phase
	g.candidate, g.candidateTerm = pb.Candidate, pb.CandidateTerm
	g.switchover = pb.Switchover
	g.setHistory(pb.History)
	if same {
		return
	}
	g.stateSince = now
	g.proposal = proposal{}
	g.suspicion = suspicion{}
	g.promoteCall = call{}
	if newTerm {
		g.positions = positionHistory{}
		g.target = catchUpTarget{}
	}
	g.fence = fence{}
	if g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED {
		g.fence = m.newFence(now)
	}
	g.candidateLSN = max(m.replayedLSN(g.candidate), pb.CandidateLsn)
}

func (g *group) setHistory(history []*controlpb.TermStart) {
	if len(history) == 0 {
		return
	}
	last := history[len(history)-1]
	g.history, g.timeline, g.timelineReused = slices.Clone(history), last.Timeline, false
	for _, earlier := range history[:len(history)-1] {
		g.timelineReused = g.timelineReused || earlier.Timeline >= last.Timeline
	}
	// A skipped term belonged to an abandoned candidate. If that candidate was promoted
	// after all, then from the same timeline as its successor, and both have the same
	// timeline number.
	if n := len(history); n > 1 && last.Term > history[n-2].Term+1 {
		g.timelineReused = true
	}
}

// mayHaveDiverged reports whether a replica may hold log that is not part of the
// current timeline's history. That cannot be excluded if the replica is on a timeline
// older than that of a promotion and has reached the promotion's start.
func (g *group) mayHaveDiverged(u *upstream) bool {
	for _, start := range g.history {
		if u.timeline < start.Timeline && u.lsn >= start.StartLsn {
			return true
		}
	}
	return false
}

// currentTimeline returns the primary's timeline. A server's control file shows a new
// timeline only after the first checkpoint that follows the promotion, so the primary
// may report a later timeline than the term history holds.
func (m *Machine) currentTimeline(g *group) uint32 {
	u, ok := m.upstreams[g.primary]
	if ok && u.answered && !u.inRecovery && u.answerProbeSentAt >= g.stateSince && u.timeline > g.timeline {
		return u.timeline
	}
	return g.timeline
}
