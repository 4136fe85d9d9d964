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

	hard       HardState
	syncedHard HardState
	log        *entryLog

	role        Role
	leader      ID
	votes       map[ID]bool
	heardAt     time.Duration
	electionDue time.Duration

	// Used by the leader only.
	progress     map[ID]*progress
	rounds       roundTimes
	termStart    Index
	heartbeatDue time.Duration

	messages []Message
	// deferred messages wait until the present state is durable.
	deferred []Message
	// outstanding is true between Ready and Advance.
	outstanding bool
}

// New returns a node that continues from durable state.
func New(now time.Duration, c Config) (*Node, error) {
	log, err := newEntryLog(c.Snapshot, c.Entries)
	if err != nil {
		return nil, err
	}
	n := &Node{
		id:         c.ID,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		now:        now,
		hard:       c.HardState,
		syncedHard: c.HardState,
		log:        log,
		heardAt:    now,
		maxEntries: c.MaxEntriesPerMessage,
	}
	if n.maxEntries == 0 {
		n.maxEntries = defaultEntriesPerMessage
	}
	// A crash may have come between a snapshot or entries and their term.
	n.setTerm(max(log.snapshot.Term, log.lastTerm()))
	n.resetElectionTimer()
	if n.termLeader() == n.id {
		n.electionDue = now
	}
	return n, nil
}

// observe takes over the time, which never goes back.
func (n *Node) observe(now time.Duration) {
	n.now = max(n.now, now)
}

// Tick acts on the time.
func (n *Node) Tick(now time.Duration) {
	n.observe(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDue {
		n.preCampaign()
	}
}

// Step takes in a message. One that is meant for another identity is dropped: the
// sender may know the address of a VM whose disk, and so identity, was replaced.
func (n *Node) Step(now time.Duration, m Message) {
	n.observe(now)
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
	if m.Term < n.hard.Term {
		n.answerOldTerm(m)
		return
	}
	if m.Term > n.hard.Term {
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

// answerOldTerm tells a leader of an earlier term that it was replaced.
func (n *Node) answerOldTerm(m Message) {
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		n.deferUntilSynced(Message{Kind: MsgAppendReply, To: m.From, LogIndex: m.LogIndex, Reject: true})
	}
}

// deferUntilSynced queues a message that must not be sent before the present state
// is durable. A message to the node itself is handled at that time.
func (n *Node) deferUntilSynced(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.deferred = append(n.deferred, m)
}

// Ready returns the work that has come up, and false if there is none. It returns
// none while Advance of the last Ready is due.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding {
		return Ready{}, false
	}
	for !n.mustPersist() && len(n.deferred) > 0 {
		n.release(n.takeDeferred())
	}
	n.sendNewEntries()
	r := Ready{
		Snapshot:  n.log.installing,
		Entries:   n.log.unsynced(),
		Messages:  n.messages,
		Committed: n.log.appliable(),
		deferred:  n.takeDeferred(),
	}
	if n.hard != n.syncedHard {
		hard := n.hard
		r.HardState = &hard
	}
	n.messages = nil
	work := n.mustPersist() || len(r.Messages) > 0 || len(r.Committed) > 0
	n.outstanding = work
	return r, work
}

func (n *Node) mustPersist() bool {
	return n.hard != n.syncedHard || n.log.installing != nil || len(n.log.unsynced()) > 0
}

func (n *Node) takeDeferred() []Message {
	taken := n.deferred
	n.deferred = nil
	return taken
}

func (n *Node) release(messages []Message) {
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
	n.outstanding = false
	if r.HardState != nil {
		n.syncedHard = *r.HardState
	}
	if r.Snapshot != nil && r.Snapshot == n.log.installing {
		n.log.installing = nil
		n.log.synced = max(n.log.synced, r.Snapshot.Index)
	}
	if len(r.Entries) > 0 {
		n.log.markSynced(r.Entries[len(r.Entries)-1])
	}
	if len(r.Committed) > 0 {
		n.log.applied = max(n.log.applied, r.Committed[len(r.Committed)-1].Index)
	}
	if n.role == Leader {
		n.confirmOwn()
	}
	n.release(r.deferred)
}

// confirmOwn counts the leader's own durable entries.
func (n *Node) confirmOwn() {
	if p := n.progress[n.id]; p != nil {
		p.confirm(n.log.synced)
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
	return n.hard.Term
}

// Status returns a copy of what the node knows.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.hard.Term, Leader: n.leader, LastContact: n.heardAt,
		Committed: n.log.committed, Applied: n.log.applied, LastIndex: n.log.last(),
	}
	for _, member := range n.log.membership().Members {
		status := MemberStatus{Member: member}
		if p := n.progress[member.ID]; p != nil {
			status.MatchIndex = p.match
			status.Active = n.active(member.ID)
		}
		s.Members = append(s.Members, status)
	}
	return s
}
