package consensus

import (
	"slices"
	"time"
)

// progress is the leader's knowledge of a member's log and of its replies.
type progress struct {
	// match is the highest index known to be durable on the member.
	match Index
	// next is the first index to send.
	next Index
	// probing is true until the member has confirmed where its log matches. Until then
	// only heartbeats carry entries, so that a member whose log diverged is not
	// flooded.
	probing bool
	// snapshotIndex is the index of a snapshot that was sent at snapshotSentAt and is
	// not yet acknowledged; 0 if there is none.
	snapshotIndex  Index
	snapshotSentAt time.Duration
	// lastContact is when the last reply of the member was received.
	lastContact time.Duration
	// ackedRoundSentAt is the send time of the newest heartbeat round that the member
	// answered in this term.
	ackedRoundSentAt time.Duration
	hasAcked         bool
}

// confirmMatch records that all entries up to match are durable on the member.
func (p *progress) confirmMatch(match Index) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
}

// handleReject records that the member's log does not match at rejectedIndex and can
// match at hint at the latest. It returns false if that is already known, for example
// from an outdated rejection of entries that are known to match.
func (p *progress) handleReject(rejectedIndex, hint Index) bool {
	next := max(p.match+1, min(rejectedIndex, hint+1))
	if rejectedIndex <= p.match || next >= p.next {
		return false
	}
	p.next = next
	p.probing = true
	return true
}

// recordAck records a reply to a heartbeat round that was sent at sentAt.
func (p *progress) recordAck(sentAt time.Duration) {
	if !p.hasAcked || sentAt > p.ackedRoundSentAt {
		p.ackedRoundSentAt = sentAt
	}
	p.hasAcked = true
}

// roundTimes holds the send times of the newest heartbeat rounds of a term.
type roundTimes struct {
	newest uint64
	times  [trackedRounds]time.Duration
}

// trackedRounds covers several lease durations. Replies to older rounds could not
// extend the lease.
const trackedRounds = 16

func (r *roundTimes) startRound(now time.Duration) {
	r.newest++
	r.times[r.newest%trackedRounds] = now
}

func (r *roundTimes) sentAt(round uint64) (time.Duration, bool) {
	if round == 0 || round > r.newest || round+trackedRounds <= r.newest {
		return 0, false
	}
	return r.times[round%trackedRounds], true
}

// resetProgress initializes the progress of all members on a new leader.
func (n *Node) resetProgress() {
	n.heartbeatRounds = roundTimes{}
	n.progress = map[ID]*progress{}
	n.trackMembers()
}

// trackMembers adds progress for new members and removes that of former members.
func (n *Node) trackMembers() {
	m := n.log.membership()
	for _, member := range m.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = &progress{next: n.log.lastIndex() + 1, probing: true, lastContact: n.now}
		}
	}
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
	if p := n.progress[n.id]; p != nil {
		p.confirmMatch(n.log.synced)
	}
}

// isActive reports whether a member replied within QuorumTimeout.
func (n *Node) isActive(id ID) bool {
	p := n.progress[id]
	return id == n.id || p != nil && n.now < p.lastContact+QuorumTimeout
}

// leaseStart returns the send time of the newest heartbeat round that a quorum
// answered.
func (n *Node) leaseStart() (time.Duration, bool) {
	m := n.log.membership()
	var starts []time.Duration
	for _, member := range m.Members {
		p := n.progress[member.ID]
		if !member.Learner && p != nil && p.hasAcked {
			starts = append(starts, p.ackedRoundSentAt)
		}
	}
	quorum := m.quorum()
	if len(starts) < quorum || m.VoterCount() == 0 {
		return 0, false
	}
	slices.Sort(starts)
	return starts[len(starts)-quorum], true
}

// quorumMatch returns the highest index that is durable on a quorum.
func (n *Node) quorumMatch() Index {
	m := n.log.membership()
	var matches []Index
	for _, member := range m.Members {
		if !member.Learner {
			matches = append(matches, n.progress[member.ID].match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-m.quorum()]
}
