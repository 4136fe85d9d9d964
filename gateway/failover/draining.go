package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

// A replica that drains is paused while others receive. Its position is then known before it ends, and no
// acknowledged commit is on it alone: otherwise a primary that crashes in the moment in which a replica
// ends as planned could not be replaced.

// pauseRetryInterval is the time between two orders to pause the same draining replica.
const pauseRetryInterval = 500 * time.Millisecond

// progressInterval is the time between two recorded positions of the primary. It is above maxSampleAge, so
// that a fresh answer of a replica that receives shows the position that was recorded before the last.
const progressInterval = 1500 * time.Millisecond

// progress holds positions that the primary had one to two progressIntervals ago and later.
type progress struct {
	recordedAt    time.Duration
	last, earlier position.Position
}

// record is called regularly with the primary's newest position.
func (p *progress) record(now time.Duration, newest position.Position) {
	if now-p.recordedAt < progressInterval {
		return
	}
	p.earlier, p.last, p.recordedAt = p.last, newest, now
}

// pauseDraining returns the order to pause a replica that drains, unless it was given a moment ago.
func (m *Machine) pauseDraining(now time.Duration, s Server) []Action {
	if at, ok := m.pausedAt[s.ID]; ok && now-at < pauseRetryInterval {
		return nil
	}
	m.pausedAt[s.ID] = now
	return m.pause(now, s)
}

// othersSuffice reports whether enough replicas that do not drain follow the primary.
func (m *Machine) othersSuffice(now time.Duration, in Input) bool {
	if in.SyncReplicas == 0 || m.progress.earlier.IsZero() {
		return false
	}
	n := 0
	for _, s := range in.Servers {
		if s.ID == m.primary || s.Draining || !s.hasFreshSample(now) || s.Sample.PausedTerm != 0 {
			continue
		}
		if !s.Sample.Position.Before(m.progress.earlier) {
			n++
		}
	}
	return n >= in.SyncReplicas
}
