package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jayloom/jayloom/base/clock"
)

// Guards against the first request for a group waiting until the next regular report,
// and against a report for each request.
func TestFirstRequestForAGroupReportsOnce(t *testing.T) {
	reports := 0
	g := &activeGroups{reportNow: func() { reports++ }}
	for range 100 {
		g.recordRequest("a")
	}
	if reports != 1 {
		t.Errorf("%d reports for one group", reports)
	}
	now := clock.Now()
	if got := g.Groups(now); !slices.Equal(got, []string{"a"}) {
		t.Errorf("got active groups %v", got)
	}
	if got := g.Groups(now + activeGroupWindow + lastUseResolution); len(got) != 0 {
		t.Errorf("groups without recent requests are active: %v", got)
	}
	g.recordRequest("a")
	if reports != 2 || len(g.Groups(clock.Now())) != 1 {
		t.Errorf("after a pause: %d reports, groups %v", reports, g.Groups(clock.Now()))
	}
}

// Guards against recording a request in an entry that is being removed: its group would
// never be reported, and the request would wait for a lease until its deadline.
func TestUseDuringExpiryIsNotLost(t *testing.T) {
	for range 2000 {
		g := &activeGroups{reportNow: func() {}}
		g.recordRequest("a")
		entry, _ := g.lastUse.Load("a")
		last := clock.Now() - 2*lastUseResolution
		entry.(*atomic.Int64).Store(int64(last))
		var both sync.WaitGroup
		both.Go(func() { g.Groups(last + activeGroupWindow) })
		both.Go(func() { g.recordRequest("a") })
		both.Wait()
		if got := g.Groups(clock.Now()); len(got) != 1 {
			t.Fatalf("got active groups %v after a request", got)
		}
	}
}
