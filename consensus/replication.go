package consensus

import "time"

// Propose appends a command. It fails on a member that is not the leader.
func (n *Node) Propose(now time.Duration, data []byte) (Index, error) {
	n.updateTime(now)
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if n.log.lastIndex()-n.log.committed >= maxUncommitted {
		return 0, ErrOverloaded
	}
	return n.appendAsLeader(EntryCommand, data), nil
}

// appendAsLeader appends an entry in the leader's term. Ready sends it to the members.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) Index {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	if err := n.log.append(e); err != nil {
		panic("consensus: append own entry: " + err.Error())
	}
	if kind == EntryMembership {
		n.trackMembers()
	}
	return e.Index
}

// broadcastHeartbeat starts a heartbeat round: every member receives an append, with
// entries if it lacks any.
func (n *Node) broadcastHeartbeat() {
	n.heartbeatRounds.startRound(n.now)
	n.nextHeartbeat = n.now + HeartbeatInterval
	for _, member := range n.log.membership().Members {
		p := n.progress[member.ID]
		if member.ID == n.id {
			p.recordAck(n.now)
			continue
		}
		n.sendAppend(member.ID, p)
	}
}

// sendNewEntries sends entries that members lack and that are not already in flight.
func (n *Node) sendNewEntries() {
	if n.role != Leader {
		return
	}
	for _, member := range n.log.membership().Members {
		p := n.progress[member.ID]
		for member.ID != n.id && n.canStream(p) {
			n.sendAppend(member.ID, p)
		}
	}
}

// canStream reports whether new entries may be sent to a member between heartbeats.
func (n *Node) canStream(p *progress) bool {
	return !p.probing && p.snapshotIndex == 0 && p.next <= n.log.lastIndex() && p.next-p.match <= maxInFlight
}

// sendAppend sends the entries from p.next on, a snapshot if these are compacted, or an
// append without entries while the member cannot accept more.
func (n *Node) sendAppend(id ID, p *progress) {
	if p.snapshotIndex > 0 && n.now < p.snapshotSentAt+SnapshotRetryInterval {
		n.sendEmptyAppend(id)
		return
	}
	p.snapshotIndex = 0
	if p.next <= n.log.base {
		n.sendSnapshot(id, p)
		return
	}
	var entries []Entry
	if p.next-p.match <= maxInFlight {
		entries = n.log.messageEntries(p.next, n.maxEntries)
	}
	prevTerm, _ := n.log.term(p.next - 1)
	n.send(Message{Kind: MsgAppend, To: id, LogIndex: p.next - 1, LogTerm: prevTerm, Entries: entries})
	if !p.probing {
		p.next += Index(len(entries))
	}
}

func (n *Node) sendEmptyAppend(id ID) {
	n.send(Message{Kind: MsgAppend, To: id, LogIndex: n.log.base, LogTerm: n.log.baseTerm})
}

func (n *Node) sendSnapshot(id ID, p *progress) {
	p.snapshotIndex = n.log.snapshot.Index
	p.snapshotSentAt = n.now
	p.next = n.log.snapshot.Index + 1
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: &Snapshot{SnapshotMeta: n.log.snapshot}})
}

// send queues a message of the leader. The message does not depend on state that is not
// durable: a leader's term was durable before it was elected.
func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.hardState.Term
	m.Commit = n.log.committed
	m.Round = n.heartbeatRounds.newest
	n.messages = append(n.messages, m)
}

// handleAppend stores a leader's entries.
func (n *Node) handleAppend(m Message) {
	n.followLeader(m)
	reply := Message{Kind: MsgAppendReply, To: m.From, LogIndex: m.LogIndex, Round: m.Round}
	if m.LogIndex > n.log.committed {
		if term, held := n.log.term(m.LogIndex); !held || term != m.LogTerm {
			reply.Reject = true
			reply.Hint = n.log.conflictHint(m.LogIndex)
			n.deferUntilSynced(reply)
			return
		}
	}
	if err := n.log.merge(m.Entries); err != nil {
		// A correct leader sends no malformed entry. Without a reply the member stays
		// behind and is reported as inactive.
		return
	}
	matched := max(m.LogIndex+Index(len(m.Entries)), n.log.committed)
	n.log.committed = max(n.log.committed, min(m.Commit, matched))
	reply.LogIndex = matched
	n.deferUntilSynced(reply)
}

// handleSnapshot installs a leader's snapshot unless the log already holds its last
// entry.
func (n *Node) handleSnapshot(m Message) {
	if m.Snapshot == nil {
		return
	}
	n.followLeader(m)
	s := m.Snapshot
	if s.Index > n.log.committed {
		if term, held := n.log.term(s.Index); held && term == s.Term {
			n.log.committed = s.Index
		} else {
			n.log.install(s)
		}
	}
	n.deferUntilSynced(Message{Kind: MsgAppendReply, To: m.From, LogIndex: n.log.committed, Round: m.Round})
}

// handleAppendReply updates the leader's knowledge of a member.
func (n *Node) handleAppendReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastContact = n.now
	if sentAt, ok := n.heartbeatRounds.sentAt(m.Round); ok {
		p.recordAck(sentAt)
	}
	if m.Reject {
		if p.handleReject(m.LogIndex, m.Hint) {
			n.sendAppend(m.From, p)
		}
		return
	}
	p.confirmMatch(m.LogIndex)
	n.advanceCommit()
}

// advanceCommit commits the entries that are durable on a quorum. An entry of an
// earlier term is committed only together with an entry of the leader's own term:
// otherwise a later leader could still replace it although a quorum holds it.
func (n *Node) advanceCommit() {
	index := n.quorumMatch()
	if index <= n.log.committed {
		return
	}
	if term, _ := n.log.term(index); term != n.hardState.Term {
		return
	}
	n.log.committed = index
	n.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a member that is no longer a voter, once
// that change is committed.
func (n *Node) stepDownIfRemoved() {
	if n.log.membership().IsVoter(n.id) || n.log.committed < n.log.membershipIndex() {
		return
	}
	// The other members learn of the commit and can elect a leader without this member.
	n.broadcastHeartbeat()
	n.becomeFollower(n.hardState.Term, "")
}
