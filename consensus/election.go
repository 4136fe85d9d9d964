package consensus

import "time"

// refusesVotes reports whether this member may be part of the quorum on which the lease of
// another leader than the candidate rests.
func (n *Node) refusesVotes(candidate ID) bool {
	if n.role == Leader {
		return true
	}
	return candidate != n.termLeader() && n.now < n.heardAt+VoteRefusalPeriod
}

// termLeader returns who led or leads the newest term, if the log tells. Only its lease can
// rest on this member, and while it asks for votes it has none. So after a loss of all
// processes the leader is elected again as soon as a quorum runs.
func (n *Node) termLeader() ID {
	if n.log.leaderTerm != n.hard.Term {
		return ""
	}
	return n.log.leader
}

// hearLeader notes a message of the current leader.
func (n *Node) hearLeader(m Message) {
	n.becomeFollower(n.hard.Term, m.From)
	n.heardAt = n.now
}

func (n *Node) becomeFollower(term Term, leader ID) {
	if n.role == Leader {
		// The voters of the lease refuse votes until it has ended; so does this member,
		// which is one of them.
		if start, ok := n.leaseStart(); ok {
			n.heardAt = max(n.heardAt, start)
		}
	}
	n.setTerm(term)
	n.role = Follower
	n.leader = leader
	n.progress = nil
	n.resetElectionTimer()
}

func (n *Node) setTerm(term Term) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
}

func (n *Node) resetElectionTimer() {
	n.electionDue = n.now + n.randomBetween(ElectionTimeoutMin, ElectionTimeoutMax)
}

func (n *Node) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(n.random.Int64N(int64(high-low)))
}

// preCampaign asks whether an election could be won, without a new term. A member
// that was away does not disturb the others this way.
func (n *Node) preCampaign() {
	n.electionDue = n.now + n.randomBetween(PreVoteRetryMin, PreVoteRetryMax)
	if !n.log.membership().IsVoter(n.id) || n.refusesVotes(n.id) {
		return
	}
	n.role = PreCandidate
	n.leader = ""
	n.askForVotes(MsgPreVote, n.hard.Term+1)
}

func (n *Node) campaign() {
	n.electionDue = n.now + n.randomBetween(VoteRetryMin, VoteRetryMax)
	n.role = Candidate
	n.hard = HardState{Term: n.hard.Term + 1, Vote: n.id}
	n.askForVotes(MsgVote, n.hard.Term)
}

func (n *Node) askForVotes(kind MessageKind, term Term) {
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
			LogIndex: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) handlePreVote(m Message) {
	if n.refusesVotes(m.From) {
		return
	}
	reply := Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term}
	if m.Term <= n.hard.Term || !n.upToDate(m) {
		reply.Term = n.hard.Term
		reply.Reject = true
	}
	n.deferUntilSynced(reply)
}

func (n *Node) handleVote(m Message) {
	if n.refusesVotes(m.From) {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
	}
	free := n.hard.Vote == "" || n.hard.Vote == m.From
	grant := m.Term == n.hard.Term && free && n.upToDate(m)
	if grant {
		n.hard.Vote = m.From
		n.resetElectionTimer()
	}
	n.deferUntilSynced(Message{Kind: MsgVoteReply, To: m.From, Reject: !grant})
}

// upToDate reports whether the log of a candidate holds all that this one can know
// to be committed.
func (n *Node) upToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.LogIndex >= n.log.last()
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject && m.Term > n.hard.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	if n.role != PreCandidate || m.Reject || m.Term != n.hard.Term+1 {
		return
	}
	if n.countVote(m.From) {
		n.campaign()
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
	n.termStart = n.appendOwn(EntryEmpty, []byte(n.id))
	n.heartbeat()
}

// tickLeader sends heartbeats and steps down without a quorum.
func (n *Node) tickLeader() {
	if !n.log.membership().hasQuorum(n.active) {
		n.becomeFollower(n.hard.Term, "")
		return
	}
	if n.now >= n.heartbeatDue {
		n.heartbeat()
	}
}
