package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// maxAttempts bounds the upstreams that are tried for one statement.
	maxAttempts = 5
	// primaryWait bounds the wait for a primary while it is replaced. A longer one would
	// use up the caller's time for another attempt.
	primaryWait = 150 * time.Millisecond
	// maxBusyAttempts bounds the attempts after an upstream was busy.
	maxBusyAttempts = 2
	// busyBackoff is the time before a busy upstream is asked again.
	busyBackoff = 15 * time.Millisecond
	// attemptFraction is the part of the latency objective after which a read that has no
	// answer is run elsewhere.
	attemptFraction = 0.6
	// connectionWaitFraction is the part of the latency objective that is waited for a connection.
	connectionWaitFraction = 0.5
	minConnectionWait      = 60 * time.Millisecond
	// minAttemptTime is the least time for one attempt, and latencyFactor how many times
	// the upstream's latency it lasts at least.
	minAttemptTime = 400 * time.Millisecond
	latencyFactor  = 5
)

// attemptResult is what follows from one attempt.
type attemptResult struct {
	answer Answer
	// retryReason is set when the statement has not run, or may run again.
	retryReason retryReason
	retryable   bool
}

// upstream is where the attempt was made, if anywhere.
func (v attemptResult) upstream() string {
	if v.answer.Refusal == nil {
		return ""
	}
	return v.answer.Refusal.Upstream
}

// shouldRetry reports whether another attempt helps the caller. One that was refused for
// want of room is made once more at most: many would keep the upstream full.
func (v attemptResult) shouldRetry(n int) bool {
	switch v.retryReason {
	case retryBusy:
		return n <= maxBusyAttempts
	case retryQueue:
		return n <= 1
	default:
		return true
	}
}

func finalResult(a Answer) attemptResult { return attemptResult{answer: a} }

// retryResult keeps the refusal for the case that no attempt is left.
func retryResult(reason retryReason, r Refusal) attemptResult {
	return attemptResult{retryReason: reason, retryable: true, answer: Answer{Refusal: &r}}
}

