package consensus

import "time"

// isVoteRefused reports whether this member may be part of the quorum on which the lease of
// another leader than the candidate rests.
func (n *Node) isVoteRefused(candidate ID) bool {
	if n.role == Leader {
		return true
	}
	return candidate != n.termLeader() && n.now < n.lastContact+VoteRefusalPeriod
}

// termLeader returns who led or leads the newest term, if the log tells. Only its lease can
// rest on this member, and while it asks for votes it has none. So after a loss of all
// processes the leader is elected again as soon as a quorum runs.
func (n *Node) termLeader() ID {
	if n.log.leaderTerm != n.hardState.Term {
		return ""
	}
	return n.log.leader
}

// recordLeaderContact notes a message of the current leader.
func (n *Node) recordLeaderContact(m Message) {
	n.becomeFollower(n.hardState.Term, m.From)
	n.lastContact = n.now
}

func (n *Node) becomeFollower(term Term, leader ID) {
	if n.role == Leader {
		// The voters of the lease refuse votes until it has ended; so does this member,
		// which is one of them.
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

// startPreVote asks whether an election could be won, without a new term. A member
// that was away does not disturb the others this way.
func (n *Node) startPreVote() {
	n.electionDeadline = n.now + n.randomBetween(PreVoteRetryMin, PreVoteRetryMax)
	if !n.log.membership().IsVoter(n.id) || n.isVoteRefused(n.id) {
		return
	}
	n.role = PreCandidate
	n.leader = ""
	n.requestVotes(MsgPreVote, n.hardState.Term+1)
}

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

// isUpToDate reports whether the log of a candidate holds all that this one can know
// to be committed.
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

// tickLeader sends heartbeats and steps down without a quorum.
func (n *Node) tickLeader() {
	if !n.log.membership().hasQuorum(n.isActive) {
		n.becomeFollower(n.hardState.Term, "")
		return
	}
	if n.now >= n.nextHeartbeat {
		n.broadcastHeartbeat()
	}
}
