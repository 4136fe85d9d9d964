package engine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// retrySoon is when a refused caller may return after a short shortage.
	retrySoon = 100 * time.Millisecond
	// retryFailover is when it may return while a primary is replaced.
	retryFailover = 600 * time.Millisecond
	// publicTeam is the team of callers without a key.
	publicTeam = ""
	// rateWait bounds the wait for a request token while the team's bucket is empty.
	rateWait = 100 * time.Millisecond
	// tokenShare is the part of the latency objective that a caller waits for a token
	// which nobody grants; a later one would come too late.
	tokenShare   = 0.25
	minTokenWait = 30 * time.Millisecond
	// endTimeout bounds the rollback when a session ends inside a transaction.
	endTimeout = 200 * time.Millisecond
)

// Session is one caller's connection. It has one user at a time.
type Session struct {
	engine   *Engine
	database string
	key      string

	values   map[string]string
	prepared map[string]prepared
	// newest holds, by service, the position of the session's newest commit.
	newest map[string]position.Position
	tx     *transaction
}

// Open begins a session, or refuses it.
func (e *Engine) Open(database, key string) (*Session, *Refusal) {
	s := &Session{engine: e, database: database, key: key}
	if _, refusal := s.admit(); refusal != nil {
		e.refused("", "open", refusal, nil)
		return nil, refusal
	}
	metricSessions.Inc()
	return s, nil
}

// operation is a single statement outside a transaction, or a whole transaction.
type operation struct {
	id       string
	route    *catalog.Route
	team     string
	group    *group
	started  time.Duration
	deadline time.Time
}

// admit checks that the caller may run something now. Nothing is cached: a route or a
// key may have been withdrawn since the last statement.
func (s *Session) admit() (*operation, *Refusal) {
	now := clock.Now()
	view := s.engine.opts.Fleet.View()
	if view.Catalog == nil {
		return nil, &Refusal{Code: rescode.ProxyDetached, Reason: reasonNoCatalog, RetryAfter: retryFailover}
	}
	if !s.engine.opts.Fleet.MayServe(now) {
		return nil, &Refusal{Code: rescode.ProxyDetached, Reason: reasonDetached, RetryAfter: retryFailover}
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
	op.team = team.Name
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

// IdleLimit returns how long the session may stay as it is; 0 means for ever.
func (s *Session) IdleLimit() time.Duration {
	view := s.engine.opts.Fleet.View()
	if s.tx == nil || s.tx.failed || view.Catalog == nil {
		return 0
	}
	return view.Catalog.TransactionIdleTimeout
}

// EndIdle ends a transaction that was idle for too long. The caller learns of it with
// its next statement.
func (s *Session) EndIdle() {
	if s.tx == nil || s.tx.failed {
		return
	}
	s.tx.fail(reasonIdleTransaction)
	s.engine.log.WithFields(logrus.Fields{"event": "transaction_ended", "reason": string(reasonIdleTransaction)}).
		Info("idle transaction ended")
}

// End ends the session. An open transaction is rolled back.
func (s *Session) End() {
	if s.tx != nil {
		s.tx.rollBack(time.Now().Add(endTimeout))
		s.tx = nil
	}
}

// Handle runs one statement.
func (s *Session) Handle(ctx context.Context, st Statement) Answer {
	started := clock.Now()
	a := s.dispatch(ctx, st)
	a.State = s.State()
	if a.Refusal != nil {
		a.Refusal.Elapsed = clock.Now() - started
		s.engine.refused(st.ID, st.Kind.String(), a.Refusal, s)
		a.Close = a.Refusal.Code == rescode.KeyWithdrawn || a.Refusal.Code == rescode.UnknownService
	}
	observeSeconds(metricStatementSeconds, clock.Now()-started)
	return a
}

// Reject answers a message that cannot be read.
func (s *Session) Reject(id string, tooLarge bool) Answer {
	a := refuse(rescode.MalformedPacket, reasonBadStatement)
	if tooLarge {
		a = refuse(rescode.PacketTooLarge, reasonBadStatement)
		a.Close = true
	}
	s.engine.refused(id, "unreadable", a.Refusal, s)
	a.State = s.State()
	return a
}

func (s *Session) dispatch(ctx context.Context, st Statement) Answer {
	if s.tx != nil && s.tx.failed && st.Kind != Commit && st.Kind != Rollback {
		return refuse(rescode.TransactionFailed, reasonFailedState)
	}
	switch st.Kind {
	case SetValue:
		s.setValue(st.Name, st.Value)
		return Answer{}
	case Prepare:
		s.prepare(st)
		return Answer{}
	case Forget:
		delete(s.prepared, st.Name)
		return Answer{}
	case Begin, BeginRead:
		return s.begin(ctx, st)
	case Commit:
		return s.commit(ctx, st)
	case Rollback:
		return s.rollback()
	case Read, Write, Execute:
		return s.run(ctx, st)
	default:
		return refuse(rescode.MalformedPacket, reasonBadStatement)
	}
}

func (s *Session) setValue(name, value string) {
	// Links compare values with those of the session, so a map is never shared.
	if s.values == nil {
		s.values = map[string]string{}
	}
	s.values[name] = value
}

func (s *Session) prepare(st Statement) {
	if s.prepared == nil {
		s.prepared = map[string]prepared{}
	}
	s.prepared[st.Name] = prepared{writes: st.Writes, shape: st.Shape}
}

func refuse(code rescode.Code, reason Reason) Answer {
	return Answer{Refusal: &Refusal{Code: code, Reason: reason}}
}

// run runs a read or a write, in the session's transaction or as one of its own.
func (s *Session) run(ctx context.Context, st Statement) Answer {
	writes := st.Kind == Write
	if st.Kind == Execute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return refuse(rescode.UnknownStatement, reasonUnknownName)
		}
		writes = p.writes
	}
	if s.tx != nil {
		return s.runInTransaction(ctx, st, writes)
	}
	op, refusal := s.admitOperation(ctx, st)
	if refusal != nil {
		return Answer{Refusal: refusal}
	}
	answer := s.runSingle(ctx, op, st, writes)
	s.returnToken(op, answer.Refusal)
	return answer
}

