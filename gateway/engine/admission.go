package engine

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/admission"
)

const (
	// connectionWaitFraction is the fraction of what is left of the latency objective that a
	// request may wait for a connection, but at least minConnectionWait.
	connectionWaitFraction = 0.5
	minConnectionWait      = 60 * time.Millisecond
	// maxPriorityLabel bounds the values of the priority label of metrics.
	maxPriorityLabel = 7
	// wakeSpread is the longest time by which the end of a pause is deferred, so that the
	// requests of many nodes do not arrive together.
	wakeSpread = 5 * time.Millisecond
)

// connRequest is a request for a connection to an upstream.
type connRequest struct {
	team     string
	priority uint32
	// objectiveEnd is when the latency objective of the request ends.
	objectiveEnd time.Duration
	// deadline is when the request ends without a connection in any case.
	deadline time.Time
	// repeat is set for a further attempt for the same statement.
	repeat bool
	// maxWait bounds the wait besides, because the request can be served by another upstream; 0 means that it does not.
	maxWait time.Duration
}

// connRequest returns the request for a connection of the operation's next attempt.
func (op *operation) connRequest(deadline time.Time) connRequest {
	return connRequest{
		team: op.team, priority: op.route.Priority, objectiveEnd: op.objectiveEnd, deadline: deadline, repeat: op.repeated,
		maxWait: op.maxWait,
	}
}

// handover gives a waiter a connection, or the right to dial one if conn is nil, unless it is
// refused.
type handover struct {
	conn    *upstreamConn
	refusal *Refusal
	closed  bool
}

// connWaiter is a caller that waits in the queue of a pool.
type connWaiter = admission.Waiter[chan handover]

// acquire returns a connection to the upstream, waiting for as long as the latency objective
// allows. It refuses at once if the expected wait is longer.
func (p *pool) acquire(ctx context.Context, r connRequest) (*upstreamConn, *Refusal) {
	for {
		if ctx.Err() != nil {
			return nil, stoppedWaiting()
		}
		h, w := p.acquireOrEnqueue(r)
		if w != nil {
			h = p.await(ctx, w, r.deadline)
		}
		switch {
		case h.refusal != nil:
			return nil, h.refusal
		case h.closed:
			return nil, &Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone}
		case h.conn == nil:
			return p.dial(ctx, r.team, r.priority, r.deadline)
		case h.conn.conn.Usable():
			h.conn.priority = r.priority
			return h.conn, nil
		}
		h.conn.broken = true
		p.release(h.conn)
	}
}

// acquireOrEnqueue acquires a connection or the right to dial one, or else returns a new
// waiter.
func (p *pool) acquireOrEnqueue(r connRequest) (handover, *connWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.lastTeam = r.team
	if p.closed {
		return handover{closed: true}, nil
	}
	p.waiters.RecordArrival(now, r.priority)
	// Waiters that may not be served now, as during a pause that concerns only them, do not hold up others.
	if now >= p.shed.Until(r.priority) && p.nextWaiter(now) == nil {
		if h, ok := p.tryAcquire(now, r.team); ok {
			return h, nil
		}
	}
	w, refusal, displaced := p.waiters.Push(now, admissionRequest(now, r), make(chan handover, 1), p.capacity(now))
	if w == nil {
		return handover{refusal: p.queueRefusal(now, r, refusal)}, nil
	}
	metricPoolWaits.Inc()
	for _, d := range displaced {
		countAdmissionRefusal(d.Priority, d.Refusal.Reason)
		d.Value <- handover{refusal: &Refusal{
			Code: rescode.QueueFull, Reason: reasonDisplaced, RetryAfter: max(shortRetryAfter, d.Refusal.RetryAfter),
		}}
	}
	p.serveWaiters()
	return handover{}, w
}

// maxConnectionWait returns how long a request may wait before it is sent to an upstream. After a longer wait it could
// not meet its latency objective.
func maxConnectionWait(now, objectiveEnd time.Duration) time.Duration {
	return max(minConnectionWait, time.Duration(connectionWaitFraction*float64(objectiveEnd-now)))
}

// admissionRequest returns how long and with which urgency a request may wait.
func admissionRequest(now time.Duration, r connRequest) admission.Request {
	wait := maxConnectionWait(now, r.objectiveEnd)
	if r.maxWait > 0 {
		wait = min(wait, r.maxWait)
	}
	return admission.Request{
		Team: r.team, Priority: r.priority, Arrived: now, ObjectiveEnd: r.objectiveEnd, WaitUntil: now + wait, Repeat: r.repeat,
		Movable: r.maxWait > 0,
	}
}

