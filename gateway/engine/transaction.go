package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// transaction is an open transaction of a caller. It acquires its connection with its first
// statement, so a caller that pauses after the begin holds none.
type transaction struct {
	op *operation
	// readOnly transactions may run on a replica.
	readOnly bool
	conn     *upstreamConn
	// ran is set once an upstream has answered a statement of the caller.
	ran    bool
	wrote  bool
	failed bool
	// reason is why the transaction failed.
	reason Reason
}

// fail marks the transaction as failed and closes its connection, which rolls it back.
func (t *transaction) fail(reason Reason) {
	t.failed, t.reason = true, reason
	if t.conn != nil {
		t.conn.broken = true
		t.releaseConn()
	}
}

// pause records that the caller has the answer to a statement and may take any time until its next one.
func (t *transaction) pause() {
	if t.conn != nil && !t.conn.forwarded {
		t.conn.park()
	}
}

// releaseConn returns the connection to its pool.
func (t *transaction) releaseConn() {
	if t.conn == nil {
		return
	}
	t.conn.pool.release(t.conn)
	t.conn = nil
}

// rollBack rolls the transaction back at the upstream and releases its connection. If there is no
// answer before deadline or the end of ctx, the connection is closed, which rolls back too.
func (t *transaction) rollBack(ctx context.Context, deadline time.Time) {
	if t.conn == nil {
		return
	}
	t.conn.rollBack(ctx, deadline)
	t.releaseConn()
}

// begin opens a transaction. Nothing is sent to an upstream before its first statement.
func (s *Session) begin(st Statement) Answer {
	if s.tx != nil {
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
	op, refusal := s.admitOperation(st)
	if refusal != nil {
		return Answer{Refusal: refusal}
	}
	s.tx = &transaction{op: op, readOnly: st.Kind == BeginRead}
	return Answer{}
}

// runInTransaction runs a statement on the transaction's connection.
func (s *Session) runInTransaction(ctx context.Context, st Statement) Answer {
	t := s.tx
	if refusal := s.recheckAdmission(); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	t.op.deadline = time.Now().Add(t.op.route.StatementTimeout)
	if refusal := s.ensureBegun(ctx, st); refusal != nil {
		s.returnAdmission(t.op, refusal)
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	at := clock.Now()
	reply, result := s.exchange(ctx, t.op, t.conn, t.op.deadline, st)
	defer t.pause()
	if result != nil {
		return s.failLostTransaction(result)
	}
	if reply.Outcome == Done {
		t.ran = true
		t.wrote = t.wrote || st.MayWrite()
		if !t.readOnly {
			// An upstream that is no longer the primary refuses the transaction's statements,
			// so this reply proves that it is.
			t.op.group.recordPosition(at, t.conn.pool.target.ID, reply.Position)
		}
		return Answer{Rows: reply.Rows, Digest: reply.Digest}
	}
	return s.failTransaction(reply)
}

// recheckAdmission checks the key, the route and the serving lease again inside a
// transaction.
func (s *Session) recheckAdmission() *Refusal {
	op, refusal := s.admit()
	if refusal != nil {
		return refusal
	}
	if op.team != s.tx.op.team {
		return &Refusal{Code: rescode.KeyWithdrawn, Reason: reasonKeyWithdrawn}
	}
	return s.engine.refuseContinuing(clock.Now(), s.tx.op.route.StatementTimeout)
}

// failTransaction ends a transaction after a failed statement. All of it is rolled back, so
// the caller may retry it, unless the statement itself is invalid.
func (s *Session) failTransaction(reply Reply) Answer {
	upstream := s.tx.conn.pool.target.ID
	answer := s.failureAnswer(reply)
	answer.Refusal.Upstream = upstream
	return answer
}

// failureAnswer marks the transaction as failed and returns the answer for the failed
// statement.
func (s *Session) failureAnswer(reply Reply) Answer {
	t := s.tx
	switch reply.Outcome {
	case ReadOnly:
		t.op.group.markPrimaryLost(t.conn.pool.target.ID)
		t.fail(reasonNoPrimary)
		return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonNoPrimary, RetryAfter: failoverRetryAfter}}
	case Failed, TimedOut, Rejected:
		answer := outcomeResult(reply.Outcome).answer
		t.fail(reasonUpstreamFailed)
		return answer
	default:
		t.fail(reasonUpstreamBusy)
		return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonUpstreamBusy, RetryAfter: shortRetryAfter}}
	}
}

// failLostTransaction ends a transaction whose connection broke. No commit was sent, so the
// upstream rolls it back.
func (s *Session) failLostTransaction(result *attemptResult) Answer {
	upstream := s.tx.conn.pool.target.ID
	if s.tx.conn.lostAnswer(*result) {
		s.tx.conn.pool.recordFailure()
	}
	s.tx.fail(reasonLostTransaction)
	reason := reasonLostTransaction
	if result.answer.Refusal != nil {
		reason = result.answer.Refusal.Reason
	}
	return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reason, RetryAfter: shortRetryAfter, Upstream: upstream}}
}

// ensureBegun begins the transaction at an upstream if it has not begun yet.
func (s *Session) ensureBegun(ctx context.Context, st Statement) *Refusal {
	if s.tx.conn != nil {
		return nil
	}
	s.tx.op.objectiveEnd = clock.Now() + s.tx.op.route.LatencyObjective
	tried := s.engine.outsideHome(s.tx.op)
	answer := s.runWithRetries(ctx, s.tx.op, st, func() attemptResult { return s.beginOnce(ctx, tried) })
	return answer.Refusal
}

