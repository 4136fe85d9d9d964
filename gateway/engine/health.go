package engine

import (
	"math"
	"math/rand/v2"
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
	// position. It doubles with each further refusal, up to maxBehindBackoff: a replica that lags
	// by seconds would else refuse most reads once before they run elsewhere.
	behindBackoff    = 60 * time.Millisecond
	maxBehindBackoff = 960 * time.Millisecond
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
	now := clock.Now()
	if now < p.behindUntil {
		// Sent before the refusal that began the pause was known.
		return
	}
	p.behindPause = min(maxBehindBackoff, max(behindBackoff, 2*p.behindPause))
	p.behindUntil = now + p.behindPause
}

// recordCaughtUp records that the upstream had reached the minimum position of a read.
func (p *pool) recordCaughtUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindPause = 0
}

// recordFailedStatement records that the upstream answered and did not run a statement. Its latency is not that of a
// statement that runs: an upstream that fails at once would look like the fastest one.
func (p *pool) recordFailedStatement() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.markAnswering(now)
	p.outcomes.Record(now, false)
}

// recordAnswer records that the upstream answered, and its latency.
func (p *pool) recordAnswer(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.markAnswering(now)
	p.outcomes.Record(now, true)
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

// recordDial records that the upstream accepted a connection.
func (p *pool) recordDial() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full.Accepted()
	p.markAnswering(clock.Now())
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
// team with a priority.
func (p *pool) candidate(now time.Duration, team string, priority uint32) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwards() && !p.isHolder() {
		return p.heldCandidate(now)
	}
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining || p.placeDrained, Failing: p.failing || p.closed,
		NeedsPermit:       p.mayBeCold(now),
		Success:           p.outcomes.Rate(now),
		HasIdleConnection: p.idleIndex(team) >= 0,
		MustWait:          p.inUse >= p.currentWindow(now),
		Pause:             p.remainingPause(now, priority),
		InFlight:          p.inUse + p.waiters.Len(), Latency: p.currentLatency(now),
		Position: p.position, RecentlyBehind: now < p.behindUntil,
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

// recordBusy shrinks the window and pauses the use of the upstream after it refused a request
// of a priority because of overload.
func (p *pool) recordBusy(priority uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shedWork(priority)
}

// shedWork is recordBusy for a caller that holds mu.
func (p *pool) shedWork(priority uint32) {
	now := clock.Now()
	p.shed.Shed(now, priority, rand.Float64())
	if p.busyAt != 0 && now-p.busyAt < windowDecreaseInterval {
		return
	}
	p.window = max(1, windowDecrease*float64(p.currentWindow(now)))
	p.busyAt = now
}

// recordAccepted records that the upstream ran a request.
func (p *pool) recordAccepted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shed.Accepted()
}

// recordHold adds the time for which a connection was in use to the moving average. The caller
// holds mu.
func (p *pool) recordHold(now, held time.Duration) {
	current := p.currentHoldTime(now)
	p.holdTime = current + time.Duration(latencySampleWeight*float64(held-current))
	p.heldAt = now
}

// currentHoldTime returns how long a connection is expected to be in use: at least for one
// statement, and for as long as transactions hold it. The caller holds mu.
func (p *pool) currentHoldTime(now time.Duration) time.Duration {
	latency := p.currentLatency(now)
	if p.heldAt == 0 || p.holdTime < latency {
		return latency
	}
	kept := math.Exp2(-float64(now-p.heldAt) / float64(latencyHalfLife))
	return latency + time.Duration(kept*float64(p.holdTime-latency))
}
