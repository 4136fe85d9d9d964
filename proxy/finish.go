package proxy

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
)

// mayRetry reports whether a request outside a transaction runs again. Only a request
// that was not sent, or a read on a replica that is behind, may be retried without an
// idempotent route or a request identity.
func (s *caller) mayRetry(held *heldConn, r *request, res result) bool {
	if r.ctx.Err() != nil || held == s.sessionConn || s.batch.started {
		return false
	}
	switch res.kind {
	case resultUnsent:
		metricRetries[retryNotSent].Inc()
		return true
	case resultBehind:
		r.primaryOnly, r.readReason = true, readCheckFailed
		return true
	case resultLost, resultUnleased:
	default:
		return false
	}
	repeatable := r.plan.Idempotent || r.hasIdentity()
	if !repeatable || res.forwarded {
		return false
	}
	if !s.server.retries.tryWithdraw(s.team) {
		metricRetries[retryBudgetExhausted].Inc()
		return false
	}
	if !held.target.primary {
		r.primaryOnly, r.readReason = true, readReplicaLost
	}
	if res.kind == resultUnleased {
		metricRetries[retryPrimaryNotLeased].Inc()
	} else {
		metricRetries[retryAnswerLost].Inc()
	}
	return true
}

// releaseAttempt returns the connection of an attempt that is followed by another.
func (s *caller) releaseAttempt(held *heldConn, res result) {
	pool := held.conn.pool
	if res.kind != resultBehind {
		pool.discard(held.conn)
		return
	}
	pool.release(held.conn)
}

// finishRequest keeps, releases or closes the connection and turns the result into an
// answer. The first error is sent to the caller; the second ends its connection.
func (s *caller) finishRequest(held *heldConn, r *request, res result) (*rescode.Error, error) {
	switch res.kind {
	case resultDone:
		s.countRead(held, r)
		s.keepOrRelease(held, r, res.effects)
		return nil, nil
	case resultRefused:
		return s.finishRefused(held, r, res)
	case resultCallerGone:
		gone := s.goneOutcome(held, r, res.err)
		s.discardConn(held)
		return nil, gone
	case resultUnsent:
		// Only a connection with session state, or a session that was ended, gets here; other
		// requests are retried.
		unsent := s.lastOutcome(firstError(s.endReason(), rescode.New(rescode.UpstreamLost, "upstream %s", held.target.pool.address)))
		s.discardConn(held)
		return nil, unsent
	}
	lost := s.lostAnswerError(held, r, res)
	hadState := s.sessionConn == held
	s.discardConn(held)
	if hadState || closesConnection(lost.Code) {
		// Without the session state, the next statements could have another meaning.
		return nil, lost
	}
	return lost, nil
}

// goneOutcome returns what a caller is told whose request ended in the middle of its COPY
// data. The COPY has no effect, but an earlier COMMIT of the same request may have one.
func (s *caller) goneOutcome(held *heldConn, r *request, err error) error {
	var reason *rescode.Error
	if errors.As(err, &reason) && (r.mayCommit() || s.batch.mayCommit) {
		return rescode.New(rescode.AnswerLost, "upstream %s", held.target.pool.address)
	}
	return s.lastOutcome(err)
}

func firstError(reason, other *rescode.Error) error {
	if reason != nil {
		return reason
	}
	return other
}

// lostAnswerError returns the error for a lost answer. Only work that certainly had no
// effect is reported as not run.
func (s *caller) lostAnswerError(held *heldConn, r *request, res result) *rescode.Error {
	address := held.target.pool.address
	if res.uncommitted && res.kind == resultLost {
		return rescode.New(rescode.UpstreamLost, "upstream %s", address)
	}
	if res.startTx != txIdle && !r.mayCommit() && !s.batch.mayCommit {
		return s.transactionLostError(held.target)
	}
	if res.startTx == txIdle && !r.sync && !s.batch.mayCommit && !r.plan.Read {
		// The batch's implicit transaction commits with the Sync that was not sent.
		return s.transactionLostError(held.target)
	}
	if !held.target.primary || r.plan.Read {
		return rescode.New(rescode.AnswerLost, "upstream %s", address)
	}
	if s.isPrimaryReplaced(held.target) {
		return rescode.New(rescode.PrimaryReplaced, "upstream %s", address)
	}
	if res.kind == resultUnleased {
		return rescode.New(rescode.WriteWithoutLease, "group %q, term %d", held.target.group, held.target.term)
	}
	return rescode.New(rescode.AnswerLost, "upstream %s", address)
}

