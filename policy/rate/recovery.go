package rate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// minProcessAge is the time after its first answer in which a process does not report
// when it was last granted tokens: an earlier process of the same name, to which the
// allocator granted until then, may still use some. It is the lifetime of a grant on a
// slow clock, measured by a fast one.
const minProcessAge = 2800 * time.Millisecond

// grantTracker tracks when an allocator last granted tokens to this process. It is safe
// for concurrent use.
type grantTracker struct {
	// firstAnswerAt is the time of the first answer, lastGrantAt that of the newest answer
	// that held tokens. Both are stored plus one; 0 means none.
	firstAnswerAt, lastGrantAt atomic.Int64
	// unanswered is set until an allocator has answered on the stream: the leader does
	// not forward the reports of a proxy that is not registered yet.
	unanswered atomic.Bool
}

func (t *grantTracker) recordAnswer(now time.Duration, g *controlpb.TokenGrant) {
	t.unanswered.Store(false)
	t.firstAnswerAt.CompareAndSwap(0, int64(now)+1)
	if int64(g.Tokens) > 0 {
		t.lastGrantAt.Store(int64(now) + 1)
	}
}

func (t *grantTracker) startStream() {
	t.unanswered.Store(true)
}

// reportEntry returns the entry without a team that belongs in the first reports of a
// stream.
func (t *grantTracker) reportEntry(now time.Duration) []*controlpb.TokenDemand {
	if !t.unanswered.Load() {
		return nil
	}
	entry := &controlpb.TokenDemand{}
	if t.firstAnswerAt.Load() != 0 {
		since := max(t.lastGrantAt.Load(), t.firstAnswerAt.Load()+int64(minProcessAge))
		sinceGrant := (int64(now) - since) / int64(time.Millisecond)
		entry.QuietMs = uint32(max(0, min(sinceGrant, math.MaxUint32)))
	}
	return []*controlpb.TokenDemand{entry}
}

// grantHistory collects what proxies report about the time before a new leader.
type grantHistory struct {
	// lastGrantAt is no earlier than the last moment at which any proxy that has
	// reported received tokens.
	lastGrantAt time.Duration
	// incomplete is set when a process may have used tokens that no report contains.
	incomplete bool
}

// addFirstReport applies the first report of a stream.
func (h *grantHistory) addFirstReport(now time.Duration, demands []*controlpb.TokenDemand, restarted bool) {
	for _, d := range demands {
		if d.Team == "" && d.QuietMs > 0 && !restarted {
			sinceGrant := time.Duration(d.QuietMs) * time.Millisecond
			h.lastGrantAt = max(h.lastGrantAt, now-time.Duration(float64(sinceGrant)/maxClockDrift))
			return
		}
	}
	h.incomplete = true
}

// timeSinceLastGrant returns how long certainly no proxy has been granted tokens, or 0
// when some proxy has not reported or does not know.
func (al *Allocator) timeSinceLastGrant() time.Duration {
	if len(al.unreported) > 0 || len(al.streams) == 0 || al.grantHistory.incomplete {
		return 0
	}
	return al.now - al.grantHistory.lastGrantAt
}

// refillSinceLastGrant returns the tokens that a bucket holds at least when a new
// allocator starts.
//
// When the last grant was made, the bucket held at least 0 beside the tokens held by
// proxies. Since then it was refilled at the rate, up to the burst less what is held
// and less what was used since: refill is lost while the bucket is full, so use after
// such a moment is missing from it.
func (t *team) refillSinceLastGrant(sinceLastGrant time.Duration) float64 {
	unavailable, hasHolder := int64(0), false
	for _, a := range t.accounts {
		if a.rate == 0 && a.usedBefore == 0 && a.granted == 0 {
			// This proxy was never granted tokens of the team.
			continue
		}
		if a.rate != t.rate || a.burst != t.burst {
			// The limits changed at an unknown time.
			return 0
		}
		hasHolder = true
		unavailable += a.granted + a.usedBefore
	}
	if !hasHolder {
		return 0
	}
	return max(0, min(t.rate*sinceLastGrant.Seconds(), t.burst-float64(unavailable)))
}
