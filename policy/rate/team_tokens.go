package rate

import (
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// usageInterval is the length of the interval of one usage count.
	usageInterval = 50 * time.Millisecond
	// demandIntervals cover the last 250 ms and the current interval.
	demandIntervals = 6
	// recentIntervals cover the last 50 ms and the current interval. A proxy keeps that
	// much when the bucket is empty and others may need its tokens.
	recentIntervals = 2
)

// teamTokens holds a proxy's tokens of one team. Its methods need mu.
type teamTokens struct {
	mu sync.Mutex
	// reserveFactor is Config.ReserveFactor; renewBefore is the remaining lifetime at
	// which unused tokens are returned.
	reserveFactor int64
	renewBefore   time.Duration
	// spareTokenPeriod is Config.SpareTokenPeriod.
	spareTokenPeriod time.Duration
	// grants are consumed in the order in which they were made.
	grants []heldGrant
	held   int64
	// used, returned and heldAtStart are totals of the stream.
	used, returned, heldAtStart int64
	// reportedUsed and reportedReturned are the totals of the newest report.
	reportedUsed, reportedReturned int64
	reportedWanted                 int64
	waiting                        int64
	// reported is set by the first report of a stream, answered by its first grant.
	reported, answered bool
	// foundNoToken is set when a request found no token since the last report.
	foundNoToken bool
	exhausted    bool
	exhaustedAt  time.Duration
	// usedSinceGrant counts the use since the newest grant that held tokens, over all
	// streams; rate and burst were the team's limits in that grant.
	usedSinceGrant int64
	rate, burst    float64
	// heldAfterGrant is the number of tokens held after the newest grant.
	heldAfterGrant int64
	usage          [demandIntervals]int64
	usageIndex     int64
	lastUsedAt     time.Duration
}

type heldGrant struct {
	tokens    int64
	expiresAt time.Duration
}

func newTeamTokens(cfg Config) *teamTokens {
	return &teamTokens{
		lastUsedAt: -cfg.SpareTokenPeriod, reserveFactor: cfg.ReserveFactor, renewBefore: cfg.Lifetime / 2,
		spareTokenPeriod: cfg.SpareTokenPeriod,
	}
}

func (t *teamTokens) take(now time.Duration) bool {
	t.expire(now)
	if t.held == 0 {
		t.foundNoToken = true
		return false
	}
	t.consume(1)
	t.used++
	t.usedSinceGrant++
	t.recordUse(now)
	return true
}

func (t *teamTokens) recordUse(now time.Duration) {
	t.advanceUsage(now)
	t.usage[t.usageIndex%demandIntervals]++
	t.lastUsedAt = now
}

// consume takes tokens from the oldest grants.
func (t *teamTokens) consume(tokens int64) {
	t.held -= tokens
	for tokens > 0 {
		taken := min(tokens, t.grants[0].tokens)
		t.grants[0].tokens -= taken
		tokens -= taken
		if t.grants[0].tokens == 0 {
			// Copying reuses the array, so that grants do not allocate continually.
			t.grants = append(t.grants[:0], t.grants[1:]...)
		}
	}
}

// expire returns tokens whose lifetime has ended to the allocator.
func (t *teamTokens) expire(now time.Duration) {
	for len(t.grants) > 0 && t.grants[0].expiresAt <= now {
		tokens := t.grants[0].tokens
		t.consume(tokens)
		t.returned += tokens
	}
}

// advanceUsage clears the counts of intervals that have passed.
func (t *teamTokens) advanceUsage(now time.Duration) {
	index := int64(now / usageInterval)
	if index-t.usageIndex >= demandIntervals {
		t.usage = [demandIntervals]int64{}
		t.usageIndex = index
	}
	for t.usageIndex < index {
		t.usageIndex++
		t.usage[t.usageIndex%demandIntervals] = 0
	}
}

// recentUse sums the counts of the newest intervals.
func (t *teamTokens) recentUse(now time.Duration, intervals int64) int64 {
	t.advanceUsage(now)
	sum := int64(0)
	for i := range intervals {
		sum += t.usage[(t.usageIndex+demandIntervals-i)%demandIntervals]
	}
	return sum
}

