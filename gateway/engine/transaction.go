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
	link     *link
	wrote    bool
	failed   bool
	// reason says why a failed transaction failed.
	reason Reason
}

// fail marks the transaction as failed and gives up its connection, which rolls back.
func (t *transaction) fail(reason Reason) {
	t.failed, t.reason = true, reason
	if t.link != nil {
		t.link.broken = true
		t.giveBack()
	}
}

func (t *transaction) giveBack() {
	if t.link == nil {
		return
	}
	t.link.pool.release(t.link)
	t.link = nil
}

// rollBack ends the transaction at the upstream.
func (t *transaction) rollBack(deadline time.Time) {
	if t.link == nil {
		return
	}
	replies, err := t.link.ask(deadline, Statement{Kind: Rollback})
	if err != nil || replies[0].State != Idle {
		t.link.broken = true
	}
	t.giveBack()
}

// begin opens a transaction. Nothing is sent yet.
func (s *Session) begin(ctx context.Context, st Statement) Answer {
	if s.tx != nil {
		return refuse(rescode.MalformedPacket, reasonBadStatement)
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
	if refusal := s.stillAdmitted(); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	t.op.deadline = time.Now().Add(t.op.route.StatementTimeout)
	t.op.id = st.ID
	if refusal := s.connect(ctx, st); refusal != nil {
		s.returnToken(t.op, refusal)
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	at := clock.Now()
	reply, v := s.exchange(t.op, t.link, t.op.deadline, st)
	if v != nil {
		return s.lostInTransaction(v)
	}
	if reply.Outcome == Done {
		t.wrote = t.wrote || writes
		if !t.readOnly {
			// The upstream refuses statements of a transaction once it has lost the lead.
			t.op.group.observed(at, t.link.pool.target.ID, reply.Position)
		}
		return Answer{Rows: reply.Rows, Digest: reply.Digest}
	}
	return s.failedInTransaction(reply)
}

// stillAdmitted checks the key, the route and the lease inside a transaction.
func (s *Session) stillAdmitted() *Refusal {
	op, refusal := s.admit()
	if refusal != nil {
		return refusal
	}
	if op.team != s.tx.op.team {
		return &Refusal{Code: rescode.KeyWithdrawn, Reason: reasonKeyWithdrawn}
	}
	return nil
}

// failedInTransaction ends a transaction of which a statement failed. All of it is
// rolled back, so the caller may repeat it, unless the statement itself is wrong.
func (s *Session) failedInTransaction(reply Reply) Answer {
	upstream := s.tx.link.pool.target.ID
	answer := s.endFailed(reply)
	answer.Refusal.Upstream = upstream
	return answer
}

func (s *Session) endFailed(reply Reply) Answer {
	t := s.tx
	switch reply.Outcome {
	case ReadOnly:
		t.op.group.lostLead(t.link.pool.target.ID)
		t.fail(reasonNoPrimary)
		return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonNoPrimary, RetryAfter: retryFailover}}
	case Failed, TimedOut, Rejected:
		answer := outcomeVerdict(reply.Outcome).answer
		t.fail(reasonUpstreamFailed)
		return answer
	default:
		t.fail(reasonUpstreamBusy)
		return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonUpstreamBusy, RetryAfter: retrySoon}}
	}
}

// lostInTransaction ends a transaction whose connection broke. No commit was sent, so
// the upstream rolls back.
func (s *Session) lostInTransaction(v *verdict) Answer {
	upstream := s.tx.link.pool.target.ID
	s.tx.link.pool.failed()
	s.tx.fail(reasonLostTransaction)
	reason := reasonLostTransaction
	if v.answer.Refusal != nil {
		reason = v.answer.Refusal.Reason
	}
	return Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reason, RetryAfter: retrySoon, Upstream: upstream}}
}

// connect begins the transaction at an upstream, if that was not done yet.
func (s *Session) connect(ctx context.Context, st Statement) *Refusal {
	if s.tx.link != nil {
		return nil
	}
	skip := map[string]bool{}
	answer := s.attempts(s.tx.op, st, func(int) verdict { return s.connectOnce(ctx, skip) })
	return answer.Refusal
}

