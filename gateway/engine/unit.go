package engine

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// UnitFailureKind is the reason why a unit of work that another node has forwarded got no reply.
type UnitFailureKind uint8

// Reasons for a missing reply.
const (
	// UnitLost means that the answer of the upstream was lost.
	UnitLost UnitFailureKind = iota
	UnitTimedOut
	// UnitInterrupted means that this node has given up the statement, which was sent.
	UnitInterrupted
	UnitTooLarge
	UnitUnencodable
	// UnitNotServed means that nothing was sent, and that another node may serve the unit.
	UnitNotServed
	// UnitNoRoom means that nothing was sent because the upstream has no room.
	UnitNoRoom
)

// String returns the name of the kind in counters.
func (k UnitFailureKind) String() string {
	names := [...]string{"lost", "timed_out", "interrupted", "too_large", "unencodable", "not_served", "no_room"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// UnitFailure tells the forwarding node why a statement has no reply. The unit has ended then.
type UnitFailure struct {
	Kind    UnitFailureKind
	Refusal Refusal
}

// UnitOptions describe a unit of work that another node forwards to this one.
type UnitOptions struct {
	Service, Upstream, Team string
	Priority                uint32
	// ObjectiveLeft is what is left of the latency objective.
	ObjectiveLeft time.Duration
	// Repeat is set for a further attempt for the same statement.
	Repeat bool
	// MaxWait bounds the wait for a connection besides, because the unit can run elsewhere; 0 means that it does not.
	MaxWait time.Duration
	// StatementTimeout is how long a reply may take of which rows have been passed on.
	StatementTimeout time.Duration
	// Rows takes the first rows of large replies.
	Rows UnitRows
}

// UnitRows passes the first rows of a large reply on to the node of the caller.
type UnitRows interface {
	// WriteRows passes rows on, and before them the replies to earlier statements that Run has not returned yet.
	WriteRows(earlier []Reply, rows []string) error
}

// Unit is a single statement or a whole transaction that another node has forwarded to this one, which holds the
// connections to its upstream. The statements that set up the upstream's session are kept here and are made true on
// whichever connection the unit gets, as for sessions of this node. It is not safe for concurrent use.
type Unit struct {
	options UnitOptions
	session *Session
	op      *operation
	pool    *pool
	// conn is nil while the unit needs none.
	conn *upstreamConn
	// replies holds those to the statements of the current Run that have not been passed on.
	replies []Reply
}

// WriteRows implements RowWriter.
func (u *Unit) WriteRows(rows []string, _ time.Time) error {
	earlier := u.replies
	u.replies = nil
	return u.options.Rows.WriteRows(earlier, rows)
}

// OpenUnit begins a unit of work. It returns nil if this node has no connections to the upstream.
func (e *Engine) OpenUnit(o UnitOptions) *Unit {
	g := e.existingGroup(o.Service)
	if g == nil {
		return nil
	}
	p := g.pool(o.Upstream)
	if p == nil || !p.holdsForOthers() {
		return nil
	}
	u := &Unit{options: o, session: &Session{engine: e}, pool: p}
	u.session.relay.writer = u
	u.op = &operation{
		route: &catalog.Route{Service: o.Service, Priority: o.Priority, StatementTimeout: o.StatementTimeout},
		team:  o.Team, group: g, started: clock.Now(), objectiveEnd: clock.Now() + o.ObjectiveLeft, repeated: o.Repeat, maxWait: o.MaxWait,
	}
	return u
}

// existingGroup returns the group of a service, or nil.
func (e *Engine) existingGroup(service string) *group {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.groups[service]
}

// pool returns the pool of an upstream, or nil.
func (g *group) pool(upstream string) *pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[upstream]
}

// holdsForOthers reports whether this node takes units of other nodes for the upstream. A node that was replaced goes
// on with those that the others have not redirected yet.
func (p *pool) holdsForOthers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && !p.failing
}

// Load returns the load of the unit's upstream at this node.
func (u *Unit) Load() UpstreamLoad {
	return u.pool.load()
}

