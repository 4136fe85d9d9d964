package failover

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// What the platform states: a call without an answer is carried out up to platformOrderDelay later, and the
// ordered server leads up to platformPromotionTime after that.
const (
	platformOrderDelay    = 12 * time.Second
	platformPromotionTime = time.Second
)

// Guards against the loss of acknowledged commits by a promotion order that is carried out as late as the
// platform states (review, case 6): until then only the ordered server may receive, also under a new leader.
func TestOrderMayActAsLateAsThePlatformStates(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		s := newSynchronousSimulation(t)
		s.losePrimary()
		if got := promotions(s.advance(time.Second, "r1", "r2")); !cmp.Equal(got, []string{"r1"}) {
			t.Fatalf("ordered %v", got)
		}
		s.machine.HandleUnknownOutcome(s.now)
		s.in.Reachability = Reachability{Nodes: 11, Reaching: 11}
		s.advance(200*time.Millisecond, "p", "r1", "r2")
		s.server("r1").Sample.PausedTerm = 0
		if leaderChanges {
			s.machine = New(s.now)
			s.machine.Adopt(s.now, "p", 1)
		}
		if got := resumes(s.advance(platformOrderDelay+platformPromotionTime, "p", "r1", "r2")); len(got) > 0 {
			t.Errorf("leader changes %v: resumed %v while the order may be carried out", leaderChanges, got)
		}
	}
}
