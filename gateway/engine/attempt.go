package engine

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// primaryWait bounds the wait for a new primary during a failover. A longer wait would
	// leave the caller no time to retry.
	primaryWait = 150 * time.Millisecond
	// attemptFraction is the fraction of the route's latency objective after which an
	// unanswered read is retried on another upstream.
	attemptFraction = 0.6
	// An attempt may take at least minAttemptTime, and at least latencyFactor times the
	// upstream's current latency.
	minAttemptTime = 400 * time.Millisecond
	latencyFactor  = 5
	// maxSetupBatch bounds the statements that are sent before their replies are read. The replies to very many would
	// fill the connection, and the upstream would read no further statement.
	maxSetupBatch = 256
)

// attemptResult is the outcome of one attempt to run a statement.
type attemptResult struct {
	answer      Answer
	retryReason retryReason
	// retryable is set when the statement did not run, or has no effect and may run again.
	retryable bool
	// notServed is set when another node did not take a forwarded statement, elsewhere when the result concerns that
	// node and not the upstream.
	notServed, elsewhere bool
	// cause is why the answer is missing; nil if the statement was not sent.
	cause error
}

// upstream returns the upstream that was tried, or "" if none was.
func (result attemptResult) upstream() string {
	if result.answer.Refusal == nil {
		return ""
	}
	return result.answer.Refusal.Upstream
}

// concernsUpstream reports whether the result says something about the upstream. The stop of the node, a
// statement that cannot be sent to any upstream, a caller that reads its rows slowly or not at all, the end of a
// drain, a missing permit and home regions say nothing about it.
func (result attemptResult) concernsUpstream() bool {
	if result.elsewhere {
		return false
	}
	if result.answer.Refusal == nil {
		return true
	}
	switch result.answer.Refusal.Reason {
	case reasonStopping, reasonTooLarge, reasonUnencodable, reasonCallerGone, reasonAnswerCut,
		reasonDrained, reasonPlaceDrained, reasonWarmup, reasonOutsideHome:
		return false
	default:
		return true
	}
}

// isNotAllowed reports whether nothing was sent because the upstream may not be sent the statement now. Another node may
// not send it either.
func (result attemptResult) isNotAllowed() bool {
	if result.answer.Refusal == nil {
		return false
	}
	switch result.answer.Refusal.Reason {
	case reasonDrained, reasonPlaceDrained, reasonWarmup, reasonOutsideHome:
		return true
	default:
		return false
	}
}

// isFailure reports whether the upstream answered and did not run the statement successfully, although it could have.
func (result attemptResult) isFailure() bool {
	if result.answer.Refusal == nil {
		return false
	}
	reason := result.answer.Refusal.Reason
	return reason == reasonUpstreamFailed || reason == reasonUpstreamBusy
}

func finalResult(a Answer) attemptResult { return attemptResult{answer: a} }

// retryResult returns a retryable result. The refusal r goes to the caller if no attempt is
// left.
func retryResult(reason retryReason, r Refusal) attemptResult {
	return attemptResult{retryReason: reason, retryable: true, answer: Answer{Refusal: &r}}
}

