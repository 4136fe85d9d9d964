package consensus

import (
	"testing"
	"time"
)

// run advances the simulated time by d.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

// waitUntilLeader runs the simulation until the VM leads with a lease.
func (s *simulation) waitUntilLeader(id ID) *vm {
	s.t.Helper()
	s.waitFor(string(id)+" leads with a lease", func() bool {
		v := s.vm(id)
		return v.up && v.node.LeaseValid(v.clock(s.now))
	})
	return s.vm(id)
}

// newSimulationLedBy1 returns a simulation in which VM "1" leads. The other VMs start
// no election before that.
func newSimulationLedBy1(t *testing.T, seed uint64, voters int) *simulation {
	t.Helper()
	s := newSimulation(t, seed, voters)
	s.allowOnlyCandidate("1")
	s.waitUntilLeader("1")
	s.heal()
	return s
}

// setMaxClockDrift makes the leader's clock as slow, and the clocks of the others as
// fast, as the drift bound allows.
func (s *simulation) setMaxClockDrift(leader ID) {
	for _, v := range s.vms {
		rate := 1.05
		if v.id == leader {
			rate = 0.95
		}
		// The clock must not jump when its rate changes.
		v.offset += time.Duration(float64(s.now) * (v.rate - rate))
		v.rate = rate
	}
}

// TestLeaseEndsBeforeNextLeaderUnderMaxClockDrift guards against a lease that outlasts
// the period in which the voters refuse votes, when the leader's clock is 5 % slow and
// theirs are 5 % fast.
func TestLeaseEndsBeforeNextLeaderUnderMaxClockDrift(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulationLedBy1(t, seed, 3)
		s.setMaxClockDrift("1")
		s.run(time.Second)
		s.isolate("1")
		s.waitFor("another leader", func() bool { return s.vm("2").node.role == Leader || s.vm("3").node.role == Leader })
	}
}

// TestVoterInContactWithLeaderRefusesVote guards against a vote by a member that
// receives the leader's messages, and so supports its lease, for a member that does not
// receive them.
func TestVoterInContactWithLeaderRefusesVote(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationLedBy1(t, seed, 3)
		s.cutLink("1", "2", true)
		s.run(5 * time.Second)
		if s.vm("1").node.role != Leader {
			t.Fatalf("seed %d: the leader was replaced although a quorum received its messages", seed)
		}
	}
}

// TestRestartedVoterRefusesVote guards against a vote by a member that supported a
// lease and does not remember it after a restart.
func TestRestartedVoterRefusesVote(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationLedBy1(t, seed, 3)
		s.cutLink("1", "2", true)
		s.waitFor("2 requests pre-votes", func() bool { return s.vm("2").node.role == PreCandidate })
		s.isolate("1")
		s.crash(s.vm("3"))
		s.start(s.vm("3"))
		s.waitFor("another leader", func() bool { return s.vm("2").node.role == Leader || s.vm("3").node.role == Leader })
	}
}

// TestLeaderIsReelectedImmediatelyAfterFullRestart guards against an election timeout,
// during which nothing is served, after all members lost power.
func TestLeaderIsReelectedImmediatelyAfterFullRestart(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationLedBy1(t, seed, 5)
		s.run(time.Second)
		for _, v := range s.vms {
			s.crash(v)
		}
		for _, id := range []ID{"1", "4", "5"} {
			s.start(s.vm(id))
		}
		start := s.now
		s.waitFor("a leader", func() bool { return s.leader() != nil })
		if took := s.now - start; s.leader().id != "1" || took > VoteRefusalPeriod/2 {
			t.Errorf("seed %d: %s leads after %s", seed, s.leader().id, took)
		}
	}
}

// TestRestartedVoterVotesOnlyForKnownLeader guards against a vote for a member other
// than the leader whose lease the restarted voter may have supported.
func TestRestartedVoterVotesOnlyForKnownLeader(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	s.run(time.Second)
	v := s.vm("3")
	s.crash(v)
	s.start(v)
	now := v.clock(s.now)
	requestVote := func(from ID, at time.Duration) ID {
		v.node.Step(at, Message{Kind: MsgVote, From: from, To: "3", Term: v.node.Term() + 1, LogIndex: 100, LogTerm: v.node.Term()})
		return v.node.hardState.Vote
	}
	if vote := requestVote("2", now+VoteRefusalPeriod-1); vote == "2" {
		t.Error("the voter voted for another member while the leader may hold its lease")
	}
	if vote := requestVote("1", now+VoteRefusalPeriod-1); vote != "1" {
		t.Error("the voter refused the leader of its term")
	}
	if vote := requestVote("2", now+VoteRefusalPeriod-1); vote == "2" {
		t.Error("the voter voted for another member in a term whose leader it does not know")
	}
}

