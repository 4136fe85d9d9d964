package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
)

// mayRetry decides whether a request outside a transaction runs again. Only what
// was not sent, and reads that a replica could not prove, need no idempotent route.
func (s *caller) mayRetry(held *heldConn, r *request, res result) bool {
	if r.ctx.Err() != nil || held == s.pinned || s.batch.started {
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
	repeatable := r.plan.Idempotent || r.identified()
	if !repeatable || res.forwarded {
		return false
	}
	if !s.server.retries.spend(s.team) {
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

// abandon gives back the connection of an attempt that is followed by another.
func (s *caller) abandon(held *heldConn, res result) {
	pool := held.conn.pool
	if res.kind != resultBehind {
		pool.discard(held.conn)
		return
	}
	pool.release(held.conn)
}

// conclude settles the connection and turns the result into an answer.
func (s *caller) conclude(held *heldConn, r *request, res result) (*rescode.Error, error) {
	switch res.kind {
	case resultDone:
		s.countRead(held, r)
		s.settle(held, r, res.effects)
		return nil, nil
	case resultRefused:
		return s.concludeRefused(held, r, res)
	case resultCallerGone:
		s.drop(held)
		return nil, res.err
	case resultUnsent:
		s.drop(held)
		// Only a connection with session state gets here; others are tried again.
		return nil, errOr(s.endReason(), rescode.New(rescode.UpstreamLost, "upstream %s", held.target.pool.address))
	}
	code := s.lossCode(held, r, res)
	hadState := s.pinned == held
	s.drop(held)
	if hadState || closesConnection(code.Code) {
		// Going on without the session state could mean something else.
		return nil, code
	}
	return code, nil
}

func errOr(reason, other *rescode.Error) error {
	if reason != nil {
		return reason
	}
	return other
}

// lossCode names the loss of an answer. Only work that surely had no effect is
// reported as not run.
func (s *caller) lossCode(held *heldConn, r *request, res result) *rescode.Error {
	address := held.target.pool.address
	if res.uncommitted && res.kind == resultLost {
		return rescode.New(rescode.UpstreamLost, "upstream %s", address)
	}
	if res.startTx != txIdle && !r.mayCommit() && !s.batch.mayCommit {
		return s.transactionAbortedError(held.target)
	}
	if res.startTx == txIdle && !r.sync && !s.batch.mayCommit && !r.plan.Read {
		// The batch's implicit transaction commits with the Sync that was not sent.
		return s.transactionAbortedError(held.target)
	}
	if !held.target.primary || r.plan.Read {
		return rescode.New(rescode.AnswerLost, "upstream %s", address)
	}
	if s.replaced(held.target) {
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

// replaced reports whether the term in which a request was sent is over or fenced.
func (s *caller) replaced(t target) bool {
	group, ok := s.server.view.Current().Groups[t.group]
	return !ok || !group.Healthy || group.Term != t.term
}

// concludeRefused answers with a code in place of an answer that has come.
func (s *caller) concludeRefused(held *heldConn, r *request, res result) (*rescode.Error, error) {
	s.settle(held, r, res.effects)
	if closesConnection(res.refused.Code) {
		return nil, res.refused
	}
	return res.refused, nil
}

// drop closes a connection after a failure; a transaction on it is over.
func (s *caller) drop(held *heldConn) {
	if s.bound == held {
		s.bound = nil
	}
	if s.pinned == held {
		s.pinned = nil
	}
	s.tx = txIdle
	s.batch.markConnLost()
	held.conn.pool.discard(held.conn)
}

// settle decides what becomes of a connection after an answer: it stays with an
// open transaction or batch, or with session state, or goes back to the pool.
func (s *caller) settle(held *heldConn, r *request, effects tagEffects) {
	if effects.discards {
		held.conn.clearSessionState()
		s.statements.clear()
	}
	if effects.deallocate {
		s.statements.clear()
		clear(held.conn.prepared)
	}
	if effects.discards && s.pinned == held {
		s.pinned = nil
		held.conn.pool.unpin(held.conn)
	}
	if s.pinned == nil && keepsState(r, effects) {
		s.pinned = held
		s.pin(held.conn)
	}
	if s.tx != txIdle || !r.sync {
		if s.bound == nil {
			s.txPlan, s.txTag = r.plan, r.tag
		}
		s.bound = held
		s.batch.started = s.batch.started || !r.sync
		return
	}
	s.bound = nil
	s.portals = nil
	if s.pinned != held {
		held.conn.pool.release(held.conn)
	}
}

// pin keeps a connection, with the request's permit if it is one of the same pool.
func (s *caller) pin(conn *upstreamConn) {
	permitted := s.pinPermit == conn.pool
	if permitted {
		s.pinPermit = nil
	}
	conn.pool.pin(conn, permitted)
}

// keepsState reports whether a request leaves session state that ties the caller to
// its connection.
func keepsState(r *request, effects tagEffects) bool {
	return !effects.discards && (effects.pins || r.pins())
}

func (r *request) pins() bool {
	for _, sql := range r.statements {
		if pinsByText(sql) {
			return true
		}
	}
	return false
}

// countRead counts where a read was served.
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

// readyAfter answers with ReadyForQuery.
func (s *caller) readyAfter() {
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
}
