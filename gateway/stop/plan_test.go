package stop

import (
	"testing"
	"time"
)

const begun = 100 * time.Second

func after(d time.Duration) time.Duration { return begun + d }

// Guards against work that a stop begins although its answer may come too late, and against
// work that it refuses although there is time for it.
func TestMayContinue(t *testing.T) {
	p := NewPlan(begun, 6*time.Second)
	for _, c := range []struct {
		name    string
		now     time.Duration
		timeout time.Duration
		want    bool
	}{
		{"at the beginning, long", 0, 8 * time.Second, true},
		{"in the first half, long", 2990 * time.Millisecond, 4 * time.Second, true},
		{"in the second half, long", 3 * time.Second, 4 * time.Second, false},
		{"in the second half, short", 3 * time.Second, time.Second, true},
		{"just in time", 4500 * time.Millisecond, time.Second, true},
		{"just too late", 4501 * time.Millisecond, time.Second, false},
		{"at the end", 5600 * time.Millisecond, time.Millisecond, false},
	} {
		if got := p.MayContinue(after(c.now), c.timeout); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against new sessions and operations on a node that the load balancer has left.
func TestMayBegin(t *testing.T) {
	p := NewPlan(begun, 6*time.Second)
	if !p.MayBegin(after(2299 * time.Millisecond)) {
		t.Error("callers that the load balancer still sends are refused")
	}
	if p.MayBegin(after(2300 * time.Millisecond)) {
		t.Error("callers are served although the load balancer sends none")
	}
}

// Guards against a stop that gives up answers before the last sixth of the grace period, in
// which it may, and against one that leaves no time to end the process.
func TestPlanKeepsItsOrderForAnyGracePeriod(t *testing.T) {
	for grace := 500 * time.Millisecond; grace <= 60*time.Second; grace += 500 * time.Millisecond {
		p := NewPlan(begun, grace)
		times := []time.Duration{p.BeganAt, p.ServesUntil, p.TransactionsUntil, p.AnswersUntil, p.ClosesAt, p.EndsAt}
		for i := 1; i < len(times); i++ {
			if times[i] < times[i-1] {
				t.Errorf("grace period %s: time %d of %v is before the one before", grace, i, times)
			}
		}
		if p.AnswersUntil < begun+grace*5/6 {
			t.Errorf("grace period %s: answers are given up %s after its beginning", grace, p.AnswersUntil-begun)
		}
		if left := p.EndsAt - p.AnswersUntil; left < min(endTime, grace/6)-time.Microsecond || p.ClosesAt >= p.EndsAt {
			t.Errorf("grace period %s: %s are left to answer all callers, and %s to end the process", grace, left, p.EndsAt-p.ClosesAt)
		}
	}
}
