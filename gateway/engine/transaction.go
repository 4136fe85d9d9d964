package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// transaction is an open transaction of a caller. It takes a connection with its first
// statement, so that a caller who pauses in front of it holds none.
type transaction struct {
	op *operation
	// readOnly transactions may run on a replica.
	readOnly bool
	conn     *upstreamConn
	wrote    bool
	failed   bool
	// reason says why a failed transaction failed.
	reason Reason
}

// fail marks the transaction as failed and gives up its connection, which rolls back.
func (t *transaction) fail(reason Reason) {
	t.failed, t.reason = true, reason
	if t.conn != nil {
		t.conn.broken = true
		t.releaseConn()
	}
}

func (t *transaction) releaseConn() {
	if t.conn == nil {
		return
	}
	t.conn.pool.release(t.conn)
	t.conn = nil
}

// rollBack ends the transaction at the upstream.
func (t *transaction) rollBack(deadline time.Time) {
	if t.conn == nil {
		return
	}
	replies, err := t.conn.roundTrip(deadline, Statement{Kind: Rollback})
	if err != nil || replies[0].State != Idle {
		t.conn.broken = true
	}
	t.releaseConn()
}

// begin opens a transaction. Nothing is sent yet.
func (s *Session) begin(ctx context.Context, st Statement) Answer {
	if s.tx != nil {
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
	op, refusal := s.admitOperation(ctx, st)
	if refusal != nil {
		return Answer{Refusal: refusal}
	}
	s.tx = &transaction{op: op, readOnly: st.Kind == BeginRead}
	return Answer{}
}

// runInTransaction runs a statement on the transaction's connection.
func (s *Session) runInTransaction(ctx context.Context, st Statement, writes bool) Answer {
	t := s.tx
	if refusal := s.recheckAdmission(); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	t.op.deadline = time.Now().Add(t.op.route.StatementTimeout)
	t.op.id = st.ID
	if refusal := s.ensureBegun(ctx, st); refusal != nil {
		s.returnToken(t.op, refusal)
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	at := clock.Now()
	reply, v := s.exchange(t.op, t.conn, t.op.deadline, st)
	if v != nil {
		return s.failLostTransaction(v)
	}
	if reply.Outcome == Done {
		t.wrote = t.wrote || writes
		if !t.readOnly {
			// The upstream refuses statements of a transaction once it has lost the lead.
			t.op.group.recordPosition(at, t.conn.pool.target.ID, reply.Position)
		}
		return Answer{Rows: reply.Rows, Digest: reply.Digest}
	}
	return s.failTransaction(reply)
}

// recheckAdmission checks the key, the route and the lease inside a transaction.
func (s *Session) recheckAdmission() *Refusal {
	op, refusal := s.admit()
	if refusal != nil {
		return refusal
	}
	if op.team != s.tx.op.team {
		return &Refusal{Code: rescode.KeyWithdrawn, Reason: reasonKeyWithdrawn}
	}
	return nil
}

// failTransaction ends a transaction of which a statement failed. All of it is
// rolled back, so the caller may repeat it, unless the statement itself is wrong.
func (s *Session) failTransaction(reply Reply) Answer {
	upstream := s.tx.conn.pool.target.ID
	answer := s.failureAnswer(reply)
	answer.Refusal.Upstream = upstream
	return answer
}

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

// failLostTransaction ends a transaction whose connection broke. No commit was sent, so
// the upstream rolls back.
func (s *Session) failLostTransaction(v *attemptResult) Answer {
	upstream := s.tx.conn.pool.target.ID
	s.tx.conn.pool.recordFailure()
	s.tx.fail(reasonLostTransaction)
	reason := reasonLostTransaction
	if v.answer.Refusal != nil {
		reason = v.answer.Refusal.Reason
	}
	return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reason, RetryAfter: shortRetryAfter, Upstream: upstream}}
}

// ensureBegun begins the transaction at an upstream, if that was not done yet.
func (s *Session) ensureBegun(ctx context.Context, st Statement) *Refusal {
	if s.tx.conn != nil {
		return nil
	}
	skip := map[string]bool{}
	answer := s.runWithRetries(s.tx.op, st, func(int) attemptResult { return s.beginOnce(ctx, skip) })
	return answer.Refusal
}

func (s *Session) beginOnce(ctx context.Context, skip map[string]bool) attemptResult {
	t := s.tx
	begin := Begin
	var p *pool
	if t.readOnly && t.op.route.Consistency != controlpb.Consistency_CONSISTENCY_PRIMARY {
		planned, ok := t.op.group.planRead(
			clock.Now(), t.op.route.MaxStaleness, s.engine.opts.Place, t.op.team, s.newestCommits[t.op.group.service], skip)
		if ok {
			begin, p = BeginRead, planned
		}
	}
	if p == nil {
		primary, refusal := s.engine.primary(t.op)
		if refusal != nil {
			return finalResult(Answer{Refusal: refusal})
		}
		p = primary
	}
	v := s.beginOn(ctx, p, begin)
	if v.retryable && begin == BeginRead && v.retryReason != retryPlanExpired {
		skip[p.target.ID] = true
	}
	return v
}

// beginOn begins on an upstream. The first statement waits for the answer: behind a
// refused beginning it would run by itself.
func (s *Session) beginOn(ctx context.Context, p *pool, kind Kind) attemptResult {
	t := s.tx
	l, refusal := p.acquire(ctx, t.op.team, t.op.deadline, t.op.maxConnectionWait())
	if refusal != nil {
		return acquireFailureResult(refusal)
	}
	begin := Statement{Kind: kind}
	at := clock.Now()
	if kind == BeginRead {
		minPosition, ok := t.op.group.minReadPosition(at, t.op.route.MaxStaleness, s.newestCommits[t.op.group.service])
		if !ok {
			p.release(l)
			return retryResult(retryPlanExpired, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: shortRetryAfter})
		}
		begin.MinPosition = minPosition
	}
	reply, v := s.exchange(t.op, l, attemptDeadline(t.op, p), begin)
	if v != nil || reply.Outcome != Done {
		p.release(l)
		if v != nil {
			p.recordNoAnswer(clock.Now() - at)
			return *v
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
	t.conn = l
	return finalResult(Answer{})
}

// commit ends the transaction. Behind it the session is idle, whatever the answer.
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
	t.op.id = st.ID
	if refusal := s.ensureBegun(ctx, st); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	return s.runWithRetries(t.op, st, func(int) attemptResult { return s.commitOnce(st) })
}

func (s *Session) commitOnce(st Statement) attemptResult {
	t := s.tx
	if t.conn == nil {
		return finalResult(refusalAnswer(rescode.TransactionAborted, reasonLostTransaction))
	}
	at := clock.Now()
	upstream := t.conn.pool.target.ID
	reply, v := s.exchange(t.op, t.conn, t.op.deadline, st)
	switch {
	case v != nil:
		t.conn.pool.recordFailure()
		t.releaseConn()
		if v.answer.Refusal != nil {
			v.answer.Refusal.Upstream = upstream
		}
		return *v
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
		s.engine.log.WithFields(logrus.Fields{"event": "commit_refused", "id": st.ID, "outcome": reply.Outcome.String(), "upstream": upstream}).
			Info("upstream refused a commit")
		return finalResult(Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonUpstreamBusy, RetryAfter: shortRetryAfter}})
	}
	return outcomeResult(reply.Outcome)
}

func (s *Session) rollback() Answer {
	t := s.tx
	if t == nil {
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
	t.rollBack(time.Now().Add(t.op.route.StatementTimeout))
	s.tx = nil
	return Answer{}
}
