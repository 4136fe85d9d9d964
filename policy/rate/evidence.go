package rate

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// youngProcess is the time after its first answer in which a process does not state
// when it was granted tokens: an earlier process of its name, to which the owner has
// granted until then, may still use some. It is the lifetime of a grant, measured on
// a slow clock, by a fast one.
const youngProcess = 2800 * time.Millisecond

// quietTime is when a process was answered by an owner. It is safe for concurrent
// use.
type quietTime struct {
	// first is the time of the first answer, newest of the newest that held tokens.
	// They are times plus one, 0 for none.
	first, newest atomic.Int64
	// due is set until an owner has answered on the stream: the leader does not hand
	// on the reports of a proxy that is not registered yet.
	due atomic.Bool
}

func (q *quietTime) answered(now time.Duration, g *controlpb.TokenGrant) {
	q.due.Store(false)
	q.first.CompareAndSwap(0, int64(now)+1)
	if int64(g.Tokens) > 0 {
		q.newest.Store(int64(now) + 1)
	}
}

func (q *quietTime) startStream() {
	q.due.Store(true)
}

// entry returns the entry without a team for the first reports of a stream.
func (q *quietTime) entry(now time.Duration) []*controlpb.TokenDemand {
	if !q.due.Load() {
		return nil
	}
	entry := &controlpb.TokenDemand{}
	if q.first.Load() != 0 {
		since := max(q.newest.Load(), q.first.Load()+int64(youngProcess))
		quiet := (int64(now) - since) / int64(time.Millisecond)
		entry.QuietMs = uint32(max(0, min(quiet, math.MaxUint32)))
	}
	return []*controlpb.TokenDemand{entry}
}

// evidence collects what proxies state about the time before a new leader.
type evidence struct {
	// grantedAt is no earlier than the last moment at which any proxy that has
	// reported took over tokens.
	grantedAt time.Duration
	// incomplete is set when some process may have used tokens that no report states.
	incomplete bool
}

// add takes over the first report of a stream.
func (e *evidence) add(now time.Duration, demands []*controlpb.TokenDemand, restarted bool) {
	for _, d := range demands {
		if d.Team == "" && d.QuietMs > 0 && !restarted {
			quiet := time.Duration(d.QuietMs) * time.Millisecond
			e.grantedAt = max(e.grantedAt, now-time.Duration(float64(quiet)/driftBound))
			return
		}
	}
	e.incomplete = true
}

// quietTime is how long certainly no proxy has been granted tokens; 0 when some
// proxy has not reported or cannot tell.
func (o *Allocator) quietTime() time.Duration {
	if len(o.unreported) > 0 || len(o.streams) == 0 || o.evidence.incomplete {
		return 0
	}
	return o.now - o.evidence.grantedAt
}

// refilledWithoutOwner is what a bucket holds at least when a new owner begins.
//
// When the last grant was taken over, the bucket held at least 0 beside the tokens
// held by proxies. Since then it was refilled at the rate, up to the burst less what
// is held, and less what was used since, because use after a moment at which it was
// full is missing from it.
func (t *team) refilledWithoutOwner(quiet time.Duration) float64 {
	gone, confirmed := int64(0), false
	for _, a := range t.accounts {
		if a.rate == 0 && a.usedBefore == 0 && a.granted == 0 {
			// This proxy was never granted tokens of the team.
			continue
		}
		if a.rate != t.rate || a.burst != t.burst {
			// The limits have changed at an unknown moment.
			return 0
		}
		confirmed = true
		gone += a.granted + a.usedBefore
	}
	if !confirmed {
		return 0
	}
	return max(0, min(t.rate*quiet.Seconds(), t.burst-float64(gone)))
}