func (r *request) mayCommit() bool {
	if r.hasUnknown {
		return true
	}
	for _, sql := range r.statements {
		if mayCommit(sql) {
			return true
		}
	}
	return false
}

// isPrimaryReplaced reports whether the term in which a request was sent has ended or
// was fenced.
func (s *caller) isPrimaryReplaced(t target) bool {
	group, ok := s.server.view.Current().Groups[t.group]
	return !ok || !group.Healthy || group.Term != t.term
}

// finishRefused replaces an answer that has arrived by an error.
func (s *caller) finishRefused(held *heldConn, r *request, res result) (*rescode.Error, error) {
	s.keepOrRelease(held, r, res.effects)
	if closesConnection(res.refused.Code) {
		return nil, res.refused
	}
	return res.refused, nil
}

// outcomeOfAttempts returns what is known about a request after its last attempt was
// refused. That this one has not run says nothing about an earlier one.
func outcomeOfAttempts(earlier, refused *rescode.Error) *rescode.Error {
	if earlier == nil || refused == nil || !isNotRun(refused) {
		return refused
	}
	return finalOutcome(earlier, refused)
}

// errorOfAttempts is outcomeOfAttempts for an error that ends the session.
func errorOfAttempts(earlier *rescode.Error, err error) error {
	var refused *rescode.Error
	if !errors.As(err, &refused) {
		return err
	}
	return outcomeOfAttempts(earlier, refused)
}

// discardConn closes a connection after a failure, which ends any transaction on it.
func (s *caller) discardConn(held *heldConn) {
	if s.txConn == held {
		s.txConn = nil
	}
	if s.sessionConn == held {
		s.sessionConn = nil
	}
	s.tx = txIdle
	s.batch.markConnLost()
	held.conn.pool.discard(held.conn)
}

// keepOrRelease keeps a connection for an open transaction or batch, or for session
// state, and otherwise releases it to the pool.
func (s *caller) keepOrRelease(held *heldConn, r *request, effects tagEffects) {
	if effects.discards && s.sessionConn == held {
		s.sessionConn = nil
		held.conn.pool.unpin(held.conn)
	}
	if effects.discards && s.endsWithDiscard(held, r) {
		held.conn.lastSession = noSession
	}
	if s.sessionConn == nil && leavesSessionState(r, effects) {
		s.sessionConn = held
		held.conn.lastSession = s.id
		s.pinConn(held.conn)
	}
	if s.tx != txIdle || !r.sync {
		if s.txConn == nil {
			s.txPlan, s.txTag = r.plan, r.tag
		}
		s.txConn = held
		s.batch.started = s.batch.started || !r.sync
		return
	}
	s.txConn = nil
	s.portals = nil
	if s.sessionConn != held {
		held.conn.pool.release(held.conn)
	}
}

// pinConn pins a connection, with the request's permit if it is from the same pool.
func (s *caller) pinConn(conn *upstreamConn) {
	permitted := s.pinPermit == conn.pool
	if permitted {
		s.pinPermit = nil
	}
	conn.pool.pin(conn, permitted)
}

// leavesSessionState reports whether a request leaves session state that ties the caller
// to its connection.
func leavesSessionState(r *request, effects tagEffects) bool {
	if effects.discards && r.hasSingleStatement() {
		return false
	}
	return effects.pins || r.pinsByText()
}

// endsWithDiscard reports whether a connection has no session state after a request with a DISCARD ALL, because
// nothing followed it.
func (s *caller) endsWithDiscard(held *heldConn, r *request) bool {
	return r.sync && r.hasSingleStatement() && !s.batch.started && len(held.conn.prepared) == 0
}

// hasSingleStatement reports whether the request runs one statement, whose text is known.
func (r *request) hasSingleStatement() bool {
	return len(r.statements) == 1 && !r.hasUnknown && isSingleStatement(r.statements[0])
}

func (r *request) pinsByText() bool {
	for _, sql := range r.statements {
		if pinsByText(sql) {
			return true
		}
	}
	return false
}

// countRead counts a read by where and why it was served there.
func (s *caller) countRead(held *heldConn, r *request) {
	if !r.plan.Read || r.readReason == "" {
		return
	}
	counters := metricReadsPrimary
	if !held.target.primary {
		counters = metricReadsReplica
	}
	if counter, ok := counters[r.readReason]; ok {
		counter.Inc()
	}
}

func (s *caller) sendReady() {
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
}
