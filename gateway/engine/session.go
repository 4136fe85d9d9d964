package engine

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/sessionmem"
	"github.com/jayloom/jayloom/policy/throttle"
)

const (
	// shortRetryAfter is when a caller may retry after a short overload.
	shortRetryAfter = 100 * time.Millisecond
	// failoverRetryAfter is when a caller may retry during a failover.
	failoverRetryAfter = 600 * time.Millisecond
	// publicTeam is the team of callers that use a public route without a key.
	publicTeam = ""
	// maxKeyBytes is the length of the longest key that a session presents.
	maxKeyBytes = 4 << 10
	// closeTimeout bounds the rollback when a session is closed inside a transaction.
	closeTimeout = 200 * time.Millisecond
)

// Session is the session of one caller connection. It is not safe for concurrent use.
type Session struct {
	engine   *Engine
	database string
	key      string

	// values holds the session's values by the digests of their names.
	values   map[textDigest]sessionValue
	prepared map[string]sessionStatement
	// state counts what values and prepared hold.
	state *sessionmem.Account
	// newestCommits holds the position of the session's newest commit for each service.
	newestCommits map[string]position.Position
	tx            *transaction

	relay rowRelay
	// phase holds the Phase of the current statement.
	phase atomic.Uint32
}

// OpenSession begins a session for a caller of a database, or refuses it.
func (e *Engine) OpenSession(database, key string) (*Session, *Refusal) {
	s := &Session{engine: e, database: strings.Clone(database), key: heldKey(key)}
	refusal := e.refuseBeginning(clock.Now())
	if refusal == nil {
		_, refusal = s.admit()
	}
	if refusal != nil {
		e.recordRefusal("", "open", refusal, nil)
		return nil, refusal
	}
	s.state = e.opts.SessionMemory.Open()
	metricSessions.Inc()
	return s, nil
}

// heldKey returns the key that a session keeps. Callers of public routes need none and may send any text; one above
// maxKeyBytes is no team's key.
func heldKey(key string) string {
	if len(key) > maxKeyBytes {
		return ""
	}
	return strings.Clone(key)
}

// operation is a single statement outside a transaction, or a whole transaction.
type operation struct {
	route *catalog.Route
	team  string
	// rate and burst are the limits of the team.
	rate, burst float64
	group       *group
	started     time.Duration
	deadline    time.Time
}

// admit checks that the caller may run a statement now. The result is not cached, because a
// route or a key may have been withdrawn since the last statement.
func (s *Session) admit() (*operation, *Refusal) {
	now := clock.Now()
	view := s.engine.opts.Control.View()
	if view.Catalog == nil {
		return nil, &Refusal{Code: rescode.ProxyDetached, Reason: reasonNoCatalog, RetryAfter: failoverRetryAfter}
	}
	if !s.engine.opts.Control.MayServe(now) {
		return nil, &Refusal{Code: rescode.ProxyDetached, Reason: reasonNoLease, RetryAfter: failoverRetryAfter}
	}
	route := view.Catalog.Route(s.database)
	if route == nil {
		return nil, &Refusal{Code: rescode.UnknownService, Reason: reasonUnknownDatabase}
	}
	op := &operation{
		route: route, group: s.engine.group(route.Service), started: now,
		deadline: time.Now().Add(route.StatementTimeout),
	}
	if route.Public {
		op.team = publicTeam
		return op, nil
	}
	team := view.Catalog.TeamByKey(s.key)
	if team == nil {
		return nil, &Refusal{Code: rescode.KeyWithdrawn, Reason: reasonUnknownKey}
	}
	op.team, op.rate, op.burst = team.Name, team.Rate, team.Burst
	return op, nil
}

// State returns the state of the session.
func (s *Session) State() State {
	switch {
	case s.tx == nil:
		return Idle
	case s.tx.failed:
		return FailedTransaction
	default:
		return InTransaction
	}
}

// IdleTimeout returns how long the session may stay idle in its current state; 0 means
// without limit.
func (s *Session) IdleTimeout() time.Duration {
	view := s.engine.opts.Control.View()
	if s.tx == nil || s.tx.failed || view.Catalog == nil {
		return 0
	}
	return view.Catalog.TransactionIdleTimeout
}

// AbortIdleTransaction aborts a transaction that has exceeded its idle timeout. The caller is
// told with the answer to its next statement.
func (s *Session) AbortIdleTransaction() {
	if s.tx == nil || s.tx.failed {
		return
	}
	s.tx.fail(reasonIdleTransaction)
	s.engine.log.WithFields(logrus.Fields{"event": "transaction_ended", "reason": string(reasonIdleTransaction)}).
		Info("idle transaction aborted")
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.dropState()
	if s.tx != nil {
		s.tx.rollBack(context.Background(), time.Now().Add(closeTimeout))
		s.tx = nil
	}
}

// Handle runs one statement.
func (s *Session) Handle(ctx context.Context, st Statement) Answer {
	started := clock.Now()
	s.setPhase(PhaseWaiting)
	s.relay.started = false
	a := s.dispatch(ctx, st)
	s.setPhase(PhaseAnswered)
	a.State = s.State()
	if a.Refusal != nil {
		a.Refusal.Elapsed = clock.Now() - started
		s.engine.recordRefusal(st.ID, st.Kind.String(), a.Refusal, s)
		a.Close = endsSession(a.Refusal.Code)
	}
	observeSeconds(metricStatementSeconds, clock.Now()-started)
	return a
}

// endsSession reports whether a session ends after a refusal.
func endsSession(code rescode.Code) bool {
	return code == rescode.KeyWithdrawn || code == rescode.UnknownService || code == rescode.ProxyDraining
}