// beginOnce makes one attempt to begin the transaction. A read-only transaction begins on a
// replica if its route allows that and one is fresh enough.
func (s *Session) beginOnce(ctx context.Context, tried triedUpstreams) attemptResult {
	t := s.tx
	begin := Begin
	var p *pool
	if t.readOnly && t.op.route.Consistency != controlpb.Consistency_CONSISTENCY_PRIMARY {
		if planned, ok := s.planRead(t.op, tried); ok {
			begin, p = BeginRead, planned
		}
	}
	if p == nil {
		primary, refusal := s.engine.primary(ctx, t.op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		p = primary
	}
	result := s.beginOn(ctx, p, begin)
	if begin == BeginRead {
		tried.record(p, result)
	}
	return result
}

// beginOn begins the transaction on an upstream and waits for the reply. A statement sent
// along with a begin that is refused would run outside the transaction.
func (s *Session) beginOn(ctx context.Context, p *pool, kind Kind) attemptResult {
	result := s.beginOnConn(ctx, p, kind, false)
	if result.notServed {
		result = s.beginOnConn(ctx, p, kind, true)
	}
	return result
}

func (s *Session) beginOnConn(ctx context.Context, p *pool, kind Kind, direct bool) attemptResult {
	t := s.tx
	c, refusal := p.connect(ctx, t.op, t.op.deadline, direct)
	if refusal != nil {
		refusal.Upstream = p.target.ID
		return acquireFailureResult(refusal)
	}
	begin := Statement{Kind: kind}
	at := clock.Now()
	if kind == BeginRead {
		minPosition, ok := t.op.group.minReadPosition(at, t.op.route.MaxStaleness, s.newestCommits[t.op.group.service])
		if !ok {
			p.release(c)
			return retryResult(retryPlanExpired, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
		}
		begin.MinPosition = minPosition
	}
	reply, result := s.exchange(ctx, t.op, c, attemptDeadline(t.op, p), begin)
	if result != nil || reply.Outcome != Done {
		p.release(c)
		if result != nil {
			if c.lostAnswer(*result) {
				p.recordNoAnswer(clock.Now() - at)
			}
			return *result
		}
		switch reply.Outcome {
		case Behind:
			p.recordBehind()
		case ReadOnly:
			t.op.group.markPrimaryLost(p.target.ID)
		}
		return outcomeResult(reply.Outcome)
	}
	if kind == Begin {
		t.op.group.recordPosition(at, p.target.ID, reply.Position)
	}
	t.conn = c
	return finalResult(Answer{})
}

// commit commits the transaction. Whatever the answer, the session is idle afterwards.
func (s *Session) commit(ctx context.Context, st Statement) Answer {
	t := s.tx
	if t == nil {
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
	defer func() {
		if t.conn != nil {
			// The commit was not carried out; closing the connection rolls back.
			t.fail(reasonUpstreamBusy)
		}
		s.tx = nil
	}()
	if t.failed {
		return refusalAnswer(rescode.TransactionAborted, t.reason)
	}
	if refusal := s.recheckAdmission(); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	t.op.deadline = time.Now().Add(t.op.route.StatementTimeout)
	if refusal := s.ensureBegun(ctx, st); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	return s.runWithRetries(ctx, t.op, st, func() attemptResult { return s.commitOnce(ctx, st) })
}

// commitOnce makes one attempt to commit. Only a commit that the upstream refused as busy,
// with the transaction still open, is retried.
func (s *Session) commitOnce(ctx context.Context, st Statement) attemptResult {
	t := s.tx
	if t.conn == nil {
		return finalResult(refusalAnswer(rescode.TransactionAborted, reasonLostTransaction))
	}
	at := clock.Now()
	upstream := t.conn.pool.target.ID
	reply, result := s.exchange(ctx, t.op, t.conn, t.op.deadline, st)
	switch {
	case result != nil:
		if t.conn.lostAnswer(*result) {
			t.conn.pool.recordFailure()
		}
		t.releaseConn()
		if result.answer.Refusal != nil {
			result.answer.Refusal.Upstream = upstream
		}
		return *result
	case reply.Outcome == Done:
		if t.wrote {
			s.recordCommit(t.op, at, upstream, reply.Position)
		}
		t.conn.broken = t.conn.broken || reply.State != Idle
		t.releaseConn()
		return finalResult(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case reply.Outcome == Busy && reply.State == InTransaction:
		return outcomeResult(Busy)
	}
	t.fail(reasonUpstreamFailed)
	if reply.Outcome.notRun() {
		s.engine.log.WithFields(logrus.Fields{"event": "commit_refused", "id": LoggedID(st.ID), "outcome": reply.Outcome.String(), "upstream": upstream}).
			Info("upstream refused a commit")
		return finalResult(Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonUpstreamBusy, RetryAfter: shortRetryAfter}})
	}
	return outcomeResult(reply.Outcome)
}

func (s *Session) rollback(ctx context.Context) Answer {
	t := s.tx
	if t == nil {
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
	t.rollBack(ctx, time.Now().Add(t.op.route.StatementTimeout))
	s.tx = nil
	return Answer{}
}
