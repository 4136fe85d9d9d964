package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/base/clock"
)

const (
	// groupMemory is how long a group counts as served after its last request. It is
	// above every usual pause between the requests of a caller.
	groupMemory = 60 * time.Second
	// groupUseStep is how exactly the time of the last request is kept, so that
	// requests in a row do not write to shared memory.
	groupUseStep = time.Second
	// groupExpired marks an entry that was dropped and must not be used again.
	groupExpired = -1
)

// groupUse remembers which database groups the proxy serves. Control sends health
// and primary leases for these only, once there are many groups.
type groupUse struct {
	// lastUse holds *atomic.Int64, nanoseconds of the clock, by the group's name.
	lastUse   sync.Map
	reportNow func()
}

// use records a request for a group. The first one reports at once, because it waits
// for the group's lease.
func (g *groupUse) use(name string) {
	now := int64(clock.Now())
	for {
		entry, known := g.lastUse.Load(name)
		if !known {
			fresh := &atomic.Int64{}
			fresh.Store(now)
			if _, raced := g.lastUse.LoadOrStore(name, fresh); !raced {
				g.reportNow()
				return
			}
			continue
		}
		last := entry.(*atomic.Int64)
		was := last.Load()
		if was == groupExpired {
			g.lastUse.CompareAndDelete(name, entry)
			continue
		}
		if now-was < int64(groupUseStep) || last.CompareAndSwap(was, now) {
			return
		}
	}
}

// Groups returns the names of the groups with requests in the last groupMemory.
func (g *groupUse) Groups(now time.Duration) []string {
	var names []string
	g.lastUse.Range(func(name, entry any) bool {
		last := entry.(*atomic.Int64)
		was := last.Load()
		if int64(now)-was < int64(groupMemory) {
			names = append(names, name.(string))
		} else if last.CompareAndSwap(was, groupExpired) {
			g.lastUse.CompareAndDelete(name, entry)
		} else {
			names = append(names, name.(string))
		}
		return true
	})
	return names
}