// write runs a single write on the primary.
func (s *Session) write(ctx context.Context, op *operation, st Statement) Answer {
	return s.runWithRetries(op, st, func(int) attemptResult {
		p, refusal := s.engine.primary(op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		return s.withConn(ctx, op, p, op.deadline, func(l *upstreamConn) attemptResult { return s.writeOn(op, l, st) })
	})
}

func (s *Session) writeOn(op *operation, l *upstreamConn, st Statement) attemptResult {
	at := clock.Now()
	reply, v := s.exchange(op, l, op.deadline, st)
	if v != nil {
		return *v
	}
	switch {
	case reply.Outcome == Done:
		s.recordCommit(op, at, l.pool.target.ID, reply.Position)
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case reply.Outcome == ReadOnly:
		op.group.markPrimaryLost(l.pool.target.ID)
		return retryResult(retryReadOnly, Refusal{Code: rescode.GroupFenced, Reason: reasonNoPrimary, RetryAfter: failoverRetryAfter})
	default:
		return outcomeResult(reply.Outcome)
	}
}

// recordCommit notes what a commit proves: the upstream led, and the session has written.
func (s *Session) recordCommit(op *operation, at time.Duration, upstream string, p position.Position) {
	if p.IsZero() {
		return
	}
	op.group.recordPosition(at, upstream, p)
	if s.newestCommits == nil {
		s.newestCommits = map[string]position.Position{}
	}
	s.newestCommits[op.group.service] = p
}

// outcomeResult maps an upstream's refusal.
func outcomeResult(o Outcome) attemptResult {
	switch o {
	case Busy, TooManyConnections:
		return retryResult(retryBusy, Refusal{Code: rescode.QueueFull, Reason: reasonUpstreamBusy, RetryAfter: shortRetryAfter})
	case Behind:
		return retryResult(retryBehind, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
	case NoStatement, Misdirected:
		return retryResult(retryBusy, Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone, RetryAfter: shortRetryAfter})
	case ReadOnly:
		return retryResult(retryReadOnly, Refusal{Code: rescode.GroupFenced, Reason: reasonNoPrimary, RetryAfter: failoverRetryAfter})
	case TimedOut:
		return finalResult(refusalAnswer(rescode.StatementTimeout, reasonTimeout))
	case Rejected:
		return finalResult(refusalAnswer(rescode.MalformedPacket, reasonBadStatement))
	default:
		return finalResult(refusalAnswer(rescode.StatementFailed, reasonUpstreamFailed))
	}
}

// readPrimary runs a read that must see every commit. It runs inside a transaction of
// the system's own, because a primary that was replaced refuses those and only those.
func (s *Session) readPrimary(ctx context.Context, op *operation, st Statement) Answer {
	return s.runWithRetries(op, st, func(int) attemptResult {
		p, refusal := s.engine.primary(op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		countRead("primary")
		return s.withConn(ctx, op, p, op.deadline, func(l *upstreamConn) attemptResult { return s.readPrimaryOn(op, l, st) })
	})
}

func (s *Session) readPrimaryOn(op *operation, l *upstreamConn, st Statement) attemptResult {
	deadline := op.deadline
	at := clock.Now()
	begun, v := s.exchange(op, l, deadline, Statement{Kind: Begin})
	if v != nil {
		return *v
	}
	if begun.Outcome != Done {
		if begun.Outcome == ReadOnly {
			op.group.markPrimaryLost(l.pool.target.ID)
		}
		return outcomeResult(begun.Outcome)
	}
	op.group.recordPosition(at, l.pool.target.ID, begun.Position)
	reply, v := s.exchange(op, l, deadline, st, Statement{Kind: Rollback})
	if v != nil {
		return *v
	}
	if reply.Outcome == Done {
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	return outcomeResult(reply.Outcome)
}

// read runs a read that may miss commits up to an age, on the upstream that is expected
// to answer first.
func (s *Session) read(ctx context.Context, op *operation, st Statement) Answer {
	skip := map[string]bool{}
	return s.runWithRetries(op, st, func(int) attemptResult {
		now := clock.Now()
		p, ok := op.group.planRead(
			now, op.route.MaxStaleness, s.engine.opts.Place, op.team, s.newestCommits[op.group.service], skip)
		if !ok {
			primary, refusal := s.engine.primary(op)
			if refusal != nil {
				return finalResult(Answer{Refusal: refusal})
			}
			countRead("primary_fallback")
			return s.withConn(ctx, op, primary, op.deadline, func(l *upstreamConn) attemptResult { return s.readPrimaryOn(op, l, st) })
		}
		countRead("any")
		deadline := attemptDeadline(op, p)
		v := s.withConn(ctx, op, p, deadline, func(l *upstreamConn) attemptResult {
			return s.readOn(op, l, st, deadline)
		})
		if v.retryable && v.retryReason != retryPlanExpired {
			skip[p.target.ID] = true
		}
		return v
	})
}

func (s *Session) readOn(op *operation, l *upstreamConn, st Statement, deadline time.Time) attemptResult {
	// The wait for the connection may have outlasted the minPosition of the plan.
	minPosition, ok := op.group.minReadPosition(clock.Now(), op.route.MaxStaleness, s.newestCommits[op.group.service])
	if !ok {
		return retryResult(retryPlanExpired, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
	}
	st.MinPosition = minPosition
	reply, v := s.exchange(op, l, deadline, st)
	if v != nil {
		return *v
	}
	if reply.Outcome == Done {
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	if reply.Outcome == Behind {
		l.pool.recordBehind()
	}
	return outcomeResult(reply.Outcome)
}

// attemptDeadline ends an attempt so that a read whose answer was lost can still run
// elsewhere in time. An upstream that is slow because it is overloaded gets more time:
// what is given up keeps running there and makes it slower.
func attemptDeadline(op *operation, p *pool) time.Time {
	now := clock.Now()
	attempt := max(minAttemptTime, time.Duration(attemptFraction*float64(op.route.LatencyObjective)), p.answerTimeout(now))
	if time.Until(op.deadline) < 2*attempt {
		return op.deadline
	}
	return time.Now().Add(attempt)
}

// primary returns the pool of the primary. While it is replaced, it waits a moment.
func (e *Engine) primary(op *operation) (*pool, *Refusal) {
	limit := time.Now().Add(primaryWait)
	if op.deadline.Before(limit) {
		limit = op.deadline
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for {
		p, changed := op.group.primaryPool()
		reason := reasonNoPrimary
		if p != nil && !op.group.isPrimaryLost() {
			if p.failingFor(clock.Now()) == 0 {
				return p, nil
			}
			reason = reasonPrimaryFailing
		}
		select {
		case <-changed:
		case <-timer.C:
			// A primary that is being replaced leads until the moment of the change.
			if p != nil && p.failingFor(clock.Now()) == 0 {
				return p, nil
			}
			return nil, &Refusal{Code: rescode.GroupFenced, Reason: reason, RetryAfter: failoverRetryAfter}
		}
	}
}

// maxConnectionWait is how long the operation may wait for a connection: a longer wait leaves no
// time to meet the objective.
func (op *operation) maxConnectionWait() time.Duration {
	return max(minConnectionWait, time.Duration(connectionWaitFraction*float64(op.route.LatencyObjective)))
}

// runWithRetries repeats an attempt while the statement has not run and time is left.
func (s *Session) runWithRetries(op *operation, st Statement, attempt func(n int) attemptResult) Answer {
	for n := 1; ; n++ {
		v := attempt(n)
		if !v.retryable {
			return v.answer
		}
		if n >= maxAttempts || time.Until(op.deadline) < busyBackoff || !v.shouldRetry(n) {
			return v.answer
		}
		countRetry(v.retryReason)
		s.engine.log.WithFields(logrus.Fields{
			"event": "retried", "id": st.ID, "reason": string(v.retryReason), "attempt": n, "upstream": v.upstream(),
			"elapsed_ms": (clock.Now() - op.started).Milliseconds(), "service": op.group.service,
		}).Info("request is tried again")
		if v.retryReason == retryBusy || v.retryReason == retryReadOnly {
			time.Sleep(time.Duration(n) * busyBackoff)
		}
	}
}

// acquireFailureResult decides what follows when no connection could be had.
func acquireFailureResult(refusal *Refusal) attemptResult {
	switch refusal.Reason {
	case reasonPoolFull, reasonPoolTimeout:
		return retryResult(retryQueue, *refusal)
	case reasonUpstreamFull:
		return retryResult(retryBusy, *refusal)
	default:
		return retryResult(retryDial, *refusal)
	}
}

// withConn runs one attempt on a connection to an upstream.
func (s *Session) withConn(ctx context.Context, op *operation, p *pool, deadline time.Time, f func(*upstreamConn) attemptResult) attemptResult {
	waiting := clock.Now()
	l, refusal := p.acquire(ctx, op.team, deadline, op.maxConnectionWait())
	observeSeconds(metricConnWaitSeconds, clock.Now()-waiting)
	if refusal != nil {
		refusal.Upstream = p.target.ID
		return acquireFailureResult(refusal)
	}
	defer p.release(l)
	asked := clock.Now()
	v := f(l)
	if v.answer.Refusal != nil {
		v.answer.Refusal.Upstream = p.target.ID
	}
	if l.broken {
		p.recordNoAnswer(clock.Now() - asked)
	} else {
		p.recordAnswer(clock.Now() - asked)
	}
	observeSeconds(metricUpstreamSeconds, clock.Now()-asked)
	return v
}

// exchange runs one statement of the caller, or of the system, behind what aligns the
// upstream's session with the caller's. extra follows in the same write. A attemptResult is
// returned when there is no reply.
func (s *Session) exchange(op *operation, l *upstreamConn, deadline time.Time, st Statement, extra ...Statement) (Reply, *attemptResult) {
	alignment := l.alignValues(s.values)
	if len(alignment) > 0 {
		replies, err := l.roundTrip(deadline, alignment...)
		if err != nil || !allDone(replies) {
			l.broken = true
			v := retryResult(retryAnswerLost, Refusal{Code: rescode.UpstreamLost, Reason: reasonUpstreamGone, RetryAfter: shortRetryAfter})
			return Reply{}, &v
		}
	}
	batch := make([]Statement, 0, 2+len(extra))
	main := 0
	if st.Kind == Execute {
		name, prepare, missing := l.ensurePrepared(s.prepared[st.Name])
		st.Name = name
		if missing {
			batch = append(batch, prepare)
			main = 1
		}
	}
	batch = append(append(batch, st), extra...)
	replies, err := l.roundTrip(deadline, batch...)
	if len(replies) > main {
		return replies[main], nil
	}
	v := s.lostAnswerResult(op, st, err)
	return Reply{}, &v
}

func allDone(replies []Reply) bool {
	for _, r := range replies {
		if r.Outcome != Done {
			return false
		}
	}
	return true
}

// lostAnswerResult decides what the loss of an answer means. Reads have no effect and may be run
// again; a write may have run.
func (s *Session) lostAnswerResult(op *operation, st Statement, err error) attemptResult {
	code, reason := rescode.AnswerLost, reasonAnswerLost
	if errors.Is(err, os.ErrDeadlineExceeded) {
		code, reason = rescode.StatementTimeout, reasonTimeout
	}
	if s.mayWrite(st) {
		return finalResult(refusalAnswer(rescode.AnswerLost, reason))
	}
	return retryResult(retryAnswerLost, Refusal{Code: code, Reason: reason})
}

func (s *Session) mayWrite(st Statement) bool {
	switch st.Kind {
	case Write, Commit:
		return true
	case Execute:
		// Upstream names begin with w for statements that write.
		return st.Name != "" && st.Name[0] == 'w'
	default:
		return false
	}
}
