package replica

import (
	"testing"
	"time"
)

// TestLeaderWithoutRoomGivesWay guards against a fleet that refuses all changes because the disk of its leader alone
// is full: the leader kept its role although a quorum of the others had room.
func TestLeaderWithoutRoomGivesWay(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		s := newSimulation(t, seed, 3, 1)
		s.runFor(4 * time.Second)
		full := s.leader()
		if full == nil {
			s.fail("no leader")
		}
		full.disk.SetCapacity(full.disk.Used())
		before := s.confirmed
		for range 100 {
			s.put()
			s.runFor(100 * time.Millisecond)
		}
		if s.confirmed == before {
			s.fail("no change was confirmed within 10 s; the leader is %s, whose disk is full", full.address)
		}
	}
}
