package throttle

import "time"

// bucket is a token bucket that may hold a debt.
type bucket struct {
	rate, burst float64
	// level is the number of tokens, below zero for a debt.
	level      float64
	refilledAt time.Duration
	// withheld is the part of the rate that is expected to be used without a report.
	withheld float64
}

func newBucket(now time.Duration, rate, burst, level float64) bucket {
	return bucket{rate: rate, burst: burst, level: level, refilledAt: now}
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.level = min(b.burst, b.level+(b.rate-b.withheld)*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// setLimits changes rate and burst. Tokens above the new burst are lost.
func (b *bucket) setLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// charge takes tokens, which may be negative to return some. The debt is limited to what is
// refilled in maxDebt.
func (b *bucket) charge(tokens float64, maxDebt time.Duration) {
	b.level = min(b.burst, max(b.level-tokens, -b.rate*maxDebt.Seconds()))
}
