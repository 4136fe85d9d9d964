package engine

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// windowDecrease is the factor by which a refusal shrinks the window, at most once in
	// windowDecreaseInterval; windowGrowthPerSecond is by how much it grows in a second.
	windowDecrease         = 0.6
	windowDecreaseInterval = 50 * time.Millisecond
	windowGrowthPerSecond  = 2.0
	// latencySampleWeight is the weight of a new sample of the latency.
	latencySampleWeight = 0.2
	// latencyRiseWeight is its weight when it is more than twice the latency.
	latencyRiseWeight = 0.4
	// defaultLatency is assumed of an upstream without samples.
	defaultLatency = 5 * time.Millisecond
	// latencyHalfLife halves the distance of an unused upstream's latency to the floor.
	latencyHalfLife = 500 * time.Millisecond
	// failureGracePeriod is the time since its last answer in which an upstream does not
	// count as failing.
	failureGracePeriod = 300 * time.Millisecond
	// behindBackoff is how long an upstream that lacked a position is passed over.
	behindBackoff = 60 * time.Millisecond
)

func (p *pool) setPosition(pos position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = pos
}

// recordBehind notes that the upstream lacked a position.
func (p *pool) recordBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindAt = clock.Now()
}

// recordAnswer notes an answer and its latency.
func (p *pool) recordAnswer(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.markAnswering(now)
	p.updateLatency(now, latency)
}

// updateLatency follows a rise quickly, so that attempts are not given up when an upstream
// becomes slow. The caller holds mu.
func (p *pool) updateLatency(now, latency time.Duration) {
	current := p.currentLatency(now)
	weight := latencySampleWeight
	if latency > 2*current {
		weight = latencyRiseWeight
	}
	p.latency = current + time.Duration(weight*float64(latency-current))
	p.latencyAt = now
}

// recordNoAnswer notes that no answer came within a time. The latency is at least that.
func (p *pool) recordNoAnswer(waited time.Duration) {
	p.mu.Lock()
	now := clock.Now()
	if waited > p.currentLatency(now) {
		p.updateLatency(now, waited)
	}
	p.mu.Unlock()
	p.recordFailure()
}

// answerTimeout is how long an answer of the upstream is worth waiting for.
func (p *pool) answerTimeout(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return latencyFactor * p.currentLatency(now)
}

// currentLatency returns the latency, forgotten as time passes. The caller holds mu.
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

// recordFailure notes that the upstream did not answer. One that answered others lately is
// overloaded, or loses answers, and stays in use.
func (p *pool) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answeredAt != 0 && clock.Now()-p.answeredAt < failureGracePeriod {
		return
	}
	p.markFailing()
}

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

// markAnswering ends a failure. The caller holds mu.
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

// failingFor returns for how long every attempt has failed, or 0.
func (p *pool) failingFor(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failing {
		return 0
	}
	return max(time.Millisecond, now-p.failingAt)
}

// answerAge is the time since the upstream last answered, if it ever has.
func (p *pool) answerAge(now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, now-p.answeredAt), p.answeredAt != 0
}

// candidate is what the choice of an upstream for a team depends on.
func (p *pool) candidate(now time.Duration, team string) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining, Failing: p.failing || p.closed,
		HasIdleConnection: p.idleIndex(team) >= 0,
		MustWait:          p.inUse >= p.currentWindow(now),
		InFlight:          p.inUse + len(p.waiters), Latency: p.currentLatency(now),
		Position: p.position, RecentlyBehind: p.behindAt != 0 && now-p.behindAt < behindBackoff,
	}
}

// currentWindow is how many connections may be lent. The caller holds mu.
func (p *pool) currentWindow(now time.Duration) int {
	grown := p.window + windowGrowthPerSecond*(now-p.busyAt).Seconds()
	return max(1, min(p.share.currentMaxOpen(now), int(grown)))
}

// recordBusy notes that the upstream refused work because it has too much.
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
