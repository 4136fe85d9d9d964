package consensus

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// Member is a voter or learner.
type Member struct {
	ID      ID
	Address string
	// Learner members receive the log and do not count towards a quorum.
	Learner bool
}

// Membership is the set of members, with at most one member per ID.
type Membership struct {
	Members []Member
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	AddLearner ChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// MembershipChange is a change of one member.
type MembershipChange struct {
	Kind ChangeKind
	ID   ID
	// Address is used only by AddLearner.
	Address string
}

// Find returns the member with the given ID.
func (m Membership) Find(id ID) (Member, bool) {
	i := m.indexOf(id)
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether id counts towards a quorum.
func (m Membership) IsVoter(id ID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	count := 0
	for _, member := range m.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// quorum returns the number of voters that form a majority.
func (m Membership) quorum() int {
	return m.VoterCount()/2 + 1
}

// hasQuorum reports whether the voters for which included returns true form a majority.
func (m Membership) hasQuorum(included func(ID) bool) bool {
	count := 0
	for _, member := range m.Members {
		if !member.Learner && included(member.ID) {
			count++
		}
	}
	return m.VoterCount() > 0 && count >= m.quorum()
}

func (m Membership) indexOf(id ID) int {
	return slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == id })
}

// apply returns the membership that results from a change.
func (m Membership) apply(c MembershipChange) (Membership, error) {
	i := m.indexOf(c.ID)
	next := Membership{Members: slices.Clone(m.Members)}
	switch c.Kind {
	case AddLearner:
		if i >= 0 {
			return Membership{}, ErrAlreadyMember
		}
		next.Members = append(next.Members, Member{ID: c.ID, Address: c.Address, Learner: true})
	case PromoteLearner:
		if i < 0 {
			return Membership{}, ErrUnknownMember
		}
		if !next.Members[i].Learner {
			return Membership{}, ErrAlreadyVoter
		}
		next.Members[i].Learner = false
	case RemoveMember:
		if i < 0 {
			return Membership{}, ErrUnknownMember
		}
		next.Members = slices.Delete(next.Members, i, i+1)
	default:
		return Membership{}, errors.New("consensus: unknown kind of membership change")
	}
	return next, nil
}

// Encode returns the encoding used in entries and snapshot files.
func (m Membership) Encode() []byte {
	out := binary.AppendUvarint(nil, uint64(len(m.Members)))
	for _, member := range m.Members {
		out = appendString(out, string(member.ID))
		out = appendString(out, member.Address)
		learner := byte(0)
		if member.Learner {
			learner = 1
		}
		out = append(out, learner)
	}
	return out
}

var errMalformedMembership = errors.New("consensus: malformed membership")

// DecodeMembership decodes the result of Encode.
func DecodeMembership(data []byte) (Membership, error) {
	count, data, ok := readUvarint(data)
	if !ok || count > uint64(len(data)) {
		return Membership{}, errMalformedMembership
	}
	m := Membership{}
	for range count {
		var id, address string
		if id, data, ok = readString(data); !ok {
			return Membership{}, errMalformedMembership
		}
		if address, data, ok = readString(data); !ok || len(data) == 0 {
			return Membership{}, errMalformedMembership
		}
		m.Members = append(m.Members, Member{ID: ID(id), Address: address, Learner: data[0] == 1})
		data = data[1:]
	}
	if len(data) > 0 {
		return Membership{}, errMalformedMembership
	}
	return m, nil
}

func appendString(out []byte, s string) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

func readUvarint(data []byte) (uint64, []byte, bool) {
	v, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, false
	}
	return v, data[n:], true
}

func readString(data []byte) (string, []byte, bool) {
	length, data, ok := readUvarint(data)
	if !ok || length > uint64(len(data)) {
		return "", nil, false
	}
	return string(data[:length]), data[length:], true
}

// ProposeMembership appends a membership change. It takes effect as soon as it is in
// the log, and until it is committed it can still be lost with the leader.
func (n *Node) ProposeMembership(now time.Duration, c MembershipChange) (Index, error) {
	n.updateTime(now)
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	// Two leaders that each append a first change on top of the same membership could
	// form disjoint quorums. A committed entry of the leader's own term rules out that
	// the other leader can still win an election.
	if n.log.committed < n.termStart {
		return 0, ErrTermUncommitted
	}
	if n.log.membershipIndex() > n.log.committed {
		return 0, ErrChangePending
	}
	next, err := n.log.membership().apply(c)
	if err != nil {
		return 0, err
	}
	if err := n.validateChange(c, next); err != nil {
		return 0, err
	}
	return n.appendAsLeader(EntryMembership, next.Encode()), nil
}

// validateChange refuses changes after which the members could not commit entries.
func (n *Node) validateChange(c MembershipChange, next Membership) error {
	if c.Kind == AddLearner {
		return nil
	}
	if c.Kind == PromoteLearner && !n.hasCaughtUp(c.ID) {
		return ErrLearnerBehind
	}
	if !next.hasQuorum(n.isActive) {
		return ErrNoActiveQuorum
	}
	return nil
}

func (n *Node) hasCaughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && n.isActive(id) && p.match+maxPromotionLag >= n.log.committed && p.match > 0
}

// IsVoterSynced reports whether the change at index is committed, id is a voter, and
// all entries up to the change are durable on id.
func (n *Node) IsVoterSynced(id ID, change Index) bool {
	p := n.progress[id]
	return n.role == Leader &&
		n.log.committed >= change &&
		n.log.membership().IsVoter(id) &&
		p != nil && p.match >= change
}

// MembershipIndex returns the index of the membership change in effect, or the index of
// the snapshot that contained it.
func (n *Node) MembershipIndex() Index {
	return n.log.membershipIndex()
}

// Membership returns the membership in effect.
func (n *Node) Membership() Membership {
	return n.log.membership()
}

// CommittedMembership returns the newest committed membership.
func (n *Node) CommittedMembership() Membership {
	return n.log.membershipAt(n.log.committed)
}