// reportUrgent reports whether too few tokens are left. While the bucket is empty,
// refill is lost until use is reported, so a report is urgent once a quarter of the
// tokens is used; otherwise once only a quarter is left.
func (t *teamTokens) reportUrgent() bool {
	if t.foundNoToken {
		return true
	}
	unreported := t.used - t.reportedUsed
	if unreported == 0 {
		return false
	}
	if t.exhausted {
		return 4*unreported >= t.heldAfterGrant
	}
	return 4*t.held < t.heldAfterGrant
}

func (t *teamTokens) reportInterval(now time.Duration) time.Duration {
	if t.isExhausted(now) {
		return exhaustedReportInterval
	}
	return minReportInterval
}

func (t *teamTokens) isExhausted(now time.Duration) bool {
	return t.exhausted && now-t.exhaustedAt < exhaustedTTL
}

// wanted returns the number of tokens that the proxy asks for.
func (t *teamTokens) wanted(now time.Duration) int64 {
	wanted := t.recentUse(now, demandIntervals) + t.waiting
	if t.foundNoToken {
		wanted = max(wanted, 1)
	}
	if !t.isExhausted(now) && now-t.lastUsedAt < t.spareTokenPeriod {
		wanted++
	}
	return wanted
}

// retainTarget returns how many of its tokens the proxy keeps.
func (t *teamTokens) retainTarget(now time.Duration) int64 {
	if t.isExhausted(now) {
		return t.recentUse(now, recentIntervals) + t.waiting
	}
	return (t.reserveFactor+1)*t.wanted(now) + 1
}

// returnExcess returns the tokens that the proxy does not need. The allocator must have
// answered on this stream, because tokens returned without an allocator are lost.
func (t *teamTokens) returnExcess(now time.Duration) {
	if !t.isExhausted(now) {
		// Old tokens are exchanged for new ones, which last through an election.
		t.expire(now + t.renewBefore)
	}
	if excess := t.held - t.retainTarget(now); excess > 0 {
		t.consume(excess)
		t.returned += excess
	}
}

// buildReport returns nil when nothing has changed since the last report.
func (t *teamTokens) buildReport(now time.Duration) *controlpb.TokenDemand {
	t.expire(now)
	if t.answered {
		t.returnExcess(now)
	}
	wanted, waiting := t.wanted(now), t.waiting
	if t.foundNoToken {
		waiting = max(waiting, 1)
	}
	t.foundNoToken = false
	first := !t.reported && t.usedSinceGrant > 0
	t.reported = true
	changed := first || t.used != t.reportedUsed || t.returned != t.reportedReturned || wanted != t.reportedWanted
	if !changed && waiting == 0 && t.answered {
		return nil
	}
	if !changed && t.held == 0 && wanted == 0 {
		return nil
	}
	t.reportedUsed, t.reportedReturned, t.reportedWanted = t.used, t.returned, wanted
	d := &controlpb.TokenDemand{
		UsedTotal: uint64(t.used), ReturnedTotal: uint64(t.returned), Wanted: uint64(wanted), Waiting: uint64(waiting),
	}
	if !t.answered {
		d.HeldAtStart, d.UsedSinceGrant = uint64(t.heldAtStart), uint64(t.usedSinceGrant)
		d.Rate, d.Burst = t.rate, t.burst
	}
	return d
}

func (t *teamTokens) applyGrant(now, expiresAt time.Duration, g *controlpb.TokenGrant) {
	t.exhausted, t.exhaustedAt = g.Exhausted, now
	t.answered = true
	if tokens := int64(g.Tokens); tokens > 0 {
		t.grants = append(t.grants, heldGrant{tokens: tokens, expiresAt: expiresAt})
		t.held += tokens
		t.usedSinceGrant, t.rate, t.burst = 0, g.Rate, g.Burst
	}
	t.expire(now)
	t.heldAfterGrant = t.held
}

func (t *teamTokens) startStream(now time.Duration) {
	t.expire(now)
	t.used, t.returned, t.heldAtStart = 0, 0, t.held
	t.reportedUsed, t.reportedReturned, t.reportedWanted = 0, 0, 0
	t.exhausted = false
	t.reported, t.answered = false, false
	t.heldAfterGrant = t.held
}
