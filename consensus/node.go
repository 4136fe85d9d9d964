package consensus

import (
	"math/rand/v2"
	"time"
)

// Config holds the durable state and the settings from which a node starts.
type Config struct {
	ID ID
	// Seed seeds the randomized election timeouts and should differ between members.
	Seed uint64
	// HardState, Snapshot and Entries are the durable state.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// MaxEntriesPerMessage limits one append message; 0 means 256.
	MaxEntriesPerMessage int
}

// Node is one voter or learner. It is not safe for concurrent use.
type Node struct {
	id     ID
	random *rand.Rand
	now    time.Duration

	maxEntries int

	hardState       HardState
	syncedHardState HardState
	log             *entryLog

	role             Role
	leader           ID
	votes            map[ID]bool
	lastContact      time.Duration
	electionDeadline time.Duration

	// The following fields are used only by the leader.
	progress        map[ID]*progress
	heartbeatRounds roundTimes
	// termStart is the index of the first entry of the leader's term.
	termStart     Index
	nextHeartbeat time.Duration

	messages []Message
	// deferred messages wait until the current state is durable.
	deferred []Message
	// awaitingAdvance is true from Ready until Advance.
	awaitingAdvance bool
}

// New returns a node that continues from durable state.
func New(now time.Duration, c Config) (*Node, error) {
	log, err := newEntryLog(c.Snapshot, c.Entries)
	if err != nil {
		return nil, err
	}
	n := &Node{
		id:              c.ID,
		random:          rand.New(rand.NewPCG(c.Seed, 0)),
		now:             now,
		hardState:       c.HardState,
		syncedHardState: c.HardState,
		log:             log,
		lastContact:     now,
		maxEntries:      c.MaxEntriesPerMessage,
	}
	if n.maxEntries == 0 {
		n.maxEntries = defaultEntriesPerMessage
	}
	// A crash may have happened after a snapshot or entries became durable and before
	// their term did.
	n.setTerm(max(log.snapshot.Term, log.lastTerm()))
	n.resetElectionTimer()
	if n.termLeader() == n.id {
		n.electionDeadline = now
	}
	return n, nil
}

