package consensus

import (
	"errors"
	"time"
)

// Timing of elections, heartbeats and the leader lease.
const (
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeoutMin and ElectionTimeoutMax bound the randomized time without
	// contact with a leader after which a voter starts an election.
	ElectionTimeoutMin = 600 * time.Millisecond
	ElectionTimeoutMax = 1200 * time.Millisecond
	// PreVoteRetryMin and PreVoteRetryMax bound the randomized time after which a
	// pre-vote is repeated. A voter that had contact with the lost leader slightly
	// later than the candidate does not answer the first one.
	PreVoteRetryMin = HeartbeatInterval
	PreVoteRetryMax = 3 * HeartbeatInterval
	// VoteRetryMin and VoteRetryMax bound the randomized time after which a candidate
	// abandons an election, for example because votes were split. They allow for a slow
	// sync on the voters and are shorter than the election timeout, because no leader
	// is known.
	VoteRetryMin = 200 * time.Millisecond
	VoteRetryMax = 600 * time.Millisecond
	// VoteRefusalPeriod is how long a member grants no vote after its last contact with
	// a leader and after its own start. A restarted member does not remember its last
	// contact with a leader, so it assumes one just before the restart. The leader of
	// the member's newest term is exempt: it gave up its lease when it stopped or
	// stepped down.
	VoteRefusalPeriod = ElectionTimeoutMin
	// LeaseDuration is counted from the time at which a heartbeat round was sent that a
	// quorum answered. With clock rates that are off by up to 5 %, 540 ms on the leader
	// take at most 568 ms and VoteRefusalPeriod on a voter takes at least 571 ms.
	LeaseDuration = VoteRefusalPeriod * 9 / 10
	// QuorumTimeout is the time without replies from a quorum after which a leader
	// steps down.
	QuorumTimeout = ElectionTimeoutMax
	// SnapshotRetryInterval is the time after which an unacknowledged snapshot is sent
	// again.
	SnapshotRetryInterval = 2 * time.Second
)

const (
	// defaultEntriesPerMessage and maxBytesPerMessage limit one append message.
	defaultEntriesPerMessage = 256
	maxBytesPerMessage       = 1 << 20
	// maxInFlight limits the entries sent to a member and not yet acknowledged.
	maxInFlight = 2048
	// maxUncommitted limits the entries that a leader has accepted and not yet
	// committed.
	maxUncommitted = 4096
	// maxPromotionLag is how many committed entries a learner may lack when it is
	// promoted. A voter that is far behind would delay commits that need its
	// acknowledgement.
	maxPromotionLag = 256
)

// Errors returned for proposals.
var (
	ErrNotLeader       = errors.New("consensus: this member is not the leader")
	ErrOverloaded      = errors.New("consensus: too many uncommitted entries")
	ErrChangePending   = errors.New("consensus: a previous membership change is not yet committed")
	ErrTermUncommitted = errors.New("consensus: the leader has not yet committed an entry of its term")
	ErrUnknownMember   = errors.New("consensus: unknown member")
	ErrAlreadyMember   = errors.New("consensus: the member already exists")
	ErrAlreadyVoter    = errors.New("consensus: the member is already a voter")
	ErrLearnerBehind   = errors.New("consensus: the learner has not caught up")
	ErrNoActiveQuorum  = errors.New("consensus: the new membership would have no active quorum")
)

// ID identifies a member. A member that lost its disk gets a new ID.
type ID string

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Term numbers the periods of leadership. Each term has at most one leader.
type Term uint64

// EntryKind is the kind of content of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryMembership holds an encoded Membership, which takes effect as soon as it is
	// in the log.
	EntryMembership
	// EntryEmpty is appended by each new leader and holds the leader's ID. Entries of
	// earlier terms are committed together with it and never by counting replicas
	// alone.
	EntryEmpty
)

// Entry is one record of the replicated log. Its Data must not be modified after the
// entry was passed to or returned from a Node.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be durable before any message that depends on it is
// sent.
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

// Snapshot is a snapshot together with the caller's data.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// MessageKind is the kind of a request or reply.
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

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term Term
	// LogIndex and LogTerm identify the candidate's last entry in vote requests, the
	// entry before Entries in appends, and the last entry known to match in replies.
	LogIndex Index
	LogTerm  Term
	Commit   Index
	Entries  []Entry
	Reject   bool
	// Hint is the highest index that could match, in the reply that rejects an append.
	Hint Index
	// Round is the leader's heartbeat round, which the reply repeats.
	Round uint64
	// Snapshot is set in MsgSnapshot. The node sets only SnapshotMeta; the caller that
	// sends the message adds the data.
	Snapshot *Snapshot
}

// Ready is work for the caller. Messages may be sent immediately. HardState, Snapshot
// and Entries must be durable before Advance is called. Committed entries are already
// durable and must be applied in order.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the state and the whole log.
	Snapshot *Snapshot
	// Entries replace all entries from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	Committed []Entry

	// deferred holds the messages that Advance releases.
	deferred []Message
}

// Role is the role of a member in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a snapshot of a node's state.
type Status struct {
	ID     ID
	Role   Role
	Term   Term
	Leader ID
	// LastContact is when a follower last received a message from Leader.
	LastContact time.Duration
	Committed   Index
	Applied     Index
	LastIndex   Index
	// Members lists the members in effect. MatchIndex and Active are set only on the
	// leader.
	Members []MemberStatus
}

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	Member
	// MatchIndex is the highest index known to be durable on the member.
	MatchIndex Index
	// Active is true if the member replied within QuorumTimeout.
	Active bool
}
