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
	// firstStatementTime is the time behind the beginning of a session in which the statement arrives for which a
	// caller opened it.
	firstStatementTime = 50 * time.Millisecond
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

	// waitedSince is when the caller asked for the session, if it had to wait for the node's configuration; openedAt
	// is when the session began.
	waitedSince, openedAt time.Duration

	relay rowRelay
	// phase holds the Phase of the current statement.
	phase atomic.Uint32
}

// OpenSession begins a session for a caller of a database, or refuses it. While the node has just started and has no
// configuration yet, it waits for that, until the end of ctx at most.
func (e *Engine) OpenSession(ctx context.Context, database, key string) (*Session, *Refusal) {
	s := &Session{engine: e, database: strings.Clone(database), key: heldKey(key)}
	arrived := clock.Now()
	refusal := s.refuseOpening()
	if refusal != nil && refusal.lacksConfiguration() && e.opening.wait(ctx, s.database, len(s.database)+len(s.key)) {
		s.waitedSince = arrived
		refusal = s.refuseOpening()
	}
	if refusal != nil {
		refusal.Elapsed = clock.Now() - arrived
		e.recordRefusal("", "open", refusal, s)
		return nil, refusal
	}
	e.opening.markOpened()
	s.openedAt = clock.Now()
	s.state = e.opts.SessionMemory.Open()
	metricSessions.Inc()
	return s, nil
}

// refuseOpening returns a refusal if the session may not begin now.
func (s *Session) refuseOpening() *Refusal {
	if refusal := s.engine.refuseBeginning(clock.Now()); refusal != nil {
		return refusal
	}
	_, refusal := s.admit()
	return refusal
}

// lacksConfiguration reports whether the node has no configuration that it may use.
func (r *Refusal) lacksConfiguration() bool {
	return r.Reason == reasonNoCatalog || r.Reason == reasonNoLease
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
	// teamRegions are the home regions of the team, empty if it has none.
	teamRegions []string
	group       *group
	started     time.Duration
	deadline    time.Time
	// objectiveEnd is when the latency objective ends. For a transaction it is counted from its
	// first statement.
	objectiveEnd time.Duration
	// maxWait bounds the wait of the next attempt for a connection besides; 0 means that it does not.
	maxWait time.Duration
	// repeated is set for further attempts of the node for the same statement.
	repeated bool
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
		deadline: time.Now().Add(route.StatementTimeout), objectiveEnd: s.askedAt(now) + route.LatencyObjective,
	}
	if route.Public {
		op.team = publicTeam
		return op, nil
	}
	team := view.Catalog.TeamByKey(s.key)
	if team == nil {
		return nil, &Refusal{Code: rescode.KeyWithdrawn, Reason: reasonUnknownKey}
	}
	op.team, op.rate, op.burst, op.teamRegions = team.Name, team.Rate, team.Burst, team.Regions
	return op, nil
}

// askedAt returns since when the caller has waited for the answer to a statement that arrived now. A statement that
// follows the beginning of the session at once is what the caller opened it for.
func (s *Session) askedAt(now time.Duration) time.Duration {
	if s.waitedSince != 0 && now-s.openedAt < firstStatementTime {
		return s.waitedSince
	}
	return now
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
	if r == nil || op.team == publicTeam || !r.promisesNotRun() {
		return
	}
	s.engine.opts.Gate.Refund(op.team)
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
	if isStateRefusal(r) {
		team, _ := fields["team"].(string)
		if !e.startStateRefusalLog(clock.Now(), team) {
			return
		}
		s.addStateFields(fields)
	}
	e.log.WithFields(fields).Info("request refused")
}

// refusalFields returns the fields of the log line about a refusal.
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
	fields["database"] = logged(s.database)
	if view.Catalog == nil {
		return fields
	}
	if team := view.Catalog.TeamByKey(s.key); team != nil {
		fields["team"] = team.Name
	}
	if route := view.Catalog.Route(s.database); route != nil {
		fields["priority"], fields["objective_ms"] = route.Priority, route.LatencyObjective.Milliseconds()
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