// updateTime sets the current time, which never goes backwards.
func (n *Node) updateTime(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick starts elections, sends heartbeats and steps down when these are due at now.
func (n *Node) Tick(now time.Duration) {
	n.updateTime(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDeadline {
		n.startPreVote()
	}
}

// Step processes a message. A message for another ID is dropped: the sender may know
// the address of a VM whose disk, and therefore ID, was replaced.
func (n *Node) Step(now time.Duration, m Message) {
	n.updateTime(now)
	if m.To != n.id || m.From == n.id {
		return
	}
	n.handle(m)
}

func (n *Node) handle(m Message) {
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
		return
	case MsgPreVoteReply:
		n.handlePreVoteReply(m)
		return
	case MsgVote:
		n.handleVote(m)
		return
	}
	if m.Term < n.hardState.Term {
		n.rejectOldTerm(m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	}
}

// rejectOldTerm tells a leader of an earlier term that a newer term exists.
func (n *Node) rejectOldTerm(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		n.deferUntilSynced(Message{Kind: MsgAppendReply, To: m.From, LogIndex: m.LogIndex, Reject: true})
	}
}

// deferUntilSynced queues a message that must not be sent before the current state is
// durable. A message to the node itself is processed at that time.
func (n *Node) deferUntilSynced(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.deferred = append(n.deferred, m)
}

// Ready returns the pending work, and false if there is none. It returns none until
// Advance was called for the previous Ready.
func (n *Node) Ready() (Ready, bool) {
	if n.awaitingAdvance {
		return Ready{}, false
	}
	for !n.hasUnsyncedState() && len(n.deferred) > 0 {
		n.releaseMessages(n.takeDeferred())
	}
	n.sendNewEntries()
	r := Ready{
		Snapshot:  n.log.pendingSnapshot,
		Entries:   n.log.unsynced(),
		Messages:  n.messages,
		Committed: n.log.entriesToApply(),
		deferred:  n.takeDeferred(),
	}
	if n.hardState != n.syncedHardState {
		hardState := n.hardState
		r.HardState = &hardState
	}
	n.messages = nil
	hasWork := n.hasUnsyncedState() || len(r.Messages) > 0 || len(r.Committed) > 0
	n.awaitingAdvance = hasWork
	return r, hasWork
}

// hasUnsyncedState reports whether the caller must persist anything.
func (n *Node) hasUnsyncedState() bool {
	return n.hardState != n.syncedHardState || n.log.pendingSnapshot != nil || len(n.log.unsynced()) > 0
}

func (n *Node) takeDeferred() []Message {
	messages := n.deferred
	n.deferred = nil
	return messages
}

// releaseMessages queues deferred messages for sending and processes those to the node
// itself.
func (n *Node) releaseMessages(messages []Message) {
	for _, m := range messages {
		if m.To == n.id {
			n.handle(m)
			continue
		}
		n.messages = append(n.messages, m)
	}
}

// Advance records that HardState, Snapshot and Entries of r are durable and that the
// caller has taken its committed entries for application.
func (n *Node) Advance(r Ready) {
	n.awaitingAdvance = false
	if r.HardState != nil {
		n.syncedHardState = *r.HardState
	}
	if r.Snapshot != nil && r.Snapshot == n.log.pendingSnapshot {
		n.log.pendingSnapshot = nil
		n.log.synced = max(n.log.synced, r.Snapshot.Index)
	}
	if len(r.Entries) > 0 {
		n.log.markSynced(r.Entries[len(r.Entries)-1])
	}
	n.recordApplied(r.Committed)
	if n.role == Leader {
		n.updateOwnProgress()
	}
	n.releaseMessages(r.deferred)
}

// recordApplied records that the caller has taken committed entries for application.
func (n *Node) recordApplied(committed []Entry) {
	if len(committed) > 0 {
		n.log.applied = max(n.log.applied, committed[len(committed)-1].Index)
	}
}

// AdvanceUnsynced replaces Advance if there was no room to make Snapshot and Entries of r durable.
// hardStateSynced is true if HardState is durable nevertheless. It reports whether nothing is left to be
// made durable; otherwise Ready returns the rest again, and the deferred messages are dropped as the
// network may drop them.
func (n *Node) AdvanceUnsynced(r Ready, hardStateSynced bool) bool {
	n.awaitingAdvance = false
	if r.HardState != nil && hardStateSynced {
		n.syncedHardState = *r.HardState
	}
	n.recordApplied(r.Committed)
	n.deferred = append(r.deferred, n.deferred...)
	if n.hardState == n.syncedHardState && n.canForget() {
		n.forgetUnsyncedEntries()
	}
	if n.hasUnsyncedState() {
		n.deferred = nil
		return false
	}
	return true
}

// GiveWay ends the leadership of a member that cannot make durable what a quorum of the others holds, so that one
// of them can lead. It reports whether it did. The others do not elect this member again before it holds these
// entries too.
func (n *Node) GiveWay(now time.Duration) bool {
	n.updateTime(now)
	if n.role != Leader || n.log.committed <= n.log.synced {
		return false
	}
	n.becomeFollower(n.hardState.Term, "")
	return true
}

// canForget reports whether nobody relies on the entries that are not durable. A leader's may be
// committed by others, and a candidate has named its last entry to those that vote for it.
func (n *Node) canForget() bool {
	return n.log.pendingSnapshot == nil && (n.role == Follower || n.role == PreCandidate)
}

// forgetUnsyncedEntries drops the entries that are not durable, as if the messages with them had been
// lost. The member can then answer its leader, with what is durable.
func (n *Node) forgetUnsyncedEntries() {
	kept := max(n.log.synced, n.log.base)
	if kept >= n.log.lastIndex() {
		return
	}
	// They may be committed by others; this member learns so again.
	n.log.committed = min(n.log.committed, kept)
	n.log.truncateFrom(kept + 1)
	for i, m := range n.deferred {
		if m.Kind == MsgAppendReply && !m.Reject {
			n.deferred[i].LogIndex = min(m.LogIndex, kept)
		}
	}
}

// updateOwnProgress counts the leader's own durable entries.
func (n *Node) updateOwnProgress() {
	if p := n.progress[n.id]; p != nil {
		p.confirmMatch(n.log.synced)
	}
	n.advanceCommit()
}

// Compact records a durable snapshot of the applied state and drops the entries up to
// upTo, which must not be beyond the snapshot. The entries that are kept let members
// that are slightly behind catch up without a snapshot.
func (n *Node) Compact(upTo Index, s SnapshotMeta) {
	if s.Index > n.log.applied || s.Index <= n.log.snapshot.Index {
		return
	}
	n.log.snapshot = s
	n.log.compact(min(upTo, s.Index))
}

// CompactionIndex returns the index up to which Compact may drop entries, if at most the given number of
// entries and of bytes before a snapshot at index are to be kept.
func (n *Node) CompactionIndex(index Index, entries, bytes int) Index {
	upTo := index
	for upTo > n.log.base && entries > 0 {
		bytes -= len(n.log.entries[upTo-n.log.base-1].Data)
		if bytes < 0 {
			break
		}
		upTo--
		entries--
	}
	return upTo
}

// SnapshotMeta returns the description of a snapshot of the state at an applied index,
// and false if the log cannot describe it.
func (n *Node) SnapshotMeta(applied Index) (SnapshotMeta, bool) {
	term, held := n.log.term(applied)
	if !held || applied > n.log.applied {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: applied, Term: term, Membership: n.log.membershipAt(applied)}, true
}

// LeaseUntil returns when the leader lease ends, and false if there is none.
func (n *Node) LeaseUntil() (time.Duration, bool) {
	if n.role != Leader || n.log.committed < n.termStart {
		return 0, false
	}
	start, ok := n.leaseStart()
	return start + LeaseDuration, ok
}

// LeaseValid reports whether this node leads, knows all committed entries, and no other
// member can have been elected before now.
func (n *Node) LeaseValid(now time.Duration) bool {
	until, ok := n.LeaseUntil()
	return ok && now < until
}

// Role returns the node's role in its current term.
func (n *Node) Role() Role {
	return n.role
}

// Term returns the current term.
func (n *Node) Term() Term {
	return n.hardState.Term
}

// Status returns a snapshot of the node's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.hardState.Term, Leader: n.leader, LastContact: n.lastContact,
		Committed: n.log.committed, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
	}
	for _, member := range n.log.membership().Members {
		status := MemberStatus{Member: member}
		if p := n.progress[member.ID]; p != nil {
			status.MatchIndex = p.match
			status.Active = n.isActive(member.ID)
		}
		s.Members = append(s.Members, status)
	}
	return s
}
