package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/base/clock"
)

const (
	// activeGroupWindow is how long a group counts as served after its last request. It is
	// above every usual pause between the requests of a caller.
	activeGroupWindow = 60 * time.Second
	// lastUseResolution is how exactly the time of the last request is kept, so that
	// requests in a row do not write to shared memory.
	lastUseResolution = time.Second
	// lastUseExpired marks an entry that was dropped and must not be used again.
	lastUseExpired = -1
)

// activeGroups remembers which database groups the proxy serves. Control sends health
// and primary leases for these only, once there are many groups.
type activeGroups struct {
	// lastUse holds *atomic.Int64, nanoseconds of the clock, by the group's name.
	lastUse   sync.Map
	reportNow func()
}

// recordRequest records a request for a group. The first one reports at once, because it waits
// for the group's lease.
func (g *activeGroups) recordRequest(name string) {
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
		if was == lastUseExpired {
			g.lastUse.CompareAndDelete(name, entry)
			continue
		}
		if now-was < int64(lastUseResolution) || last.CompareAndSwap(was, now) {
			return
		}
	}
}

// Groups returns the names of the groups with requests in the last groupMemory.
func (g *activeGroups) Groups(now time.Duration) []string {
	var names []string
	g.lastUse.Range(func(name, entry any) bool {
		last := entry.(*atomic.Int64)
		was := last.Load()
		if int64(now)-was < int64(activeGroupWindow) {
			names = append(names, name.(string))
		} else if last.CompareAndSwap(was, lastUseExpired) {
			g.lastUse.CompareAndDelete(name, entry)
		} else {
			names = append(names, name.(string))
		}
		return true
	})
	return names
}
