package sessionmem

import (
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	testBytes    = 3400
	testSessions = 17
	// testFloor and testLimit follow from the two above: 1700/17, and 1700/17 on top.
	testFloor, testLimit = 100, 200
)

// Guards against sessions without a bound, and against a reservation that is refused and counted.
func TestReservations(t *testing.T) {
	type step struct {
		session int
		// reserve is released if it is negative.
		reserve int64
		want    Verdict
	}
	for _, c := range []struct {
		name  string
		steps []step
		held  []int64
	}{
		{"up to the limit of a session", []step{{0, testLimit, Granted}, {0, 1, SessionFull}}, []int64{testLimit}},
		{"above the limit at once", []step{{0, testLimit + 1, SessionFull}, {0, 10, Granted}}, []int64{10}},
		{"released bytes may be reserved again", []step{{0, testLimit, Granted}, {0, -50, Granted}, {0, 50, Granted}}, []int64{testLimit}},
		{"no more is released than is held", []step{{0, 10, Granted}, {0, -50, Granted}, {0, testLimit, Granted}}, []int64{testLimit}},
		// Sixteen times the 95 of the second does not fit into the 1700 - 100 - 95 that would be free; 94 does.
		{"the shared part of others", []step{{0, testLimit, Granted}, {1, 195, NodeFull}, {1, 194, Granted}}, []int64{testLimit, 194}},
		{"the end of a session", []step{{0, testLimit, Granted}, {0, -testLimit, Granted}, {1, testLimit, Granted}}, []int64{0, testLimit}},
	} {
		t.Run(c.name, func(t *testing.T) {
			budget := New(testBytes, testSessions)
			accounts := make([]*Account, len(c.held))
			for i := range accounts {
				accounts[i] = budget.Open()
			}
			for i, s := range c.steps {
				if s.reserve < 0 {
					accounts[s.session].Release(-s.reserve)
					continue
				}
				if got := accounts[s.session].Reserve(s.reserve); got != s.want {
					t.Errorf("step %d: verdict %d, want %d", i, got, s.want)
				}
			}
			var held []int64
			for _, a := range accounts {
				held = append(held, a.Held())
			}
			if diff := cmp.Diff(c.held, held); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a caller that uses little and is refused for what others hold.
func TestFloorIsGrantedWhateverOthersHold(t *testing.T) {
	budget := New(testBytes, testSessions)
	for range testSessions - 1 {
		greedy := budget.Open()
		for greedy.Reserve(1) == Granted {
		}
	}
	if got := budget.Open().Reserve(testFloor); got != Granted {
		t.Errorf("verdict %d for the floor", got)
	}
}

// Guards against a budget that some order of reservations exceeds, and one that leaks.
func TestRandomCoursesStayWithinTheBudget(t *testing.T) {
	for seed := range int64(20) {
		r := rand.New(rand.NewSource(seed))
		budget := New(testBytes, testSessions)
		accounts := make([]*Account, testSessions)
		for i := range accounts {
			accounts[i] = budget.Open()
		}
		for range 10000 {
			a := accounts[r.Intn(testSessions)]
			switch r.Intn(8) {
			case 0:
				a.Close()
			case 1, 2:
				a.Release(r.Int63n(testFloor))
			default:
				a.Reserve(r.Int63n(testLimit))
			}
			total := int64(0)
			for _, a := range accounts {
				total += a.Held()
			}
			if total > testBytes {
				t.Fatalf("seed %d: sessions hold %d bytes", seed, total)
			}
		}
		for _, a := range accounts {
			a.Close()
		}
		if budget.sharedUsed != 0 {
			t.Errorf("seed %d: %d bytes are in use without sessions", seed, budget.sharedUsed)
		}
	}
}
