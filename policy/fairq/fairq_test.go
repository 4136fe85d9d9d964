package fairq

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBusyTeamDoesNotStarveOthers guards against a team with a long queue starving
// others: while teams wait, none gets two items more than another since both began to
// wait.
func TestBusyTeamDoesNotStarveOthers(t *testing.T) {
	q := New[int]()
	for i := range 1000 {
		q.Push("loud", i)
	}
	served := map[string]int{}
	for i := range 100 {
		if i%2 == 0 {
			q.Push("quiet", 10_000+i)
		}
		value, _ := q.Pop()
		if value >= 10_000 {
			served["quiet"]++
		} else {
			served["loud"]++
		}
	}
	if served["quiet"] < 49 {
		t.Errorf("the quiet team got %d of its 50 turns", served["quiet"])
	}
}

// TestQueueProperties guards against items that are lost, duplicated or reordered within
// a team, and against unequal turns between teams that wait all the time.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[[2]int]()
		names := []string{"a", "b", "c"}
		next, seen := [3]int{}, [3]int{}
		removed := map[[2]int]bool{}
		waiting := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := rapid.IntRange(0, 2).Draw(t, "team")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				q.Push(names[team], [2]int{team, next[team]})
				next[team]++
				waiting++
			case 2:
				item, ok := q.Pop()
				if ok != (waiting > 0) {
					t.Fatalf("popped %v with %d waiting", ok, waiting)
				}
				if !ok {
					continue
				}
				waiting--
				for removed[[2]int{item[0], seen[item[0]]}] {
					seen[item[0]]++
				}
				if item[1] != seen[item[0]] {
					t.Fatalf("team %d: got item %d, want %d", item[0], item[1], seen[item[0]])
				}
				seen[item[0]]++
			default:
				target := [2]int{team, rapid.IntRange(0, next[team]+1).Draw(t, "item")}
				if q.Remove(names[team], func(v [2]int) bool { return v == target }) {
					removed[target] = true
					waiting--
				}
			}
			if q.Len() != waiting {
				t.Fatalf("length %d, want %d", q.Len(), waiting)
			}
		}
	})
}
