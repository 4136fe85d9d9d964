package consensus

import (
	"errors"
	"slices"
	"testing"
	"time"
)

// addLearner adds a VM as a learner and waits until it has caught up.
func (s *simulation) addLearner(id ID) *vm {
	s.t.Helper()
	v := s.add(id, SnapshotMeta{})
	s.changeMembership(MembershipChange{Kind: AddLearner, ID: id})
	s.waitFor("the learner catches up", func() bool {
		l := s.leader()
		return l != nil && l.node.hasCaughtUp(id) && v.node.log.committed == l.node.log.committed
	})
	return v
}

// changeMembership proposes a change and waits until it is committed.
func (s *simulation) changeMembership(c MembershipChange) Index {
	s.t.Helper()
	var index Index
	s.waitFor("the change is accepted", func() bool {
		var err error
		index, err = s.proposeChange(c)
		return err == nil
	})
	s.waitFor("the change is committed", func() bool { return s.leader() != nil && s.leader().node.log.committed >= index })
	return index
}

// proposeChangeOn proposes a change on the given VM, even if another VM leads.
func (s *simulation) proposeChangeOn(id ID, c MembershipChange) error {
	v := s.vm(id)
	_, err := v.node.ProposeMembership(v.clock(s.now), c)
	return err
}

// connectOnly cuts all links except those within each of the groups.
func (s *simulation) connectOnly(groups ...[]ID) {
	clear(s.cutLinks)
	for _, a := range s.vms {
		for _, b := range s.vms {
			together := slices.ContainsFunc(groups, func(g []ID) bool { return slices.Contains(g, a.id) && slices.Contains(g, b.id) })
			if !together {
				s.cutLink(a.id, b.id, false)
			}
		}
	}
}

// TestMembershipChangesAreSerialized guards against two memberships with disjoint
// quorums, which commit different entries at one index.
func TestMembershipChangesAreSerialized(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	s.addLearner("u")
	s.addLearner("v")
	s.connectOnly([]ID{"1", "u", "v"}, []ID{"2", "3"})
	if err := s.proposeChangeOn("1", MembershipChange{Kind: PromoteLearner, ID: "u"}); err != nil {
		t.Fatal(err)
	}
	err := s.proposeChangeOn("1", MembershipChange{Kind: PromoteLearner, ID: "v"})
	s.run(5 * time.Second)
	s.heal()
	s.waitForConvergence()
	if !errors.Is(err, ErrChangePending) {
		t.Fatalf("the second change returned %v", err)
	}
}

// TestMembershipChangeRequiresCommitInOwnTerm guards against changes by two leaders on
// top of the same membership, after which the earlier leader can win an election
// without the entries that the later one committed.
func TestMembershipChangeRequiresCommitInOwnTerm(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 4)
	s.addLearner("u")
	s.addLearner("v")
	s.connectOnly([]ID{"1", "u"}, []ID{"2", "3", "4"})
	if err := s.proposeChangeOn("1", MembershipChange{Kind: PromoteLearner, ID: "u"}); err != nil {
		t.Fatal(err)
	}
	s.allowOnlyCandidate("2")
	s.waitFor("2 leads", func() bool { return s.vm("2").node.role == Leader })
	s.connectOnly([]ID{"1", "u"}, []ID{"2", "3", "v"})
	s.inFlight = nil
	for range 200 {
		_ = s.proposeChangeOn("2", MembershipChange{Kind: PromoteLearner, ID: "v"})
		s.step()
	}
	s.connectOnly([]ID{"1", "u", "4"})
	s.allowOnlyCandidate("1")
	s.run(10 * time.Second)
	s.heal()
	s.waitForConvergence()
}

// TestInvalidMembershipChangesAreRefused guards against changes after which no entry
// could be committed.
func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	s.addLearner("u")
	s.add("w", SnapshotMeta{})
	s.isolate("w")
	s.changeMembership(MembershipChange{Kind: AddLearner, ID: "w"})
	s.isolate("3")
	s.run(3 * time.Second)
	for _, c := range []struct {
		change MembershipChange
		want   error
	}{
		{MembershipChange{Kind: PromoteLearner, ID: "w"}, ErrLearnerBehind},
		{MembershipChange{Kind: RemoveMember, ID: "2"}, ErrNoActiveQuorum},
		{MembershipChange{Kind: PromoteLearner, ID: "2"}, ErrAlreadyVoter},
		{MembershipChange{Kind: RemoveMember, ID: "x"}, ErrUnknownMember},
		{MembershipChange{Kind: AddLearner, ID: "u"}, ErrAlreadyMember},
	} {
		if err := s.proposeChangeOn("1", c.change); !errors.Is(err, c.want) {
			t.Errorf("%+v returned %v, want %v", c.change, err, c.want)
		}
	}
	s.changeMembership(MembershipChange{Kind: RemoveMember, ID: "3"})
}

