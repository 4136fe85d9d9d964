package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/base/clock"
)

const (
	// activeGroupWindow is how long a group counts as active after its last request. It
	// exceeds the usual pauses between the requests of a caller.
	activeGroupWindow = 60 * time.Second
	// lastUseResolution is the resolution of the time of the last request; requests
	// within it do not write to shared memory.
	lastUseResolution = time.Second
	// lastUseExpired marks an entry that was removed and must not be reused.
	lastUseExpired = -1
)

// activeGroups tracks the database groups that the proxy serves. When there are many
// groups, control sends health and primary leases for these only.
type activeGroups struct {
	// lastUse maps a group's name to an *atomic.Int64 with the time of its last request
	// in nanoseconds of base/clock.
	lastUse   sync.Map
	reportNow func()
}

// recordRequest records a request for a group. The first one triggers a report at once,
// because the request waits for the group's lease.
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
		previous := last.Load()
		if previous == lastUseExpired {
			g.lastUse.CompareAndDelete(name, entry)
			continue
		}
		if now-previous < int64(lastUseResolution) || last.CompareAndSwap(previous, now) {
			return
		}
	}
}

// Groups returns the names of the groups with requests within activeGroupWindow.
func (g *activeGroups) Groups(now time.Duration) []string {
	var names []string
	g.lastUse.Range(func(name, entry any) bool {
		last := entry.(*atomic.Int64)
		previous := last.Load()
		if int64(now)-previous < int64(activeGroupWindow) {
			names = append(names, name.(string))
		} else if last.CompareAndSwap(previous, lastUseExpired) {
			g.lastUse.CompareAndDelete(name, entry)
		} else {
			names = append(names, name.(string))
		}
		return true
	})
	return names
}
