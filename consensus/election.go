package consensus

import "time"

// isVoteRefused reports whether this member may belong to the quorum that supports the
// lease of a leader other than the candidate.
func (n *Node) isVoteRefused(candidate ID) bool {
	if n.role == Leader {
		return true
	}
	return candidate != n.termLeader() && n.now < n.lastContact+VoteRefusalPeriod
}

// termLeader returns the leader of the newest term if it is known from the log. Only
// this leader's lease can be supported by this member, and it holds no lease while it
// requests votes. After all processes were lost, the leader can therefore be elected
// again as soon as a quorum runs.
func (n *Node) termLeader() ID {
	if n.log.leaderTerm != n.hardState.Term {
		return ""
	}
	return n.log.leader
}

// followLeader makes the sender of a message the leader of the current term.
func (n *Node) followLeader(m Message) {
	n.becomeFollower(n.hardState.Term, m.From)
	n.lastContact = n.now
}

func (n *Node) becomeFollower(term Term, leader ID) {
	if n.role == Leader {
		// The voters that support the lease refuse votes until it has ended; this
		// member is one of them and does the same.
		if start, ok := n.leaseStart(); ok {
			n.lastContact = max(n.lastContact, start)
		}
	}
	n.setTerm(term)
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.resetElectionTimer()
}

func (n *Node) setTerm(term Term) {
	if term > n.hardState.Term {
		n.hardState = HardState{Term: term}
	}
}

func (n *Node) resetElectionTimer() {
	n.electionDeadline = n.now + n.randomBetween(ElectionTimeoutMin, ElectionTimeoutMax)
}

func (n *Node) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(n.random.Int64N(int64(high-low)))
}

// startPreVote asks whether an election could be won without starting a new term, so
// that a returning member does not disrupt the others.
func (n *Node) startPreVote() {
	n.electionDeadline = n.now + n.randomBetween(PreVoteRetryMin, PreVoteRetryMax)
	if !n.log.membership().IsVoter(n.id) || n.isVoteRefused(n.id) {
		return
	}
	n.role = PreCandidate
	n.leader = ""
	n.requestVotes(MsgPreVote, n.hardState.Term+1)
}

// startElection starts a new term and requests votes in it.
func (n *Node) startElection() {
	n.electionDeadline = n.now + n.randomBetween(VoteRetryMin, VoteRetryMax)
	n.role = Candidate
	n.hardState = HardState{Term: n.hardState.Term + 1, Vote: n.id}
	n.requestVotes(MsgVote, n.hardState.Term)
}

func (n *Node) requestVotes(kind MessageKind, term Term) {
	n.votes = map[ID]bool{}
	for _, member := range n.log.membership().Members {
		if member.Learner {
			continue
		}
		if member.ID == n.id {
			n.deferUntilSynced(Message{Kind: kind + 1, To: n.id, Term: term})
			continue
		}
		n.deferUntilSynced(Message{
			Kind: kind, To: member.ID, Term: term,
			LogIndex: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) handlePreVote(m Message) {
	if n.isVoteRefused(m.From) {
		return
	}
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hardState.Term || !n.isUpToDate(m) {
		reply.Term = n.hardState.Term
		reply.Reject = true
	}
	n.deferUntilSynced(reply)
}

func (n *Node) handleVote(m Message) {
	if n.isVoteRefused(m.From) {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	canVote := n.hardState.Vote == "" || n.hardState.Vote == m.From
	grant := m.Term == n.hardState.Term && canVote && n.isUpToDate(m)
	if grant {
		n.hardState.Vote = m.From
		n.resetElectionTimer()
	}
	n.deferUntilSynced(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// isUpToDate reports whether the candidate's log holds every entry that this member can
// know to be committed.
func (n *Node) isUpToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.LogIndex >= n.log.lastIndex()
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != PreCandidate || m.Reject || m.Term != n.hardState.Term+1 {
		return
	}
	if n.countVote(m.From) {
		n.startElection()
	}
}

func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || m.Reject {
		return
	}
	if n.countVote(m.From) {
		n.becomeLeader()
	}
}

// countVote records a granted vote and reports whether the votes are a quorum.
func (n *Node) countVote(from ID) bool {
	n.votes[from] = true
	return n.log.membership().hasQuorum(func(id ID) bool { return n.votes[id] })
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.resetProgress()
	n.termStart = n.appendAsLeader(EntryEmpty, []byte(n.id))
	n.broadcastHeartbeat()
}

// tickLeader sends heartbeats when they are due and steps down without a quorum.
func (n *Node) tickLeader() {
	if !n.log.membership().hasQuorum(n.isActive) {
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	if n.now >= n.nextHeartbeat {
		n.broadcastHeartbeat()
	}
}
