package replica

import (
	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/consensus"
)

// toWire converts a message of this replica to its wire format.
func toWire(m consensus.Message, fromAddress string) *controlpb.ConsensusMessage {
	out := &controlpb.ConsensusMessage{
		Kind:        controlpb.ConsensusMessageKind(m.Kind),
		From:        string(m.From),
		To:          string(m.To),
		Term:        uint64(m.Term),
		LogIndex:    uint64(m.LogIndex),
		LogTerm:     uint64(m.LogTerm),
		Commit:      uint64(m.Commit),
		Reject:      m.Reject,
		Hint:        uint64(m.Hint),
		Round:       m.Round,
		FromAddress: fromAddress,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &controlpb.LogEntry{
			Index: uint64(e.Index), Term: uint64(e.Term), Kind: controlpb.EntryKind(e.Kind), Data: e.Data,
		})
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &controlpb.LogSnapshot{
			Index: uint64(s.Index), Term: uint64(s.Term), Membership: membershipToWire(s.Membership), Data: s.Data,
		}
	}
	return out
}

// fromWire validates and converts a received message.
func fromWire(in *controlpb.ConsensusMessage) (consensus.Message, bool) {
	m := consensus.Message{
		Kind:     consensus.MessageKind(in.Kind),
		From:     consensus.ID(in.From),
		To:       consensus.ID(in.To),
		Term:     consensus.Term(in.Term),
		LogIndex: consensus.Index(in.LogIndex),
		LogTerm:  consensus.Term(in.LogTerm),
		Commit:   consensus.Index(in.Commit),
		Reject:   in.Reject,
		Hint:     consensus.Index(in.Hint),
		Round:    in.Round,
	}
	for i, e := range in.Entries {
		if e.GetIndex() != in.LogIndex+uint64(i)+1 || e.GetTerm() > in.Term {
			return consensus.Message{}, false
		}
		m.Entries = append(m.Entries, consensus.Entry{
			Index: consensus.Index(e.Index), Term: consensus.Term(e.Term), Kind: consensus.EntryKind(e.Kind), Data: e.Data,
		})
	}
	if s := in.Snapshot; s != nil {
		m.Snapshot = &consensus.Snapshot{Data: s.Data}
		m.Snapshot.Index = consensus.Index(s.Index)
		m.Snapshot.Term = consensus.Term(s.Term)
		m.Snapshot.Membership = membershipFromWire(s.Membership)
	}
	isKnownKind := in.Kind >= controlpb.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_PRE_VOTE &&
		in.Kind <= controlpb.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_SNAPSHOT
	return m, isKnownKind && in.From != "" && in.To != ""
}

func membershipToWire(m consensus.Membership) *controlpb.Membership {
	out := &controlpb.Membership{}
	for _, member := range m.Members {
		out.Members = append(out.Members, &controlpb.Member{
			Identity: string(member.ID), Address: member.Address, Learner: member.Learner,
		})
	}
	return out
}

func membershipFromWire(in *controlpb.Membership) consensus.Membership {
	m := consensus.Membership{}
	for _, member := range in.GetMembers() {
		m.Members = append(m.Members, consensus.Member{
			ID: consensus.ID(member.Identity), Address: member.Address, Learner: member.Learner,
		})
	}
	return m
}
