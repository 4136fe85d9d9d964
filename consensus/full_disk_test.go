package consensus

import (
	"testing"
	"time"
)

// TestFullDisksKeepTheLeader guards against a leader that ends because followers whose disks are full do not
// answer its heartbeats, and against entries that do not reach them once there is room.
func TestFullDisksKeepTheLeader(t *testing.T) {
	for _, room := range []diskRoom{roomForHardState, roomForNothing} {
		s := newSimulation(t, 1, 3)
		s.waitFor("a leader with a lease", func() bool {
			l := s.leader()
			return l != nil && l.node.LeaseValid(l.clock(s.now))
		})
		leader := s.leader()
		term := leader.node.Term()
		for _, v := range s.vms {
			v.room = room
		}
		s.propose()
		for end := s.now + 10*time.Second; s.now < end; s.step() {
			if leader.node.Term() != term || !leader.node.LeaseValid(leader.clock(s.now)) {
				t.Fatalf("the leader of term %d has lost its lease; term is %d", term, leader.node.Term())
			}
		}
		proposed := leader.node.log.lastIndex()
		if leader.node.log.committed >= proposed {
			t.Fatalf("entry %d is committed although no disk has room", proposed)
		}
		for _, v := range s.vms {
			v.room = roomForAll
		}
		s.waitForConvergence()
		if leader.node.Term() != term {
			t.Errorf("term is %d after the disks had room again, was %d", leader.node.Term(), term)
		}
	}
}

// TestFullFollowerConfirmsOnlyWhatIsDurable guards against a confirmation of entries that a follower has forgotten.
func TestFullFollowerConfirmsOnlyWhatIsDurable(t *testing.T) {
	m := Membership{Members: []Member{{ID: "a"}, {ID: "b"}}}
	node, err := New(0, Config{ID: "b", HardState: HardState{Term: 1}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Membership: m}})
	if err != nil {
		t.Fatal(err)
	}
	entries := []Entry{{Index: 2, Term: 1, Data: []byte("x")}, {Index: 3, Term: 1, Data: []byte("y")}}
	node.Step(0, Message{Kind: MsgAppend, From: "a", To: "b", Term: 1, LogIndex: 1, LogTerm: 1, Commit: 3, Entries: entries})
	r, _ := node.Ready()
	if len(r.Entries) != 2 {
		t.Fatalf("%d entries are to be written, want 2", len(r.Entries))
	}
	if !node.AdvanceUnsynced(r, false) {
		t.Fatal("something is left to be written")
	}
	r, _ = node.Ready()
	if len(r.Messages) != 1 || r.Messages[0].LogIndex != 1 || r.Messages[0].Reject {
		t.Fatalf("the answer is %+v, want a confirmation of entry 1", r.Messages)
	}
	if s := node.Status(); s.LastIndex != 1 || s.Committed != 1 {
		t.Errorf("last entry %d, committed %d, want 1 and 1", s.LastIndex, s.Committed)
	}
}
