package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// voterReplacement replaces a voter that lost its disk, with the steps that an operator
// takes, until the replacement is complete.
type voterReplacement struct {
	sim           *simulation
	lostID, newID ID
	nextID        int
}

func (r *voterReplacement) isIdle() bool { return r.lostID == "" }

func (r *voterReplacement) start(lost *vm) {
	r.lostID = lost.id
	r.newID = ID(fmt.Sprint("n", r.nextID))
	r.nextID++
	r.sim.loseDisk(lost)
	r.sim.add(r.newID, SnapshotMeta{})
}

// advance takes the next step. The order of removal and promotion depends on the ID, so
// that both orders are tested.
func (r *voterReplacement) advance() {
	leader := r.sim.leader()
	if r.isIdle() || leader == nil {
		return
	}
	m := leader.node.Membership()
	_, isMember := m.Find(r.newID)
	_, lostIsMember := m.Find(r.lostID)
	if leader.node.CommittedMembership().IsVoter(r.newID) && !lostIsMember {
		if leader.node.IsVoterSynced(r.newID, leader.node.MembershipIndex()) {
			r.lostID = ""
		}
		return
	}
	changes := []MembershipChange{{Kind: PromoteLearner, ID: r.newID}, {Kind: RemoveMember, ID: r.lostID}}
	if r.nextID%2 == 0 {
		slices.Reverse(changes)
	}
	if !isMember {
		changes = []MembershipChange{{Kind: AddLearner, ID: r.newID}}
	}
	for _, c := range changes {
		if _, err := r.sim.proposeChange(c); err == nil {
			return
		}
	}
}

// injectFault injects one randomly drawn fault.
func (s *simulation) injectFault(t *rapid.T, r *voterReplacement) {
	v := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")]
	other := s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "other")]
	switch rapid.IntRange(0, 12).Draw(t, "fault") {
	case 0:
		if v.up {
			s.crash(v)
		}
	case 1, 2:
		// The process restarts immediately and has lost what was not durable.
		s.crash(v)
		s.start(v)
	case 3:
		if l := s.leader(); l != nil {
			s.crash(l)
			s.start(l)
		}
	case 4, 5:
		s.cutLink(v.id, other.id, true)
	case 6:
		s.cutLink(v.id, other.id, false)
	case 7:
		s.isolate(v.id)
	case 8:
		v.frozen = true
	case 9:
		v.diskPercent = rapid.SampledFrom([]int{2, 10, 100}).Draw(t, "disk")
	case 10:
		if r.isIdle() && v.up {
			r.start(v)
		}
	case 12:
		v.room = rapid.SampledFrom([]diskRoom{roomForAll, roomForHardState, roomForNothing}).Draw(t, "room")
	case 11:
		s.lossPercent = rapid.IntRange(0, 30).Draw(t, "loss")
		s.slowPercent = rapid.IntRange(0, 20).Draw(t, "slow")
	}
}

// heal restores all links, resumes frozen and passive VMs and starts those that are down.
func (s *simulation) heal() {
	clear(s.cutLinks)
	for _, v := range s.vms {
		v.frozen, v.passive = false, false
		if !v.up {
			s.start(v)
		}
	}
}

// TestRandomFaults guards against two leaders in a term, diverging logs, lost or
// changed committed entries, two lease holders, and a cluster that does not recover.
// The faults are loss, duplication, delay and reordering of messages, crashes with loss
// of unsynced data, lost and full disks, membership changes, cut links, frozen processes, and
// clock rates that are off by up to 5 %.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "voters"))
		s.maxEntries = rapid.SampledFrom([]int{1, 3, 0}).Draw(t, "entries per message")
		s.duplicatePercent = 5
		r := &voterReplacement{sim: s}
		s.waitFor("a first leader", func() bool { return s.leader() != nil })
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			s.injectFault(t, r)
			if rapid.IntRange(0, 3).Draw(t, "heal") == 0 {
				s.heal()
			}
			s.runWithTraffic(r, time.Duration(rapid.IntRange(0, 15).Draw(t, "time"))*100*time.Millisecond)
		}
		s.heal()
		s.lossPercent, s.slowPercent = 0, 0
		for _, v := range s.vms {
			v.diskPercent, v.room = 100, roomForAll
		}
		s.waitFor("the replacement is complete", func() bool { r.advance(); return r.isIdle() })
		s.waitForConvergence()
	})
}

// runWithTraffic runs the simulation for d with proposals, replacements and snapshots.
func (s *simulation) runWithTraffic(r *voterReplacement, d time.Duration) {
	for end := s.now + d; s.now < end; {
		switch s.random.IntN(8) {
		case 0, 1:
			s.propose()
		case 2:
			r.advance()
		case 3:
			if v := s.vms[s.random.IntN(len(s.vms))]; v.up && s.random.IntN(10) == 0 {
				s.compact(v)
			}
		}
		s.step()
	}
}

// waitForConvergence waits until a new command is applied on every member.
func (s *simulation) waitForConvergence() {
	s.waitFor("a leader with a lease", func() bool {
		l := s.leader()
		return l != nil && l.node.LeaseValid(l.clock(s.now))
	})
	s.propose()
	last := s.leader().node.log.lastIndex()
	s.waitFor("all members applied the last command and agree on the membership", func() bool {
		return !slices.ContainsFunc(s.vms, func(v *vm) bool {
			want := s.leaderMembership()
			_, member := want.Find(v.id)
			return member && (v.node.log.applied < last || !slices.Equal(v.node.Membership().Members, want.Members))
		})
	})
}

func (s *simulation) leaderMembership() Membership {
	if l := s.leader(); l != nil {
		return l.node.Membership()
	}
	return s.vms[0].node.Membership()
}