func (s *Session) connectOnce(ctx context.Context, skip map[string]bool) verdict {
	t := s.tx
	begin := Begin
	var p *pool
	if t.readOnly && t.op.route.Consistency != controlpb.Consistency_CONSISTENCY_PRIMARY {
		planned, ok := t.op.group.planRead(
			clock.Now(), t.op.route.MaxStaleness, s.engine.opts.Place, t.op.team, s.newest[t.op.group.service], skip)
		if ok {
			begin, p = BeginRead, planned
		}
	}
	if p == nil {
		primary, refusal := s.engine.primary(t.op)
		if refusal != nil {
			return final(Answer{Refusal: refusal})
		}
		p = primary
	}
	v := s.beginOn(ctx, p, begin)
	if v.again && begin == BeginRead && v.retry != retryStale {
		skip[p.target.ID] = true
	}
	return v
}

// beginOn begins on an upstream. The first statement waits for the answer: behind a
// refused beginning it would run by itself.
func (s *Session) beginOn(ctx context.Context, p *pool, kind Kind) verdict {
	t := s.tx
	l, refusal := p.acquire(ctx, t.op.team, t.op.deadline, t.op.patience())
	if refusal != nil {
		return acquireVerdict(refusal)
	}
	begin := Statement{Kind: kind}
	at := clock.Now()
	if kind == BeginRead {
		floor, ok := t.op.group.floor(at, t.op.route.MaxStaleness, s.newest[t.op.group.service])
		if !ok {
			p.release(l)
			return again(retryStale, Refusal{Code: rescode.NoUpstream, Reason: reasonNoReplica, RetryAfter: retrySoon})
		}
		begin.MinPosition = floor
	}
	reply, v := s.exchange(t.op, l, attemptDeadline(t.op, p), begin)
	if v != nil || reply.Outcome != Done {
		p.release(l)
		if v != nil {
			p.unanswered(clock.Now() - at)
			return *v
		}
		switch reply.Outcome {
		case Behind:
			p.wasBehind()
		case ReadOnly:
			t.op.group.lostLead(p.target.ID)
		}
		return outcomeVerdict(reply.Outcome)
	}
	if kind == Begin {
		t.op.group.observed(at, p.target.ID, reply.Position)
	}
	t.link = l
	return final(Answer{})
}

// commit ends the transaction. Behind it the session is idle, whatever the answer.
func (s *Session) commit(ctx context.Context, st Statement) Answer {
	t := s.tx
	if t == nil {
		return refuse(rescode.MalformedPacket, reasonBadStatement)
	}
	defer func() {
		if t.link != nil {
			// The commit was not carried out; closing the connection rolls back.
			t.fail(reasonUpstreamBusy)
		}
		s.tx = nil
	}()
	if t.failed {
		return refuse(rescode.TransactionAborted, t.reason)
	}
	if refusal := s.stillAdmitted(); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	t.op.deadline = time.Now().Add(t.op.route.StatementTimeout)
	t.op.id = st.ID
	if refusal := s.connect(ctx, st); refusal != nil {
		t.fail(refusal.Reason)
		return Answer{Refusal: refusal}
	}
	return s.attempts(t.op, st, func(int) verdict { return s.commitOnce(st) })
}

func (s *Session) commitOnce(st Statement) verdict {
	t := s.tx
	if t.link == nil {
		return final(refuse(rescode.TransactionAborted, reasonLostTransaction))
	}
	at := clock.Now()
	upstream := t.link.pool.target.ID
	reply, v := s.exchange(t.op, t.link, t.op.deadline, st)
	switch {
	case v != nil:
		t.link.pool.failed()
		t.giveBack()
		if v.answer.Refusal != nil {
			v.answer.Refusal.Upstream = upstream
		}
		return *v
	case reply.Outcome == Done:
		if t.wrote {
			s.committed(t.op, at, upstream, reply.Position)
		}
		t.link.broken = t.link.broken || reply.State != Idle
		t.giveBack()
		return final(Answer{Rows: reply.Rows, Digest: reply.Digest})
	case reply.Outcome == Busy && reply.State == InTransaction:
		return outcomeVerdict(Busy)
	}
	t.fail(reasonUpstreamFailed)
	if reply.Outcome.notRun() {
		s.engine.log.WithFields(logrus.Fields{"event": "commit_refused", "id": st.ID, "outcome": reply.Outcome.String(), "upstream": upstream}).
			Info("upstream refused a commit")
		return final(Answer{Refusal: &Refusal{Code: rescode.TransactionAborted, Reason: reasonUpstreamBusy, RetryAfter: retrySoon}})
	}
	return outcomeVerdict(reply.Outcome)
}

func (s *Session) rollback() Answer {
	t := s.tx
	if t == nil {
		return refuse(rescode.MalformedPacket, reasonBadStatement)
	}
	t.rollBack(time.Now().Add(t.op.route.StatementTimeout))
	s.tx = nil
	return Answer{}
}
