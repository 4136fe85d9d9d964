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
	// Learner members get the log and are counted in no quorum.
	Learner bool
}

// Membership is the set of members, at most one per identity.
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

// MembershipChange changes one member.
type MembershipChange struct {
	Kind ChangeKind
	ID   ID
	// Address is used by AddLearner.
	Address string
}

// Find returns the member of an identity.
func (m Membership) Find(id ID) (Member, bool) {
	i := m.indexOf(id)
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether id is counted in quorums.
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

// quorum returns how many voters are a majority.
func (m Membership) quorum() int {
	return m.VoterCount()/2 + 1
}

// hasQuorum reports whether the voters for which ok holds are a majority.
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

// apply returns the membership after a change.
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

// Encode returns the form that entries and snapshot files hold.
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

// DecodeMembership reads the form that Encode returns.
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

// ProposeMembership appends a membership change. It is in force as soon as it is
// in the log, and it may still be lost with the leader until it is committed.
func (n *Node) ProposeMembership(now time.Duration, c MembershipChange) (Index, error) {
	n.updateTime(now)
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	// Two leaders that each append a first change on top of the same membership
	// could form disjoint quorums; an entry of the own term that is committed rules
	// out that the other leader can still win.
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

// validateChange refuses changes after which the members could not commit anything.
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

// IsVoterSynced reports that the change at index is committed, that id is a voter, and
// that everything up to the change is durable on id.
func (n *Node) IsVoterSynced(id ID, change Index) bool {
	p := n.progress[id]
	return n.role == Leader &&
		n.log.committed >= change &&
		n.log.membership().IsVoter(id) &&
		p != nil && p.match >= change
}

// MembershipIndex returns the index of the membership change in force, or that of
// the snapshot which brought it.
func (n *Node) MembershipIndex() Index {
	return n.log.membershipIndex()
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership {
	return n.log.membership()
}

// CommittedMembership returns the newest membership that is committed.
func (n *Node) CommittedMembership() Membership {
	return n.log.membershipAt(n.log.committed)
}