// Close ends the unit. A transaction that is open is rolled back by closing its connection.
func (u *Unit) Close() {
	if u.conn != nil {
		u.pool.release(u.conn)
		u.conn = nil
	}
}

// Run runs statements and returns their replies, but for those that were passed on before rows. There are fewer if there
// is a failure.
func (u *Unit) Run(ctx context.Context, timeout time.Duration, statements []Statement) ([]Reply, *UnitFailure) {
	now := time.Now()
	deadline := now.Add(timeout)
	u.op.deadline = now.Add(max(timeout, u.options.StatementTimeout))
	u.replies = make([]Reply, 0, len(statements))
	for rest := statements; len(rest) > 0; {
		if u.keep(rest[0]) {
			u.replies = append(u.replies, Reply{State: u.state()})
			rest = rest[1:]
			continue
		}
		count := 1
		if len(rest) > 1 && rest[1].Kind == Rollback {
			// The rollback goes in the same write: its statement may leave no time for another round trip.
			count = 2
		}
		ran, failure := u.runOnConn(ctx, deadline, rest[:count])
		u.replies = append(u.replies, ran...)
		if failure != nil {
			u.Close()
			return u.replies, failure
		}
		refused := ran[0].Outcome != Done && isBegin(rest[0].Kind)
		rest = rest[count:]
		if refused {
			// The rest would run outside the transaction.
			for range rest {
				u.replies = append(u.replies, Reply{Outcome: ran[0].Outcome, State: ran[0].State})
			}
			break
		}
	}
	switch {
	case u.conn == nil:
	case u.conn.state == Idle || u.conn.broken:
		u.Close()
	default:
		u.conn.park()
	}
	return u.replies, nil
}

func isBegin(k Kind) bool {
	return k == Begin || k == BeginRead
}

// state returns the state of the upstream's session.
func (u *Unit) state() State {
	if u.conn == nil {
		return Idle
	}
	return u.conn.state
}

// keep carries out a statement that sets up the session. It reports whether st is one.
func (u *Unit) keep(st Statement) bool {
	s := u.session
	switch st.Kind {
	case SetValue:
		if s.values == nil {
			s.values = map[textDigest]sessionValue{}
		}
		s.values[digestText(st.Name)] = sessionValue{name: st.Name, value: st.Value, digest: digestText(st.Value)}
	case Prepare:
		if s.prepared == nil {
			s.prepared = map[string]sessionStatement{}
		}
		p := preparedStatement{writes: st.Writes, shape: st.Shape}
		s.prepared[st.Name] = sessionStatement{preparedStatement: p, key: p.key()}
	case Forget:
		delete(s.prepared, st.Name)
	case Reset:
		s.values, s.prepared = nil, nil
	default:
		return false
	}
	return true
}

// runOnConn runs a statement, and a rollback behind it if there is a second one, on the unit's connection.
func (u *Unit) runOnConn(ctx context.Context, deadline time.Time, statements []Statement) ([]Reply, *UnitFailure) {
	if failure := u.ensureConn(ctx, deadline); failure != nil {
		return nil, failure
	}
	st := statements[0]
	u.session.relay.started = false
	sentAt := clock.Now()
	reply, result := u.session.exchange(ctx, u.op, u.conn, deadline, st, statements[1:]...)
	waited := clock.Now() - sentAt
	observeSeconds(metricUpstreamSeconds, waited)
	if result != nil {
		if u.conn.lostAnswer(*result) {
			u.pool.recordNoAnswer(waited)
		}
		return nil, unitFailure(*result)
	}
	u.recordReply(st, reply, waited)
	replies := []Reply{reply}
	if len(statements) > 1 {
		if u.conn.broken {
			return replies, &UnitFailure{Kind: UnitLost}
		}
		replies = append(replies, Reply{State: u.conn.state})
	}
	return replies, nil
}

