package consensus

import (
	"math/rand/v2"
	"time"
)

// Config is what a node starts from.
type Config struct {
	ID ID
	// Seed drives the election timeouts and should differ between members.
	Seed uint64
	// HardState, Snapshot and Entries are what is durable.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// MaxEntriesPerMessage bounds one append; 0 means 256.
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

	// Used by the leader only.
	progress        map[ID]*progress
	heartbeatRounds roundTimes
	termStart       Index
	nextHeartbeat   time.Duration

	messages []Message
	// deferred messages wait until the present state is durable.
	deferred []Message
	// awaitingAdvance is true between Ready and Advance.
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
	// A crash may have come between a snapshot or entries and their term.
	n.setTerm(max(log.snapshot.Term, log.lastTerm()))
	n.resetElectionTimer()
	if n.termLeader() == n.id {
		n.electionDeadline = now
	}
	return n, nil
}

// updateTime takes over the time, which never goes back.
func (n *Node) updateTime(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick acts on the time.
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

// Step takes in a message. One that is meant for another identity is dropped: the
// sender may know the address of a VM whose disk, and so identity, was replaced.
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

// rejectOldTerm tells a leader of an earlier term that it was replaced.
func (n *Node) rejectOldTerm(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		n.deferUntilSynced(Message{Kind: MsgAppendReply, To: m.From, LogIndex: m.LogIndex, Reject: true})
	}
}

// deferUntilSynced queues a message that must not be sent before the present state
// is durable. A message to the node itself is handled at that time.
func (n *Node) deferUntilSynced(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.deferred = append(n.deferred, m)
}

// Ready returns the work that has come up, and false if there is none. It returns
// none while Advance of the last Ready is due.
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

func (n *Node) hasUnsyncedState() bool {
	return n.hardState != n.syncedHardState || n.log.pendingSnapshot != nil || len(n.log.unsynced()) > 0
}

func (n *Node) takeDeferred() []Message {
	messages := n.deferred
	n.deferred = nil
	return messages
}

func (n *Node) releaseMessages(messages []Message) {
	for _, m := range messages {
		if m.To == n.id {
			n.handle(m)
			continue
		}
		n.messages = append(n.messages, m)
	}
}

// Advance notes that HardState, Snapshot and Entries of r are durable and that its
// committed entries were taken over for application.
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
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if n.role == Leader {
		n.updateOwnProgress()
	}
	n.releaseMessages(r.deferred)
}

// updateOwnProgress counts the leader's own durable entries.
func (n *Node) updateOwnProgress() {
	if p := n.progress[n.id]; p != nil {
		p.confirmMatch(n.log.synced)
	}
	n.advanceCommit()
}

// Compact notes a durable snapshot of the applied state and drops the entries up to
// upTo, which must not be beyond the snapshot. Entries that are kept spare members
// that are only a little behind a snapshot.
func (n *Node) Compact(upTo Index, s SnapshotMeta) {
	if s.Index > n.log.applied || s.Index <= n.log.snapshot.Index {
		return
	}
	n.log.snapshot = s
	n.log.compact(min(upTo, s.Index))
}

// SnapshotMeta describes a snapshot of everything up to an applied index.
func (n *Node) SnapshotMeta(applied Index) (SnapshotMeta, bool) {
	term, held := n.log.term(applied)
	if !held || applied > n.log.applied {
		return SnapshotMeta{}, false
	}
	return SnapshotMeta{Index: applied, Term: term, Membership: n.log.membershipAt(applied)}, true
}

// LeaseUntil returns when the leader lease ends, and false without one.
func (n *Node) LeaseUntil() (time.Duration, bool) {
	if n.role != Leader || n.log.committed < n.termStart {
		return 0, false
	}
	start, ok := n.leaseStart()
	return start + LeaseDuration, ok
}

// LeaseValid reports that this node leads, knows all committed entries, and that
// nobody else can have been elected before now.
func (n *Node) LeaseValid(now time.Duration) bool {
	until, ok := n.LeaseUntil()
	return ok && now < until
}

// Role returns the part that the node plays in its term.
func (n *Node) Role() Role {
	return n.role
}

// Term returns the present term.
func (n *Node) Term() Term {
	return n.hardState.Term
}

// Status returns a copy of what the node knows.
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