// TestRemovedLeaderStepsDown guards against a leader that continues after its removal,
// and against a removed member that disrupts the others.
func TestRemovedLeaderStepsDown(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	if err := s.proposeChangeOn("1", MembershipChange{Kind: RemoveMember, ID: "1"}); err != nil {
		t.Fatal(err)
	}
	s.waitFor("another leader", func() bool { l := s.leader(); return l != nil && l.id != "1" })
	if s.vm("1").node.role == Leader {
		t.Fatal("the removed leader did not step down")
	}
	term := s.leader().node.Term()
	s.run(10 * time.Second)
	if got := s.leader().node.Term(); got != term {
		t.Fatalf("the term rose from %d to %d", term, got)
	}
}

// TestVoterLossAfterReplacement guards against a replacement that is reported complete
// before the new voter has synced all entries. The loss of another voter right after
// the report would then stop the cluster or lose entries.
func TestVoterLossAfterReplacement(t *testing.T) {
	for _, second := range []ID{"1", "2"} {
		s := newSimulationLedBy1(t, 1, 3)
		for range 50 {
			s.propose()
			s.step()
		}
		s.loseDisk(s.vm("3"))
		d := s.addLearner("d")
		s.changeMembership(MembershipChange{Kind: RemoveMember, ID: "3"})
		d.diskPercent = 0
		index := s.changeMembership(MembershipChange{Kind: PromoteLearner, ID: "d"})
		isComplete := func() bool { l := s.leader(); return l != nil && l.node.IsVoterSynced("d", index) }
		for range 200 {
			if isComplete() {
				break
			}
			s.propose()
			s.step()
		}
		if !isComplete() {
			d.diskPercent = 100
			s.waitFor("the replacement is complete", isComplete)
		}
		s.loseDisk(s.vm(second))
		s.waitForConvergence()
	}
}

// TestUncommittedPromotionIsNotReported guards against reporting a replacement as
// complete while only the new voter holds the change, which can then still be lost.
func TestUncommittedPromotionIsNotReported(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	d := s.addLearner("d")
	s.connectOnly([]ID{"1", "d"})
	s.vm("1").diskPercent = 0
	index, err := s.proposeChange(MembershipChange{Kind: PromoteLearner, ID: "d"})
	if err != nil {
		t.Fatal(err)
	}
	s.waitFor("the new voter holds the change", func() bool { return d.node.log.synced >= index })
	s.run(200 * time.Millisecond)
	if s.vm("1").node.IsVoterSynced("d", index) {
		t.Fatal("the uncommitted promotion is reported as complete")
	}
}

// TestLeaderCountsOnlySyncedEntries guards against committing an entry that the leader
// itself holds only in memory and loses in a crash.
func TestLeaderCountsOnlySyncedEntries(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	s.connectOnly([]ID{"1", "2"})
	s.vm("1").diskPercent = 0
	s.propose()
	s.run(500 * time.Millisecond)
	s.crash(s.vm("1"))
	s.connectOnly([]ID{"1", "3"})
	s.vm("1").diskPercent = 100
	s.start(s.vm("1"))
	s.waitFor("a leader without the entry", func() bool { return s.leader() != nil })
}

