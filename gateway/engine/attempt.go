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
	// busyAttempts bounds the attempts after an upstream was busy.
	busyAttempts = 2
	// busyPause is the time before a busy upstream is asked again.
	busyPause = 15 * time.Millisecond
	// attemptShare is the part of the latency objective after which a read that has no
	// answer is run elsewhere.
	attemptShare = 0.6
	// patienceShare is the part of the latency objective that is waited for a connection.
	patienceShare = 0.5
	minPatience   = 60 * time.Millisecond
	// minAttempt is the least time for one attempt, and latencyFactor how many times
	// the upstream's latency it lasts at least.
	minAttempt    = 400 * time.Millisecond
	latencyFactor = 5
)

// verdict is what follows from one attempt.
type verdict struct {
	answer Answer
	// retry is set when the statement has not run, or may run again.
	retry retryReason
	again bool
}

// upstream is where the attempt was made, if anywhere.
func (v verdict) upstream() string {
	if v.answer.Refusal == nil {
		return ""
	}
	return v.answer.Refusal.Upstream
}

// worthwhile reports whether another attempt helps the caller. One that was refused for
// want of room is made once more at most: many would keep the upstream full.
func (v verdict) worthwhile(n int) bool {
	switch v.retry {
	case retryBusy:
		return n <= busyAttempts
	case retryQueue:
		return n <= 1
	default:
		return true
	}
}

func final(a Answer) verdict { return verdict{answer: a} }

// again keeps the refusal for the case that no attempt is left.
func again(reason retryReason, r Refusal) verdict {
	return verdict{retry: reason, again: true, answer: Answer{Refusal: &r}}
}

// write runs a single write on the primary.
func (s *Session) write(ctx context.Context, op *operation, st Statement) Answer {
	return s.attempts(op, st, func(int) verdict {
		p, refusal := s.engine.primary(op)
		if refusal != nil {
			return final(Answer{Refusal: refusal})
		}
		return s.onLink(ctx, op, p, op.deadline, func(l *link) verdict { return s.writeOn(op, l, st) })
	})
}

func (s *Session) writeOn(op *operation, l *link, st Statement) verdict {
	at := clock.Now()
	reply, v := s.exchange(op, l, op.deadline, st)
	if v != nil {
		return *v
	}
	switch {
	case reply.Outcome == Done:
		s.committed(op, at, l.pool.target.ID, reply.Position)
		return final(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case reply.Outcome == ReadOnly:
		op.group.lostLead(l.pool.target.ID)
		return again(retryReadOnly, Refusal{Code: rescode.GroupFenced, Reason: reasonNoPrimary, RetryAfter: retryFailover})
	default:
		return outcomeVerdict(reply.Outcome)
	}
}

// committed notes what a commit proves: the upstream led, and the session has written.
func (s *Session) committed(op *operation, at time.Duration, upstream string, p position.Position) {
	if p.IsZero() {
		return
	}
	op.group.observed(at, upstream, p)
	if s.newest == nil {
		s.newest = map[string]position.Position{}
	}
	s.newest[op.group.service] = p
}

// outcomeVerdict maps an upstream's refusal.
func outcomeVerdict(o Outcome) verdict {
	switch o {
	case Busy, TooManyConnections:
		return again(retryBusy, Refusal{Code: rescode.QueueFull, Reason: reasonUpstreamBusy, RetryAfter: retrySoon})
	case Behind:
		return again(retryBehind, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: retrySoon})
	case NoStatement, Misdirected:
		return again(retryBusy, Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone, RetryAfter: retrySoon})
	case ReadOnly:
		return again(retryReadOnly, Refusal{Code: rescode.GroupFenced, Reason: reasonNoPrimary, RetryAfter: retryFailover})
	case TimedOut:
		return final(refuse(rescode.StatementTimeout, reasonTimeout))
	case Rejected:
		return final(refuse(rescode.MalformedPacket, reasonBadStatement))
	default:
		return final(refuse(rescode.StatementFailed, reasonUpstreamFailed))
	}
}

