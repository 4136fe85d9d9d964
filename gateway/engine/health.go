package engine

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// windowCut is the factor by which a refusal shrinks the window, at most once in
	// windowPause; windowGrowth is by how much it grows in a second.
	windowCut    = 0.6
	windowPause  = 50 * time.Millisecond
	windowGrowth = 2.0
	// latencyWeight is the weight of a new sample of the latency.
	latencyWeight = 0.2
	// latencyRise is its weight when it is more than twice the latency.
	latencyRise = 0.4
	// latencyFloor is assumed of an upstream without samples.
	latencyFloor = 5 * time.Millisecond
	// latencyMemory halves the distance of an unused upstream's latency to the floor.
	latencyMemory = 500 * time.Millisecond
	// answeredLately is the time since its last answer in which an upstream does not
	// count as failing.
	answeredLately = 300 * time.Millisecond
	// behindMemory is how long an upstream that lacked a position is passed over.
	behindMemory = 60 * time.Millisecond
)

func (p *pool) sawPosition(pos position.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = pos
}

// wasBehind notes that the upstream lacked a position.
func (p *pool) wasBehind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behindAt = clock.Now()
}

// answered notes an answer and its latency.
func (p *pool) answered(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.markAnswering(now)
	p.noteLatency(now, latency)
}

// noteLatency follows a rise quickly, so that attempts are not given up when an upstream
// becomes slow. The caller holds mu.
func (p *pool) noteLatency(now, latency time.Duration) {
	current := p.latencyNow(now)
	weight := latencyWeight
	if latency > 2*current {
		weight = latencyRise
	}
	p.latency = current + time.Duration(weight*float64(latency-current))
	p.latencyAt = now
}

// unanswered notes that no answer came within a time. The latency is at least that.
func (p *pool) unanswered(waited time.Duration) {
	p.mu.Lock()
	now := clock.Now()
	if waited > p.latencyNow(now) {
		p.noteLatency(now, waited)
	}
	p.mu.Unlock()
	p.failed()
}

// patience is how long an answer of the upstream is worth waiting for.
func (p *pool) patience(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return latencyFactor * p.latencyNow(now)
}

// latencyNow returns the latency, forgotten as time passes. The caller holds mu.
func (p *pool) latencyNow(now time.Duration) time.Duration {
	if p.latencyAt == 0 {
		return latencyFloor
	}
	kept := math.Exp2(-float64(now-p.latencyAt) / float64(latencyMemory))
	return latencyFloor + time.Duration(kept*float64(p.latency-latencyFloor))
}

func (p *pool) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markAnswering(clock.Now())
}

// failed notes that the upstream did not answer. One that answered others lately is
// overloaded, or loses answers, and stays in use.
func (p *pool) failed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answeredAt != 0 && clock.Now()-p.answeredAt < answeredLately {
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

// status is what the choice of an upstream for a team depends on.
func (p *pool) status(now time.Duration, team string) Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining, Failing: p.failing || p.closed,
		HasIdleConnection: p.idleOf(team) >= 0,
		MustWait:          p.lent >= p.windowNow(now),
		InFlight:          p.lent + len(p.waiters), Latency: p.latencyNow(now),
		Position: p.position, RecentlyBehind: p.behindAt != 0 && now-p.behindAt < behindMemory,
	}
}

// windowNow is how many connections may be lent. The caller holds mu.
func (p *pool) windowNow(now time.Duration) int {
	grown := p.window + windowGrowth*(now-p.busyAt).Seconds()
	return max(1, min(p.share.limitNow(now), int(grown)))
}

// sawBusy notes that the upstream refused work because it has too much.
func (p *pool) sawBusy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if p.busyAt != 0 && now-p.busyAt < windowPause {
		return
	}
	p.window = max(1, windowCut*float64(p.windowNow(now)))
	p.busyAt = now
}