// recordReply records that the upstream has answered, and whether the transaction has run a statement.
func (u *Unit) recordReply(st Statement, reply Reply, waited time.Duration) {
	switch {
	case u.session.relay.started:
		// The time includes the caller's for reading the answer.
		u.pool.recordSuccess()
	case reply.Outcome != Done && outcomeResult(reply.Outcome).isFailure():
		u.pool.recordFailedStatement()
	default:
		u.pool.recordAnswer(waited)
	}
	if u.conn.state == Idle {
		u.session.tx = nil
		return
	}
	if u.session.tx == nil {
		u.session.tx = &transaction{op: u.op}
	}
	if st.ID != "" && reply.Outcome == Done {
		u.session.tx.ran = true
	}
}

// ensureConn acquires a connection unless the unit has one. Inside a transaction it checks that the node may still
// run a statement.
func (u *Unit) ensureConn(ctx context.Context, deadline time.Time) *UnitFailure {
	e, now := u.session.engine, clock.Now()
	if !e.opts.Control.MayServe(now) {
		return &UnitFailure{Kind: UnitNotServed}
	}
	if u.conn != nil {
		if e.refuseContinuing(now, time.Until(deadline)) != nil {
			return &UnitFailure{Kind: UnitNotServed}
		}
		return nil
	}
	if e.stop.Load() != nil {
		return &UnitFailure{Kind: UnitNotServed}
	}
	c, refusal := u.pool.acquire(ctx, u.op.connRequest(deadline))
	observeSeconds(metricConnWaitSeconds, clock.Now()-now)
	if refusal != nil {
		return acquireUnitFailure(refusal)
	}
	u.conn = c
	if !e.opts.Control.MayServe(clock.Now()) {
		// The wait was too long for the lease.
		return &UnitFailure{Kind: UnitNotServed}
	}
	return nil
}

func acquireUnitFailure(r *Refusal) *UnitFailure {
	switch r.Reason {
	case reasonPoolFull, reasonPoolTimeout, reasonDisplaced, reasonUpstreamPaused, reasonUpstreamFull, reasonUpstreamBusy:
		return &UnitFailure{Kind: UnitNoRoom, Refusal: *r}
	default:
		return &UnitFailure{Kind: UnitNotServed, Refusal: *r}
	}
}

// unitFailure returns the failure of a unit from the result of an exchange without a reply.
func unitFailure(result attemptResult) *UnitFailure {
	switch {
	case result.cause == nil && result.isNotAllowed():
		return &UnitFailure{Kind: UnitNoRoom, Refusal: *result.answer.Refusal}
	case result.cause == nil:
		return &UnitFailure{Kind: UnitNotServed}
	case errors.Is(result.cause, ErrTooLarge):
		return &UnitFailure{Kind: UnitTooLarge}
	case errors.Is(result.cause, ErrUnencodable):
		return &UnitFailure{Kind: UnitUnencodable}
	case errors.Is(result.cause, ErrInterrupted):
		return &UnitFailure{Kind: UnitInterrupted}
	case errors.Is(result.cause, os.ErrDeadlineExceeded):
		return &UnitFailure{Kind: UnitTimedOut}
	default:
		return &UnitFailure{Kind: UnitLost}
	}
}

// Open reports whether the unit holds a connection, as it does inside a transaction.
func (u *Unit) Open() bool {
	return u.conn != nil
}

// ServesUnits reports whether this node takes units of work.
func (e *Engine) ServesUnits() bool {
	return e.stop.Load() == nil && e.opts.Control.MayServe(clock.Now())
}

// unitIdleMargin is added to the idle timeout of transactions for units: the node of the caller ends them first.
const unitIdleMargin = time.Second

// UnitIdleTimeout returns how long a unit may stay idle inside a transaction; 0 means without limit.
func (e *Engine) UnitIdleTimeout() time.Duration {
	view := e.opts.Control.View()
	if view.Catalog == nil || view.Catalog.TransactionIdleTimeout == 0 {
		return 0
	}
	return view.Catalog.TransactionIdleTimeout + unitIdleMargin
}