// readPrimary runs a read that must see every commit. It runs inside a transaction of
// the system's own, because a primary that was replaced refuses those and only those.
func (s *Session) readPrimary(ctx context.Context, op *operation, st Statement) Answer {
	return s.attempts(op, st, func(int) verdict {
		p, refusal := s.engine.primary(op)
		if refusal != nil {
			return final(Answer{Refusal: refusal})
		}
		countRead("primary")
		return s.onLink(ctx, op, p, op.deadline, func(l *link) verdict { return s.readPrimaryOn(op, l, st) })
	})
}

func (s *Session) readPrimaryOn(op *operation, l *link, st Statement) verdict {
	deadline := op.deadline
	at := clock.Now()
	begun, v := s.exchange(op, l, deadline, Statement{Kind: Begin})
	if v != nil {
		return *v
	}
	if begun.Outcome != Done {
		if begun.Outcome == ReadOnly {
			op.group.lostLead(l.pool.target.ID)
		}
		return outcomeVerdict(begun.Outcome)
	}
	op.group.observed(at, l.pool.target.ID, begun.Position)
	reply, v := s.exchange(op, l, deadline, st, Statement{Kind: Rollback})
	if v != nil {
		return *v
	}
	if reply.Outcome == Done {
		return final(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	return outcomeVerdict(reply.Outcome)
}

// read runs a read that may miss commits up to an age, on the upstream that is expected
// to answer first.
func (s *Session) read(ctx context.Context, op *operation, st Statement) Answer {
	skip := map[string]bool{}
	return s.attempts(op, st, func(int) verdict {
		now := clock.Now()
		p, ok := op.group.planRead(
			now, op.route.MaxStaleness, s.engine.opts.Place, op.team, s.newest[op.group.service], skip)
		if !ok {
			primary, refusal := s.engine.primary(op)
			if refusal != nil {
				return final(Answer{Refusal: refusal})
			}
			countRead("primary_fallback")
			return s.onLink(ctx, op, primary, op.deadline, func(l *link) verdict { return s.readPrimaryOn(op, l, st) })
		}
		countRead("any")
		deadline := attemptDeadline(op, p)
		v := s.onLink(ctx, op, p, deadline, func(l *link) verdict {
			return s.readOn(op, l, st, deadline)
		})
		if v.again && v.retry != retryStale {
			skip[p.target.ID] = true
		}
		return v
	})
}

func (s *Session) readOn(op *operation, l *link, st Statement, deadline time.Time) verdict {
	// The wait for the connection may have outlasted the floor of the plan.
	floor, ok := op.group.floor(clock.Now(), op.route.MaxStaleness, s.newest[op.group.service])
	if !ok {
		return again(retryStale, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: retrySoon})
	}
	st.MinPosition = floor
	reply, v := s.exchange(op, l, deadline, st)
	if v != nil {
		return *v
	}
	if reply.Outcome == Done {
		return final(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	if reply.Outcome == Behind {
		l.pool.wasBehind()
	}
	return outcomeVerdict(reply.Outcome)
}

// attemptDeadline ends an attempt so that a read whose answer was lost can still run
// elsewhere in time. An upstream that is slow because it is overloaded gets more time:
// what is given up keeps running there and makes it slower.
func attemptDeadline(op *operation, p *pool) time.Time {
	now := clock.Now()
	attempt := max(minAttempt, time.Duration(attemptShare*float64(op.route.LatencyObjective)), p.patience(now))
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
		if p != nil && !op.group.isLost() {
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
			return nil, &Refusal{Code: rescode.GroupFenced, Reason: reason, RetryAfter: retryFailover}
		}
	}
}

// patience is how long the operation may wait for a connection: a longer wait leaves no
// time to meet the objective.
func (op *operation) patience() time.Duration {
	return max(minPatience, time.Duration(patienceShare*float64(op.route.LatencyObjective)))
}

// attempts repeats an attempt while the statement has not run and time is left.
func (s *Session) attempts(op *operation, st Statement, attempt func(n int) verdict) Answer {
	for n := 1; ; n++ {
		v := attempt(n)
		if !v.again {
			return v.answer
		}
		if n >= maxAttempts || time.Until(op.deadline) < busyPause || !v.worthwhile(n) {
			return v.answer
		}
		countRetry(v.retry)
		s.engine.log.WithFields(logrus.Fields{
			"event": "retried", "id": st.ID, "reason": string(v.retry), "attempt": n, "upstream": v.upstream(),
			"elapsed_ms": (clock.Now() - op.started).Milliseconds(), "service": op.group.service,
		}).Info("request is tried again")
		if v.retry == retryBusy || v.retry == retryReadOnly {
			time.Sleep(time.Duration(n) * busyPause)
		}
	}
}

// acquireVerdict decides what follows when no connection could be had.
func acquireVerdict(refusal *Refusal) verdict {
	switch refusal.Reason {
	case reasonPoolFull, reasonPoolTimeout:
		return again(retryQueue, *refusal)
	case reasonUpstreamFull:
		return again(retryBusy, *refusal)
	default:
		return again(retryDial, *refusal)
	}
}

// onLink runs one attempt on a connection to an upstream.
func (s *Session) onLink(ctx context.Context, op *operation, p *pool, deadline time.Time, f func(*link) verdict) verdict {
	waiting := clock.Now()
	l, refusal := p.acquire(ctx, op.team, deadline, op.patience())
	observeSeconds(metricConnWaitSeconds, clock.Now()-waiting)
	if refusal != nil {
		refusal.Upstream = p.target.ID
		return acquireVerdict(refusal)
	}
	defer p.release(l)
	asked := clock.Now()
	v := f(l)
	if v.answer.Refusal != nil {
		v.answer.Refusal.Upstream = p.target.ID
	}
	if l.broken {
		p.unanswered(clock.Now() - asked)
	} else {
		p.answered(clock.Now() - asked)
	}
	observeSeconds(metricUpstreamSeconds, clock.Now()-asked)
	return v
}

// exchange runs one statement of the caller, or of the system, behind what aligns the
// upstream's session with the caller's. extra follows in the same write. A verdict is
// returned when there is no reply.
func (s *Session) exchange(op *operation, l *link, deadline time.Time, st Statement, extra ...Statement) (Reply, *verdict) {
	before := l.align(s.values)
	if len(before) > 0 {
		replies, err := l.ask(deadline, before...)
		if err != nil || !allDone(replies) {
			l.broken = true
			v := again(retryLost, Refusal{Code: rescode.UpstreamLost, Reason: reasonUpstreamGone, RetryAfter: retrySoon})
			return Reply{}, &v
		}
	}
	batch := make([]Statement, 0, 2+len(extra))
	main := 0
	if st.Kind == Execute {
		name, prepare, missing := l.prepareFor(s.prepared[st.Name])
		st.Name = name
		if missing {
			batch = append(batch, prepare)
			main = 1
		}
	}
	batch = append(append(batch, st), extra...)
	replies, err := l.ask(deadline, batch...)
	if len(replies) > main {
		return replies[main], nil
	}
	v := s.lost(op, st, err)
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

// lost decides what the loss of an answer means. Reads have no effect and may be run
// again; a write may have run.
func (s *Session) lost(op *operation, st Statement, err error) verdict {
	code, reason := rescode.AnswerLost, reasonAnswerLost
	if errors.Is(err, os.ErrDeadlineExceeded) {
		code, reason = rescode.StatementTimeout, reasonTimeout
	}
	if s.mayWrite(st) {
		return final(refuse(rescode.AnswerLost, reason))
	}
	return again(retryLost, Refusal{Code: code, Reason: reason})
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