// queueRefusal returns the refusal of a request that may not wait. The caller holds mu.
func (p *pool) queueRefusal(now time.Duration, r connRequest, refusal admission.Refusal) *Refusal {
	countAdmissionRefusal(r.priority, refusal.Reason)
	out := &Refusal{Code: rescode.QueueFull, Reason: reasonPoolFull, RetryAfter: max(shortRetryAfter, refusal.RetryAfter)}
	switch {
	case now < p.shed.Until(r.priority):
		out.Reason = reasonUpstreamPaused
	case p.dialPause(now) > 0:
		out.Code, out.Reason = rescode.TooManyConnections, reasonUpstreamFull
	}
	return out
}

// capacity returns what the upstream can take from this node. The caller holds mu.
func (p *pool) capacity(now time.Duration) admission.Capacity {
	dialPause := time.Duration(0)
	if p.inUse == 0 && len(p.idle) == 0 {
		dialPause = p.full.Until()
	}
	slots, holdTime := p.currentWindow(now), p.currentHoldTime(now)
	if limit := p.share.maxRunning; limit > 0 && limit < slots {
		slots, holdTime = limit, p.currentLatency(now)
	}
	return admission.Capacity{
		Slots: slots, HoldTime: holdTime, InUse: p.inUseByTeam,
		BlockedUntil: func(priority uint32) time.Duration { return max(dialPause, p.shed.Until(priority)) },
	}
}

// remainingPause returns how long nothing of a priority is offered to the upstream. The caller
// holds mu.
func (p *pool) remainingPause(now time.Duration, priority uint32) time.Duration {
	return max(0, p.shed.Until(priority)-now, p.dialPause(now))
}

// dialPause returns for how long there is no connection because the upstream had none left. An
// idle one may be used, or replaced by one for another team. The caller holds mu.
func (p *pool) dialPause(now time.Duration) time.Duration {
	if len(p.idle) > 0 {
		return 0
	}
	return max(0, p.full.Until()-now)
}

// retryAfter returns after which time a caller may come back that the upstream has refused. The
// caller holds mu.
func (p *pool) retryAfter(now time.Duration, priority uint32) time.Duration {
	wait := p.waiters.ExpectedWait(now, priority, p.capacity(now))
	return max(shortRetryAfter, wait, p.full.Until()-now)
}

// await waits until w is served or refused, but no longer than it may wait, until deadline or
// the end of ctx.
func (p *pool) await(ctx context.Context, w *connWaiter, deadline time.Time) handover {
	limit := min(w.WaitUntil-clock.Now(), time.Until(deadline))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	stopped := false
	select {
	case h := <-w.Value:
		return h
	case <-timer.C:
	case <-ctx.Done():
		stopped = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiters.Remove(w) {
		return <-w.Value
	}
	if stopped {
		return handover{refusal: stoppedWaiting()}
	}
	countAdmissionRefusal(w.Priority, admissionTimeout)
	return handover{refusal: &Refusal{
		Code: rescode.QueueTimeout, Reason: reasonPoolTimeout, RetryAfter: p.retryAfter(clock.Now(), w.Priority),
	}}
}

// serveWaiters hands available connections to waiters. The caller holds mu.
func (p *pool) serveWaiters() {
	now := clock.Now()
	for p.waiters.Len() > 0 {
		w := p.nextWaiter(now)
		if w == nil {
			break
		}
		h, ok := p.tryAcquire(now, w.Team)
		if !ok {
			break
		}
		p.waiters.Served(w)
		w.Value <- h
	}
	p.scheduleWake(now)
}

// nextWaiter returns the waiter to serve next, or nil. The caller holds mu.
func (p *pool) nextWaiter(now time.Duration) *connWaiter {
	return p.waiters.Next(now, p.capacity(now), func(team string) bool { return p.idleIndex(team) >= 0 })
}

// scheduleWake makes waiters be served at the end of the next pause. The caller holds mu.
func (p *pool) scheduleWake(now time.Duration) {
	if p.waiters.Len() == 0 {
		return
	}
	next := p.nextPauseEnd(now)
	if next == 0 || (p.wakeAt > now && p.wakeAt <= next) {
		return
	}
	p.wakeAt = next
	time.AfterFunc(next-now+rand.N(wakeSpread), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.wakeAt == next {
			p.wakeAt = 0
		}
		p.serveWaiters()
	})
}

// nextPauseEnd returns the end of the pause that ends first, or 0 if there is none. The caller
// holds mu.
func (p *pool) nextPauseEnd(now time.Duration) time.Duration {
	next := p.shed.NextEnd(now)
	if full := p.full.Until(); full > now && (next == 0 || full < next) {
		next = full
	}
	return next
}

// admissionTimeout counts requests whose expected wait was shorter than the real one.
const admissionTimeout admission.Reason = "wait_timeout"

// countAdmissionRefusal counts a request that got no connection, by priority and reason.
func countAdmissionRefusal(priority uint32, reason admission.Reason) {
	label := strconv.FormatUint(uint64(min(priority, maxPriorityLabel)), 10)
	metrics.GetOrCreateCounter(
		`jayloom_gateway_admission_refusals_total{priority="` + label + `",reason="` + string(reason) + `"}`).Inc()
}