// write runs a write outside a transaction on the primary.
func (s *Session) write(ctx context.Context, op *operation, st Statement) Answer {
	return s.runWithRetries(ctx, op, st, func() attemptResult {
		p, refusal := s.engine.primary(ctx, op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		return s.withConn(ctx, op, p, op.deadline, func(c *upstreamConn) attemptResult { return s.writeOn(ctx, op, c, st) })
	})
}

func (s *Session) writeOn(ctx context.Context, op *operation, c *upstreamConn, st Statement) attemptResult {
	at := clock.Now()
	reply, result := s.exchange(ctx, op, c, op.deadline, st)
	if result != nil {
		return *result
	}
	switch {
	case reply.Outcome == Done:
		s.recordCommit(op, at, c.pool.target.ID, reply.Position)
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case reply.Outcome == ReadOnly:
		op.group.markPrimaryLost(c.pool.target.ID)
		return retryResult(retryReadOnly, Refusal{Code: rescode.GroupFenced, Reason: reasonNoPrimary, RetryAfter: failoverRetryAfter})
	default:
		return outcomeResult(reply.Outcome)
	}
}

// recordCommit records the position of a commit, which proves that the upstream was the
// primary at the time at, as the newest commit of the session.
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

// outcomeResult maps an upstream's refusal to a result.
func outcomeResult(o Outcome) attemptResult {
	switch o {
	case Busy, TooManyConnections:
		return retryResult(retryBusy, Refusal{Code: rescode.QueueFull, Reason: reasonUpstreamBusy, RetryAfter: shortRetryAfter})
	case Behind:
		return retryResult(retryBehind, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
	case NoStatement, Misdirected:
		return retryResult(retryMisdirected, Refusal{Code: rescode.NoUpstream, Reason: reasonUpstreamGone, RetryAfter: shortRetryAfter})
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

// readPrimary runs a read that must see every commit. It wraps the read in a transaction,
// because a replaced primary refuses to begin transactions but still answers plain reads.
func (s *Session) readPrimary(ctx context.Context, op *operation, st Statement) Answer {
	return s.runWithRetries(ctx, op, st, func() attemptResult {
		p, refusal := s.engine.primary(ctx, op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		countRead("primary")
		return s.withConn(ctx, op, p, op.deadline, func(c *upstreamConn) attemptResult { return s.readPrimaryOn(ctx, op, c, st) })
	})
}

func (s *Session) readPrimaryOn(ctx context.Context, op *operation, c *upstreamConn, st Statement) attemptResult {
	deadline := op.deadline
	at := clock.Now()
	if c.forwarded {
		return s.readPrimaryForwarded(ctx, op, c, at, st)
	}
	begun, result := s.exchange(ctx, op, c, deadline, Statement{Kind: Begin})
	if result != nil {
		return *result
	}
	if begun.Outcome != Done {
		if begun.Outcome == ReadOnly {
			op.group.markPrimaryLost(c.pool.target.ID)
		}
		return outcomeResult(begun.Outcome)
	}
	op.group.recordPosition(at, c.pool.target.ID, begun.Position)
	reply, result := s.exchange(ctx, op, c, deadline, st, Statement{Kind: Rollback})
	if result != nil {
		// The rollback was not sent if the statement could not be.
		c.rollBack(ctx, deadline)
		return *result
	}
	if reply.Outcome == Done {
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	return readOutcomeResult(reply.Outcome)
}

// readOutcomeResult is outcomeResult for a read, which may run again after it failed. Some upstreams fail a part of what
// they run although their health checks succeed.
func readOutcomeResult(o Outcome) attemptResult {
	result := outcomeResult(o)
	if o == Failed {
		result.retryReason, result.retryable = retryFailed, true
	}
	return result
}

// readPrimaryForwarded sends the transaction of a read in one message. The other node runs the read only if the
// transaction was begun.
func (s *Session) readPrimaryForwarded(ctx context.Context, op *operation, c *upstreamConn, at time.Duration, st Statement) attemptResult {
	reply, result := s.exchangeBetween(ctx, op, c, op.deadline, []Statement{{Kind: Begin}}, st, []Statement{{Kind: Rollback}})
	if result != nil {
		return *result
	}
	switch reply.Outcome {
	case Done:
		op.group.recordPosition(at, c.pool.target.ID, reply.Position)
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case ReadOnly:
		op.group.markPrimaryLost(c.pool.target.ID)
	}
	return readOutcomeResult(reply.Outcome)
}

// read runs a bounded-staleness read on the upstream with the lowest expected cost, or on the
// primary if no upstream is known to be fresh enough.
func (s *Session) read(ctx context.Context, op *operation, st Statement) Answer {
	tried := s.engine.outsideHome(op)
	return s.runWithRetries(ctx, op, st, func() attemptResult {
		p, ok := s.planRead(op, tried)
		if !ok {
			primary, refusal := s.engine.primary(ctx, op)
			if refusal != nil {
				return finalResult(Answer{Refusal: refusal})
			}
			countRead("primary_fallback")
			return s.withConn(ctx, op, primary, op.deadline, func(c *upstreamConn) attemptResult { return s.readPrimaryOn(ctx, op, c, st) })
		}
		countRead("any")
		deadline := attemptDeadline(op, p)
		op.maxWait = s.redirectWait(op, p, tried)
		defer func() { op.maxWait = 0 }()
		result := s.withConn(ctx, op, p, deadline, func(c *upstreamConn) attemptResult {
			return s.readOn(ctx, op, c, st, deadline)
		})
		tried.record(p, result)
		return result
	})
}

// planRead chooses an upstream for a read of an operation. ok is false when only the primary can
// serve it. When each upstream has been tried, those that had no room may be tried again.
func (s *Session) planRead(op *operation, tried triedUpstreams) (p *pool, ok bool) {
	own := s.newestCommits[op.group.service]
	p, ok = op.group.planRead(clock.Now(), op, s.engine.opts.Place, own, tried)
	if !ok && tried.forgetOverloaded() {
		p, ok = op.group.planRead(clock.Now(), op, s.engine.opts.Place, own, tried)
	}
	return p, ok
}

func (s *Session) readOn(ctx context.Context, op *operation, c *upstreamConn, st Statement, deadline time.Time) attemptResult {
	// The minimum position is computed again, because the wait for the connection may have
	// made the one of the plan too old.
	minPosition, ok := op.group.minReadPosition(clock.Now(), op.route.MaxStaleness, s.newestCommits[op.group.service])
	if !ok {
		result := retryResult(retryPlanExpired, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
		result.elsewhere = true
		return result
	}
	st.MinPosition = minPosition
	reply, result := s.exchange(ctx, op, c, deadline, st)
	if result != nil {
		return *result
	}
	if reply.Outcome == Done {
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	}
	if reply.Outcome == Behind {
		c.pool.recordBehind()
	}
	return readOutcomeResult(reply.Outcome)
}

// attemptDeadline returns the deadline of one attempt. It leaves time to run a read elsewhere
// when its answer was lost. A slow upstream gets more time, because an abandoned statement
// keeps running there and adds to its load.
func attemptDeadline(op *operation, p *pool) time.Time {
	now := clock.Now()
	attempt := max(minAttemptTime, time.Duration(attemptFraction*float64(op.route.LatencyObjective)), p.answerTimeout(now))
	if time.Until(op.deadline) < 2*attempt {
		return op.deadline
	}
	return time.Now().Add(attempt)
}

// primary returns the pool of the primary. During a failover it waits up to primaryWait for
// the new one.
func (e *Engine) primary(ctx context.Context, op *operation) (*pool, *Refusal) {
	limit := time.Now().Add(primaryWait)
	if op.deadline.Before(limit) {
		limit = op.deadline
	}
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	for {
		p, changed := op.group.primaryPool()
		if p != nil && !e.mayRunOn(op, p) {
			return nil, homeRefusal(p.target.ID)
		}
		if p != nil && p.isDrained(clock.Now()) {
			return nil, p.drainedRefusal(clock.Now())
		}
		reason := reasonNoPrimary
		if p != nil && !op.group.isPrimaryLost() {
			if p.failingFor(clock.Now()) == 0 {
				return p, nil
			}
			reason = reasonPrimaryFailing
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, stoppedWaiting()
		case <-timer.C:
			// A primary that is being replaced keeps its role until the change takes effect.
			if p != nil && p.failingFor(clock.Now()) == 0 {
				return p, nil
			}
			return nil, &Refusal{Code: rescode.GroupFenced, Reason: reason, RetryAfter: failoverRetryAfter}
		}
	}
}

// acquireFailureResult maps a failure to acquire a connection to a retryable result.
func acquireFailureResult(refusal *Refusal) attemptResult {
	switch refusal.Reason {
	case reasonStopping:
		return finalResult(Answer{Refusal: refusal})
	case reasonPoolFull, reasonPoolTimeout, reasonDisplaced, reasonUpstreamPaused:
		return retryResult(retryQueue, *refusal)
	case reasonUpstreamFull:
		return retryResult(retryFull, *refusal)
	case reasonUpstreamBusy:
		return retryResult(retryBusy, *refusal)
	default:
		return retryResult(retryDial, *refusal)
	}
}

// withConn acquires a connection to an upstream, runs f on it, and records the upstream's
// latency and health. What the node that holds the connections does not take runs on a connection of this node.
func (s *Session) withConn(ctx context.Context, op *operation, p *pool, deadline time.Time, f func(*upstreamConn) attemptResult) attemptResult {
	result := s.withConnOnce(ctx, op, p, deadline, false, f)
	if result.notServed {
		result = s.withConnOnce(ctx, op, p, deadline, true, f)
	}
	return result
}

func (s *Session) withConnOnce(
	ctx context.Context, op *operation, p *pool, deadline time.Time, direct bool, f func(*upstreamConn) attemptResult,
) attemptResult {
	waitStart := clock.Now()
	c, refusal := p.connect(ctx, op, deadline, direct)
	observeSeconds(metricConnWaitSeconds, clock.Now()-waitStart)
	if refusal != nil {
		refusal.Upstream = p.target.ID
		return acquireFailureResult(refusal)
	}
	defer p.release(c)
	sentAt := clock.Now()
	result := f(c)
	if result.answer.Refusal != nil {
		result.answer.Refusal.Upstream = p.target.ID
	}
	switch {
	case s.relay.started && result.answer.Refusal == nil:
		// The time includes the caller's for reading the answer, which may have left none for a rollback behind it.
		p.recordSuccess()
	case c.lostAnswer(result):
		p.recordNoAnswer(clock.Now() - sentAt)
	case !result.concernsUpstream():
	case result.isFailure():
		p.recordFailedStatement()
	case s.relay.started:
		p.recordSuccess()
	default:
		p.recordAnswer(clock.Now() - sentAt)
	}
	observeSeconds(metricUpstreamSeconds, clock.Now()-sentAt)
	return result
}

// exchange runs one statement on a connection. It first sets the upstream session's values to those of the caller's
// session, and prepares the statement if necessary, closing others to make room for it. The extra statements are sent
// in the same write as st; their replies are discarded. Without a reply to st, it returns the result of the attempt
// instead.
func (s *Session) exchange(ctx context.Context, op *operation, c *upstreamConn, deadline time.Time, st Statement, extra ...Statement) (Reply, *attemptResult) {
	return s.exchangeBetween(ctx, op, c, deadline, nil, st, extra)
}

// exchangeBetween is an exchange with further statements before and after st.
func (s *Session) exchangeBetween(
	ctx context.Context, op *operation, c *upstreamConn, deadline time.Time, before []Statement, st Statement, after []Statement,
) (Reply, *attemptResult) {
	if refusal := s.engine.refuseRunning(clock.Now()); refusal != nil {
		// The connection may be inside the caller's transaction.
		c.broken = true
		result := finalResult(Answer{Refusal: refusal})
		return Reply{}, &result
	}
	s.setPhase(PhaseUpstream)
	defer s.setPhase(PhaseWaiting)
	defer interruptWhenDone(ctx, c)()
	if result := s.refuseOutsideHome(op, c); result != nil {
		return Reply{}, result
	}
	if result := s.refuseDrained(c); result != nil {
		return Reply{}, result
	}
	var alignment []Statement
	if c.forwarded {
		// The other node aligns its connection itself, so that no round trip to it is needed.
		alignment = c.alignValues(s.values)
	} else if result := s.align(c, deadline, st.ID); result != nil {
		return Reply{}, result
	}
	if result := s.takePermit(ctx, op, c, st); result != nil {
		return Reply{}, result
	}
	prepared := s.prepared[st.Name]
	change := c.setUp(&st, prepared)
	setup := slices.Concat(alignment, change.statements(prepared.preparedStatement), before)
	replyIndex := len(setup)
	batch := slices.Concat(setup, []Statement{st}, after)
	s.relay.deadline = op.deadline
	replies, err := c.roundTripTo(s.relay.sink(), deadline, batch...)
	s.engine.recordRefusedSetup(c, st.ID, batch, replies)
	if isUnsendable(err) {
		result := unsendableResult(err)
		return Reply{}, &result
	}
	if result := forwardFailureResult(err); result != nil && len(replies) <= replyIndex {
		return Reply{}, result
	}
	c.prepared.apply(change)
	if i, refused := refusedSetup(batch, replies); refused {
		c.misaligned = true
		if i >= 0 {
			return replies[i], nil
		}
	}
	if len(replies) > replyIndex {
		return replies[replyIndex], nil
	}
	result := s.lostAnswerResult(op, st, err)
	return Reply{}, &result
}

// align sets the values of the upstream's session to those of the caller's session, before the statement with the
// given identity. It returns the result of the attempt if that fails.
func (s *Session) align(c *upstreamConn, deadline time.Time, id string) *attemptResult {
	alignment := c.alignValues(s.values)
	if len(alignment) == 0 {
		return nil
	}
	for batch := range slices.Chunk(alignment, maxSetupBatch) {
		replies, err := c.roundTrip(deadline, batch...)
		s.engine.recordRefusedSetup(c, id, batch, replies)
		if err != nil || !allDone(replies) {
			c.misaligned = true
			result := misalignedResult(err)
			return &result
		}
	}
	// The values may have taken a while.
	return s.refuseDrained(c)
}

// misalignedResult returns the result of an attempt whose session values could not be set at the upstream.
func misalignedResult(err error) attemptResult {
	if errors.Is(err, ErrInterrupted) {
		return finalResult(Answer{Refusal: stoppedWaiting()})
	}
	return retryResult(retryAnswerLost, Refusal{Code: rescode.UpstreamLost, Reason: reasonUpstreamGone, RetryAfter: shortRetryAfter})
}

// unsendableResult returns the result of an attempt whose statement could not be sent, to this upstream or to any
// other.
func unsendableResult(err error) attemptResult {
	result := finalResult(refusalAnswer(rescode.MalformedPacket, reasonUnencodable))
	if errors.Is(err, ErrTooLarge) {
		result = finalResult(refusalAnswer(rescode.PacketTooLarge, reasonTooLarge))
	}
	result.cause = err
	return result
}

// interruptWhenDone interrupts the statements on a connection when ctx ends. The returned function
// ends the watch.
func interruptWhenDone(ctx context.Context, c *upstreamConn) func() bool {
	return context.AfterFunc(ctx, c.conn.Interrupt)
}

func allDone(replies []Reply) bool {
	for _, r := range replies {
		if r.Outcome != Done {
			return false
		}
	}
	return true
}

// lostAnswerResult returns the result of an attempt whose answer was lost. Reads may be
// retried; a write may have taken effect, so it is not.
func (s *Session) lostAnswerResult(op *operation, st Statement, err error) attemptResult {
	code, reason := rescode.AnswerLost, reasonAnswerLost
	switch {
	case errors.Is(err, ErrInterrupted):
		reason = reasonStopping
	case errors.Is(err, ErrCallerGone):
		reason = reasonCallerGone
	case errors.Is(err, os.ErrDeadlineExceeded):
		code, reason = rescode.StatementTimeout, reasonTimeout
		if s.relay.started {
			reason = reasonAnswerCut
		}
	}
	result := retryResult(retryAnswerLost, Refusal{Code: code, Reason: reason})
	if st.MayWrite() {
		result = finalResult(refusalAnswer(rescode.AnswerLost, reason))
	}
	result.cause, result.elsewhere = err, concernsOtherNode(err)
	return result
}
