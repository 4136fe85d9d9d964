package engine

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// A busy upstream multiplies the window by windowDecrease, at most once in
	// windowDecreaseInterval.
	windowDecrease         = 0.6
	windowDecreaseInterval = 50 * time.Millisecond
	// windowGrowthPerSecond is how many connections the window gains in a second.
	windowGrowthPerSecond = 2.0
	// latencySampleWeight is the weight of a new sample in the moving average of the latency.
	latencySampleWeight = 0.2
	// latencyRiseWeight is the weight of a sample that is more than twice the average.
	latencyRiseWeight = 0.4
	// defaultLatency is the assumed latency of an upstream without samples.
	defaultLatency = 5 * time.Millisecond
	// The latency of an unused upstream decays to defaultLatency with latencyHalfLife.
	latencyHalfLife = 500 * time.Millisecond
	// failureGracePeriod is the time since its last answer during which an upstream does not
	// count as failing.
	failureGracePeriod = 300 * time.Millisecond
	// behindBackoff is how long reads avoid an upstream that had not reached a minimum
	// position.
	behindBackoff = 60 * time.Millisecond
)

func (p *pool) setPosition(pos position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = pos
}

// recordBehind records that the upstream had not reached a minimum position.
func (p *pool) recordBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindAt = clock.Now()
}

// recordAnswer records that the upstream answered, and its latency.
func (p *pool) recordAnswer(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.markAnswering(now)
	p.updateLatency(now, latency)
}

// updateLatency adds a sample to the moving average. A rise has more weight, so that attempts
// are not abandoned too early when an upstream becomes slow. The caller holds mu.
func (p *pool) updateLatency(now, latency time.Duration) {
	current := p.currentLatency(now)
	weight := latencySampleWeight
	if latency > 2*current {
		weight = latencyRiseWeight
	}
	p.latency = current + time.Duration(weight*float64(latency-current))
	p.latencyAt = now
}

// recordNoAnswer records that no answer came within the time waited, which is a lower bound
// of the latency.
func (p *pool) recordNoAnswer(waited time.Duration) {
	p.mu.Lock()
	now := clock.Now()
	if waited > p.currentLatency(now) {
		p.updateLatency(now, waited)
	}
	p.mu.Unlock()
	p.recordFailure()
}

// answerTimeout returns how long it is worthwhile to wait for an answer of the upstream.
func (p *pool) answerTimeout(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return latencyFactor * p.currentLatency(now)
}

// currentLatency returns the average latency, decayed by the time since the last sample. The
// caller holds mu.
func (p *pool) currentLatency(now time.Duration) time.Duration {
	if p.latencyAt == 0 {
		return defaultLatency
	}
	kept := math.Exp2(-float64(now-p.latencyAt) / float64(latencyHalfLife))
	return defaultLatency + time.Duration(kept*float64(p.latency-defaultLatency))
}

func (p *pool) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markAnswering(clock.Now())
}

// recordFailure records that the upstream did not answer. An upstream that answered another
// statement within failureGracePeriod is overloaded or loses answers, and stays in use.
func (p *pool) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answeredAt != 0 && clock.Now()-p.answeredAt < failureGracePeriod {
		return
	}
	p.markFailing()
}

// markFailing starts a failure. The caller holds mu.
func (p *pool) markFailing() {
	if p.failing {
		return
	}
	p.failing, p.failingAt = true, clock.Now()
	p.log.WithFields(logrus.Fields{
		"event": "upstream_lost", "upstream": p.target.ID, "service": p.target.Service,
		"answered_ms_ago": (p.failingAt - p.answeredAt).Milliseconds(),
	}).Warn("upstream does not answer")
}

// markAnswering records an answer and ends a failure. The caller holds mu.
func (p *pool) markAnswering(now time.Duration) {
	p.answeredAt = now
	if !p.failing {
		return
	}
	p.failing = false
	p.log.WithFields(logrus.Fields{
		"event": "upstream_regained", "upstream": p.target.ID, "service": p.target.Service,
		"failed_ms": (now - p.failingAt).Milliseconds(),
	}).Info("upstream answers again")
}

// failingFor returns how long the upstream has been failing, or 0 if it is not.
func (p *pool) failingFor(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return 0
	}
	return max(time.Millisecond, now-p.failingAt)
}

// answerAge returns the time since the last answer. The second result is false if there was
// none.
func (p *pool) answerAge(now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, now-p.answeredAt), p.answeredAt != 0
}

// candidate returns the state of the upstream that chooseCandidate compares, for a read of a
// team.
func (p *pool) candidate(now time.Duration, team string) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwards() && !p.isHolder() {
		return p.heldCandidate(now)
	}
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining, Failing: p.failing || p.closed,
		HasIdleConnection: p.idleIndex(team) >= 0,
		MustWait:          p.inUse >= p.currentWindow(now),
		InFlight:          p.inUse + len(p.waiters), Latency: p.currentLatency(now),
		Position: p.position, RecentlyBehind: p.behindAt != 0 && now-p.behindAt < behindBackoff,
	}
}

// currentWindow returns how many connections may be in use. The caller holds mu.
func (p *pool) currentWindow(now time.Duration) int {
	grown := p.window + windowGrowthPerSecond*(now-p.busyAt).Seconds()
	limit := p.share.currentMaxOpen(now)
	if p.share.maxInUse > 0 {
		limit = min(limit, p.share.maxInUse)
	}
	return max(1, min(limit, int(grown)))
}

// recordBusy shrinks the window after the upstream refused work because of overload.
func (p *pool) recordBusy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if p.busyAt != 0 && now-p.busyAt < windowDecreaseInterval {
		return
	}
	p.window = max(1, windowDecrease*float64(p.currentWindow(now)))
	p.busyAt = now
}