func (s *Session) runSingle(ctx context.Context, op *operation, st Statement, writes bool) Answer {
	switch {
	case writes:
		return s.write(ctx, op, st)
	case op.route.Consistency == controlpb.Consistency_CONSISTENCY_PRIMARY:
		return s.readPrimary(ctx, op, st)
	default:
		return s.read(ctx, op, st)
	}
}

// returnToken gives the operation's request token back if it has not run.
func (s *Session) returnToken(op *operation, r *Refusal) {
	if r == nil || op.team == publicTeam {
		return
	}
	if info, ok := rescode.Lookup(r.Code); ok && info.Execution == rescode.NotRun {
		s.engine.opts.Tokens.Refund(clock.Now(), op.team)
	}
}

// admitOperation also takes a request token of the team.
func (s *Session) admitOperation(ctx context.Context, st Statement) (*operation, *Refusal) {
	op, refusal := s.admit()
	if refusal != nil {
		return nil, refusal
	}
	op.id = st.ID
	if op.team == publicTeam {
		return op, nil
	}
	limit := min(op.route.StatementTimeout, max(minTokenWait, time.Duration(tokenShare*float64(op.route.LatencyObjective))))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := s.engine.opts.Tokens.Wait(ctx, clock.Now(), op.team, rateWait); err != nil {
		return nil, &Refusal{Code: err.Code, Reason: reasonRate, RetryAfter: retryFailover}
	}
	// The wait may have outlasted the lease.
	if !s.engine.opts.Fleet.MayServe(clock.Now()) {
		return nil, &Refusal{Code: rescode.ProxyDetached, Reason: reasonDetached, RetryAfter: retryFailover}
	}
	return op, nil
}

// refused counts and logs a refusal.
func (e *Engine) refused(id, what string, r *Refusal, s *Session) {
	countRefusal(r.Code, r.Reason)
	fields := logrus.Fields{
		"event": "refused", "id": id, "statement": what, "code": uint32(r.Code), "result": r.Code.String(),
		"reason": string(r.Reason), "retry_after_ms": r.RetryAfter.Milliseconds(),
		"upstream": r.Upstream, "elapsed_ms": r.Elapsed.Milliseconds(),
	}
	view := e.opts.Fleet.View()
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
	e.log.WithFields(fields).Info("request refused")
}

// String returns the label of the kind in logs.
func (k Kind) String() string {
	names := [...]string{
		"none", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "forget", "reset",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}