// TestAppendOfEarlierTermIsRejected guards against an acknowledged entry that is
// replaced by an entry from a leader whose term has ended.
func TestAppendOfEarlierTermIsRejected(t *testing.T) {
	s := newSimulation(t, 1, 3)
	v := s.vm("2")
	now := v.clock(s.now)
	v.node.Step(now, Message{Kind: MsgAppend, From: "1", To: "2", Term: 3, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	v.node.Step(now, Message{Kind: MsgAppend, From: "3", To: "2", Term: 2, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}})
	if got := v.node.log.lastTerm(); got != 3 {
		t.Fatalf("the entry has term %d, want 3", got)
	}
}

// TestMessageForOtherIdentityIsDropped guards against a VM with a new ID that votes on
// behalf of the previous member at its address.
func TestMessageForOtherIdentityIsDropped(t *testing.T) {
	s := newSimulation(t, 1, 3)
	v := s.vm("2")
	v.node.Step(v.clock(s.now)+time.Hour, Message{Kind: MsgVote, From: "1", To: "old", Term: 5, LogIndex: 9, LogTerm: 4})
	if _, work := v.node.Ready(); work {
		t.Fatal("a message for another ID was not dropped")
	}
}

// TestEarlierTermEntryIsNotCommittedAlone guards against committing an entry of an
// earlier term as soon as a quorum holds it, although a member with a newer entry at
// the same index can still win an election.
func TestEarlierTermEntryIsNotCommittedAlone(t *testing.T) {
	reached := 0
	for seed := range uint64(60) {
		if s := newSimulation(t, seed, 5); s.replicateEarlierTermToQuorum() {
			reached++
			s.heal()
			s.crash(s.vm("1"))
			s.allowOnlyCandidate("5")
			s.waitUntilLeader("5")
			s.start(s.vm("1"))
			s.waitForConvergence()
		}
	}
	if reached == 0 {
		t.Fatal("no seed produced the required log state")
	}
}

// replicateEarlierTermToQuorum creates a log in which an entry of the first term is
// durable on "1", "2" and "3", while "5" holds an entry of a newer term at the same
// index. It returns false if the messages arrived in a different order.
func (s *simulation) replicateEarlierTermToQuorum() bool {
	s.t.Helper()
	s.maxEntries = 1
	for _, v := range slices.Clone(s.vms) {
		s.crash(v)
		s.start(v)
	}
	s.allowOnlyCandidate("1")
	one := s.waitUntilLeader("1")
	s.run(time.Second)
	s.connectOnly([]ID{"1", "2"})
	s.propose()
	k := one.node.log.lastIndex()
	s.waitFor("2 holds the entry", func() bool { return s.vm("2").node.log.synced == k })
	s.crash(one)
	s.connectOnly([]ID{"3", "4", "5"})
	s.allowOnlyCandidate("5")
	s.waitFor("5 leads", func() bool { return s.vm("5").node.role == Leader })
	s.connectOnly()
	s.run(time.Second)
	s.crash(s.vm("5"))
	s.connectOnly([]ID{"1", "2", "3", "4"})
	s.start(one)
	s.allowOnlyCandidate("1")
	s.waitFor("1 leads again", func() bool { return one.node.role == Leader })
	s.connectOnly([]ID{"1", "2"}, []ID{"1", "3"})
	s.waitFor("3 holds the entry", func() bool { return s.vm("3").node.log.lastIndex() >= k })
	if s.vm("3").node.log.lastIndex() > k || s.vm("2").node.log.lastIndex() > k+1 {
		return false
	}
	s.cutLink("1", "3", false)
	s.run(100 * time.Millisecond)
	return s.vm("3").node.log.lastIndex() == k
}

// allowOnlyCandidate keeps all other VMs from starting elections until heal.
func (s *simulation) allowOnlyCandidate(id ID) {
	for _, v := range s.vms {
		v.passive = v.id != id
	}
}

// TestRepliesWaitForSync guards against votes and acknowledgements that are sent before
// the state that they confirm is durable.
func TestRepliesWaitForSync(t *testing.T) {
	for _, m := range []Message{
		{Kind: MsgVote, From: "1", To: "2", Term: 5, LogIndex: 9, LogTerm: 4},
		{Kind: MsgAppend, From: "1", To: "2", Term: 5, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 5}}},
	} {
		s := newSimulation(t, 1, 3)
		node := s.vm("2").node
		node.Step(s.vm("2").clock(s.now)+time.Hour, m)
		r, _ := node.Ready()
		if r.HardState == nil || len(r.Messages) > 0 {
			t.Fatalf("message kind %d is answered before the sync with %v", m.Kind, r.Messages)
		}
		node.Advance(r)
		if r, _ = node.Ready(); len(r.Messages) != 1 || r.Messages[0].Kind != m.Kind+1 || r.Messages[0].Reject {
			t.Fatalf("message kind %d is answered with %v", m.Kind, r.Messages)
		}
	}
}