// Reject returns the answer to a message that cannot be parsed or is too large.
func (s *Session) Reject(id string, tooLarge bool) Answer {
	a := refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	if tooLarge {
		a = refusalAnswer(rescode.PacketTooLarge, reasonBadStatement)
		a.Close = true
	}
	s.engine.recordRefusal(id, "unreadable", a.Refusal, s)
	a.State = s.State()
	return a
}

// RejectForMemory returns the answer to a message for which the node has no memory now. The session ends: the rest of
// the message is not read.
func (s *Session) RejectForMemory() Answer {
	a := Answer{Refusal: &Refusal{Code: rescode.QueueFull, Reason: reasonMessageMemory, RetryAfter: shortRetryAfter}, Close: true}
	s.engine.recordRefusal("", "unread", a.Refusal, s)
	a.State = s.State()
	return a
}

func (s *Session) dispatch(ctx context.Context, st Statement) Answer {
	if s.tx != nil && s.tx.failed && st.Kind != Commit && st.Kind != Rollback {
		return refusalAnswer(rescode.TransactionFailed, reasonFailedState)
	}
	switch st.Kind {
	case SetValue:
		return s.setValue(st)
	case Prepare:
		return s.prepare(st)
	case Forget:
		s.forget(st.Name)
		return Answer{}
	case Begin, BeginRead:
		return s.begin(st)
	case Commit:
		return s.commit(ctx, st)
	case Rollback:
		return s.rollback(ctx)
	case Read, Write, Execute:
		return s.runStatement(ctx, st)
	default:
		return refusalAnswer(rescode.MalformedPacket, reasonBadStatement)
	}
}

func refusalAnswer(code rescode.Code, reason Reason) Answer {
	return Answer{Refusal: &Refusal{Code: code, Reason: reason}}
}

// runStatement runs a read or a write, inside the session's transaction if there is one.
func (s *Session) runStatement(ctx context.Context, st Statement) Answer {
	if st.Kind == Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return refusalAnswer(rescode.UnknownStatement, reasonUnknownName)
		}
		st.Writes = p.writes
	}
	if s.tx != nil {
		return s.runInTransaction(ctx, st)
	}
	op, refusal := s.admitOperation(st)
	if refusal != nil {
		return Answer{Refusal: refusal}
	}
	answer := s.runSingle(ctx, op, st)
	s.returnAdmission(op, answer.Refusal)
	return answer
}

func (s *Session) runSingle(ctx context.Context, op *operation, st Statement) Answer {
	switch {
	case st.MayWrite():
		return s.write(ctx, op, st)
	case op.route.Consistency == controlpb.Consistency_CONSISTENCY_PRIMARY:
		return s.readPrimary(ctx, op, st)
	default:
		return s.read(ctx, op, st)
	}
}

// returnAdmission takes an operation that was refused without having run from the team's use.
func (s *Session) returnAdmission(op *operation, r *Refusal) {
	if r == nil || op.team == publicTeam {
		return
	}
	if info, ok := rescode.Lookup(r.Code); ok && info.Execution == rescode.NotRun {
		s.engine.opts.Gate.Refund(op.team)
	}
}

// admitOperation is like admit, but also counts the operation against the team's limits.
func (s *Session) admitOperation(st Statement) (*operation, *Refusal) {
	if refusal := s.engine.refuseBeginning(clock.Now()); refusal != nil {
		return nil, refusal
	}
	op, refusal := s.admit()
	if refusal != nil {
		return nil, refusal
	}
	if op.team == publicTeam {
		return op, nil
	}
	if reason := rateRefusalReason(s.engine.opts.Gate.Admit(op.started, op.team, op.rate, op.burst)); reason != "" {
		return nil, &Refusal{Code: rescode.RateExceeded, Reason: reason, RetryAfter: failoverRetryAfter}
	}
	return op, nil
}

// rateRefusalReason returns the reason for refusing a request, or nothing if it is admitted.
func rateRefusalReason(v throttle.Verdict) Reason {
	switch v {
	case throttle.Admitted:
		return ""
	case throttle.Limited:
		return reasonRate
	case throttle.LimitedHere:
		return reasonRateHere
	default:
		return reasonRateUnknown
	}
}

// recordRefusal counts and logs a refusal.
func (e *Engine) recordRefusal(id, statement string, r *Refusal, s *Session) {
	countRefusal(r.Code, r.Reason)
	fields := e.refusalFields(id, statement, r, s)
	if s != nil && isStateRefusal(r) {
		team, _ := fields["team"].(string)
		if !e.startStateRefusalLog(clock.Now(), team) {
			return
		}
		s.addStateFields(fields)
	}
	e.log.WithFields(fields).Info("request refused")
}

// refusalFields returns the fields of the log line about a refusal. s is nil if the session was not opened.
func (e *Engine) refusalFields(id, statement string, r *Refusal, s *Session) logrus.Fields {
	fields := logrus.Fields{
		"event": "refused", "id": LoggedID(id), "statement": statement, "code": uint32(r.Code), "result": r.Code.String(),
		"reason": string(r.Reason), "retry_after_ms": r.RetryAfter.Milliseconds(),
		"upstream": r.Upstream, "elapsed_ms": r.Elapsed.Milliseconds(),
	}
	view := e.opts.Control.View()
	if view.Catalog != nil {
		fields["catalog"] = view.Catalog.Version
		fields["topology"] = view.Topology.GetRevision()
		fields["leader"] = view.Leader
	}
	if s != nil {
		fields["database"] = s.database
		if view.Catalog != nil {
			if team := view.Catalog.TeamByKey(s.key); team != nil {
				fields["team"] = team.Name
			}
		}
	}
	return fields
}

// String returns the name of the kind in logs.
func (k Kind) String() string {
	names := [...]string{
		"none", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "forget", "reset",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}
