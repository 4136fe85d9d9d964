package consensus

import (
	"errors"
	"time"
)

// Timing of elections, heartbeats and the leader lease.
const (
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeoutMin and ElectionTimeoutMax bound the random time without a
	// leader after which a voter starts an election.
	ElectionTimeoutMin = 600 * time.Millisecond
	ElectionTimeoutMax = 1200 * time.Millisecond
	// PreVoteRetryMin and PreVoteRetryMax bound the random time after which a
	// pre-vote is repeated. A voter that heard from the lost leader a moment later
	// than the candidate gives no answer to the first one.
	PreVoteRetryMin = HeartbeatInterval
	PreVoteRetryMax = 3 * HeartbeatInterval
	// VoteRetryMin and VoteRetryMax bound the random time after which a candidate gives
	// up an election, as when votes were split. They leave time for a slow sync of the
	// voters and are shorter than the election timeout, since no leader is known.
	VoteRetryMin = 200 * time.Millisecond
	VoteRetryMax = 600 * time.Millisecond
	// VoteRefusalPeriod is how long a member grants no vote after it heard from a leader
	// and after its own start. A restarted member does not remember when it last
	// heard from a leader, so it assumes that this was just before the restart. The
	// leader of the member's newest term is excepted: it gave up its lease when it
	// stopped or stepped down.
	VoteRefusalPeriod = ElectionTimeoutMin
	// LeaseDuration counts from the send time of a heartbeat round that a quorum
	// answered. With clocks that run up to 5 % wrong, 540 ms on the leader take at
	// most 568 ms and VoteRefusalPeriod on a voter at least 571 ms.
	LeaseDuration = VoteRefusalPeriod * 9 / 10
	// QuorumTimeout is the time without answers of a quorum after which a leader
	// steps down.
	QuorumTimeout = ElectionTimeoutMax
	// SnapshotRetryInterval is the time after which an unanswered snapshot is sent again.
	SnapshotRetryInterval = 2 * time.Second
)

const (
	// defaultEntriesPerMessage and maxBytesPerMessage bound one append message.
	defaultEntriesPerMessage = 256
	maxBytesPerMessage       = 1 << 20
	// maxInFlight bounds the entries sent to a member and not yet acknowledged.
	maxInFlight = 2048
	// maxUncommitted bounds the entries that a leader accepts before they commit.
	maxUncommitted = 4096
	// maxPromotionLag is how many entries a learner may lack when it is promoted. A
	// voter that is far behind would hold up commits for which it is needed.
	maxPromotionLag = 256
)

// Errors of proposals.
var (
	ErrNotLeader       = errors.New("consensus: this member does not lead")
	ErrOverloaded      = errors.New("consensus: too many entries wait to be committed")
	ErrChangePending   = errors.New("consensus: another membership change is not committed yet")
	ErrTermUncommitted = errors.New("consensus: the leader has committed no entry of its term yet")
	ErrUnknownMember   = errors.New("consensus: no such member")
	ErrAlreadyMember   = errors.New("consensus: already a member")
	ErrAlreadyVoter    = errors.New("consensus: already a voter")
	ErrLearnerBehind   = errors.New("consensus: the learner has not caught up")
	ErrNoActiveQuorum  = errors.New("consensus: the new membership would have no reachable quorum")
)

// ID is the identity of a member. A member that lost its disk gets a new one.
type ID string

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Term numbers leaderships.
type Term uint64

// EntryKind says what an entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded Membership, in force once it is in the log.
	EntryMembership
	// EntryEmpty is appended by each new leader, whose identity is its data. Entries of
	// earlier terms are committed with it and never by counting.
	EntryEmpty
)

// Entry is one record of the replicated log. Its Data is not changed after it was
// handed over.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before any message that depends on it is sent.
type HardState struct {
	Term Term
	Vote ID
}

// SnapshotMeta describes a snapshot of the applied state.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot includes.
	Index      Index
	Term       Term
	Membership Membership
}

// Snapshot is a snapshot with the caller's data.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// Kinds of messages. The values are those of controlpb.ConsensusMessageKind.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
)

// Message goes from one member to another.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term Term
	// LogIndex and LogTerm are the candidate's last entry in votes, the entry before
	// Entries in appends, and in a reply the last entry known to match.
	LogIndex Index
	LogTerm  Term
	Commit   Index
	Entries  []Entry
	Reject   bool
	// Hint is, on a rejected append, the highest index that could match.
	Hint Index
	// Round is the leader's heartbeat round, echoed by the reply.
	Round uint64
	// Snapshot is sent with MsgSnapshot. The core fills in its description only; the
	// sender adds the data.
	Snapshot *Snapshot
}

// Ready is work for the caller. Messages may be sent at once. HardState, Snapshot
// and Entries must be durable before Advance. Committed entries are durable
// already and are applied in order.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the state and the whole log.
	Snapshot *Snapshot
	// Entries replace all entries from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry

	// deferred are released by Advance.
	deferred []Message
}

// Role is the part that a member plays in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a copy of what a node knows.
type Status struct {
	ID     ID
	Role   Role
	Term   Term
	Leader ID
	// LastContact is when a follower last heard from Leader.
	LastContact time.Duration
	Committed   Index
	Applied     Index
	LastIndex   Index
	// Members holds match index and activity on the leader only.
	Members []MemberStatus
}

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	Member
	// MatchIndex is the highest index known to be durable on the member.
	MatchIndex Index
	// Active is true when the member answered within QuorumTimeout.
	Active bool
}