// TestLeaderRefusesVoteForMemberThatMissesHeartbeats guards against a leader that votes
// for a member which does not receive its messages.
func TestLeaderRefusesVoteForMemberThatMissesHeartbeats(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationLedBy1(t, seed, 3)
		s.cutLink("1", "2", false)
		s.cutLink("3", "2", false)
		s.run(5 * time.Second)
		if s.vm("1").node.role != Leader {
			t.Fatalf("seed %d: the leader was replaced by a member that does not receive its messages", seed)
		}
	}
}

// TestDeposedLeaderRefusesVoteUntilLeaseEnds guards against a vote by a deposed leader
// for another member while callers may still rely on the lease.
func TestDeposedLeaderRefusesVoteUntilLeaseEnds(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	v := s.vm("1")
	until, _ := v.node.LeaseUntil()
	now := v.clock(s.now)
	term := v.node.Term() + 1
	v.node.Step(now, Message{Kind: MsgAppendReply, From: "2", To: "1", Term: term, Reject: true})
	v.node.Step(until-1, Message{Kind: MsgVote, From: "2", To: "1", Term: term, LogIndex: 100, LogTerm: term})
	if v.node.hardState.Vote != "" {
		t.Fatal("the deposed leader voted before its lease ended")
	}
	refusalEnd := until + VoteRefusalPeriod - LeaseDuration
	v.node.Step(refusalEnd, Message{Kind: MsgVote, From: "2", To: "1", Term: term, LogIndex: 100, LogTerm: term})
	if v.node.hardState.Vote != "2" {
		t.Fatal("the deposed leader did not vote after its lease ended")
	}
}

// TestReturningMemberDoesNotForceElection guards against a new term, and therefore an
// election, when an isolated member returns.
func TestReturningMemberDoesNotForceElection(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	term := s.vm("1").node.Term()
	s.isolate("3")
	s.run(10 * time.Second)
	s.heal()
	s.run(5 * time.Second)
	if s.vm("1").node.role != Leader || s.vm("1").node.Term() != term {
		t.Fatalf("the returning member caused an election: term was %d, is %d", term, s.vm("1").node.Term())
	}
}

// TestLeaderWithoutQuorumStepsDown guards against an isolated leader that continues to
// accept commands, including one that learners still answer.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newSimulationLedBy1(t, 1, 3)
	s.addLearner("u")
	s.addLearner("v")
	s.connectOnly([]ID{"1", "u", "v"}, []ID{"2", "3"})
	s.run(3 * time.Second)
	if s.vm("1").node.role == Leader {
		t.Fatal("the leader did not step down")
	}
}

// TestLeaseWaitsForFirstCommit guards against a leader that serves before it knows all
// entries that earlier leaders committed.
func TestLeaseWaitsForFirstCommit(t *testing.T) {
	s := newSimulation(t, 1, 3)
	s.waitFor("a leader", func() bool { return s.leader() != nil })
	v := s.leader()
	s.isolate(v.id)
	now := v.clock(s.now)
	for _, other := range s.vms {
		v.node.Step(now, Message{Kind: MsgAppendReply, From: other.id, To: v.id, Term: v.node.Term(), Round: 1, LogIndex: 1, Reject: true})
	}
	if _, answered := v.node.leaseStart(); !answered || v.node.LeaseValid(now) {
		t.Fatal("the leader holds a lease without a commit in its own term")
	}
}

// TestDelayedRepliesDoNotExtendLease guards against a lease that is counted from the
// arrival of replies, which a suspended leader reads from its sockets when it resumes.
func TestDelayedRepliesDoNotExtendLease(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulationLedBy1(t, seed, 3)
		s.waitFor("messages are in flight", func() bool { return len(s.inFlight) > 0 })
		s.vm("1").frozen = true
		s.waitFor("another leader", func() bool { l := s.leader(); return l != nil && l.node.LeaseValid(l.clock(s.now)) })
		s.heal()
		s.waitForConvergence()
	}
}

// TestSuspendedLeaderReturnsAfterPartition guards against a leader that was suspended
// behind a partition for hundreds of entries and, when it resumes, acts as leader or
// keeps its own entries.
func TestSuspendedLeaderReturnsAfterPartition(t *testing.T) {
	for seed := range uint64(10) {
		s := newSimulationLedBy1(t, seed, 3)
		old := s.vm("1")
		s.isolate("1")
		old.frozen = true
		s.waitFor("another leader", func() bool { l := s.leader(); return l != nil && l.node.LeaseValid(l.clock(s.now)) })
		for range 500 {
			s.propose()
			s.step()
		}
		s.compact(s.vm("2"))
		s.compact(s.vm("3"))
		s.heal()
		if old.node.role != Leader || old.node.LeaseValid(old.clock(s.now)) {
			t.Fatalf("seed %d: the old leader holds a lease, or is no longer in the leader role", seed)
		}
		index, err := old.node.Propose(old.clock(s.now), []byte("stale"))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		s.waitForConvergence()
		if r := s.committedEntries[index]; r.data == "stale" || old.node.role == Leader {
			t.Fatalf("seed %d: the old leader still leads or its entry was kept", seed)
		}
	}
}
