package proxy

import (
	"bytes"
	"context"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/route"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/wire"
)

// request is one simple query or one part of an extended-protocol batch.
type request struct {
	// raw is a simple query; messages are those of a batch.
	raw      []byte
	messages []batchMessage
	// sync says that the request ends the batch, as a simple query always does.
	sync bool
	// statements are the texts that it executes; hasUnknown says that it also executes
	// others whose text is not known.
	statements []string
	hasUnknown bool
	tag        route.Tag

	plan route.Plan
	// ctx ends at the deadline or when the session ends.
	ctx context.Context
	// primaryOnly is set once a replica could not serve the request.
	primaryOnly bool
	readReason  readReason
}

// simpleQuery serves a simple query.
func (s *caller) simpleQuery(frame wire.Frame) error {
	body := frame.Body()
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return malformed("the query is not a null-terminated string")
	}
	if s.batch.isOpen() {
		return malformed("a simple query inside a batch")
	}
	sql := string(body[:len(body)-1])
	if command, ok := parseLocalCommand(sql); ok {
		return s.handleLocalQuery(command)
	}
	tag, refused := route.ParseTag(sql)
	if refused != nil {
		return s.refuse(refused, true)
	}
	if wire.ContainsKey(body) {
		return s.refuse(rescode.New(rescode.KeyInStatement, ""), true)
	}
	r := &request{raw: frame.Raw, sync: true, statements: []string{sql}, tag: tag}
	refused, err := s.submit(r)
	if err != nil {
		return err
	}
	if refused != nil {
		return s.refuse(refused, true)
	}
	return nil
}

// submit plans, admits and executes a request. The calling function must answer a
// refusal; an error ends the session.
func (s *caller) submit(r *request) (*rescode.Error, error) {
	metricRequests.Inc()
	if refused := s.server.checkServingLease(); refused != nil {
		return refused, nil
	}
	defer s.returnPinPermit()
	plan := s.plan
	if s.txConn != nil {
		plan = s.planBound
	}
	if refused := plan(r); refused != nil {
		return refused, nil
	}
	if r.hasIdentity() {
		if refused := s.checkIdentity(r); refused != nil {
			return refused, nil
		}
	}
	deadline := r.plan.Deadline
	if deadline == 0 {
		deadline = time.Duration(s.server.settings.DefaultDeadlineMs) * time.Millisecond
	}
	// A refusal ends the session, and with it the transaction that the request belongs to.
	if refused := s.server.checkTimeLeft(deadline); refused != nil {
		return refused, nil
	}
	ctx := newRequestContext(s.ctx, deadline)
	defer ctx.stop()
	r.ctx = ctx
	if refused := s.admit(r, deadline); refused != nil {
		return refused, nil
	}
	s.server.retries.deposit(s.team)
	if s.txConn != nil {
		return s.runBound(r)
	}
	return s.runUnbound(r)
}

// plan resolves the route and makes the checks that precede sending.
func (s *caller) plan(r *request) *rescode.Error {
	snapshot := s.server.view.Current()
	r.tag = r.tag.WithDefaults(s.defaultTag)
	plan, refused := snapshot.Routes.Resolve(s.team, s.service, r.tag)
	if refused != nil {
		return refused
	}
	r.plan = plan
	s.server.groups.recordRequest(plan.Group)
	if refused := s.checkPositionLost(plan.Group); refused != nil {
		return refused
	}
	return s.checkPinLimit(r)
}

// planBound checks a request inside a transaction. The request runs where the
// transaction does, but the caller must still be allowed to use its route.
func (s *caller) planBound(r *request) *rescode.Error {
	r.tag = r.tag.WithDefaults(s.txTag)
	plan, refused := s.server.view.Current().Routes.Resolve(s.team, s.service, r.tag)
	if refused != nil {
		return refused
	}
	if plan.Group != s.txConn.target.group {
		return rescode.New(rescode.BadTag, "the transaction runs on group %q", s.txConn.target.group)
	}
	s.server.groups.recordRequest(plan.Group)
	s.txPlan.WaitForReplica = s.txPlan.WaitForReplica || plan.WaitForReplica
	r.plan = s.txPlan
	return nil
}

// checkPositionLost returns an error, once per failover, if the failover lost writes that
// the session has seen.
func (s *caller) checkPositionLost(name string) *rescode.Error {
	group, ok := s.server.view.Current().Groups[name]
	position, has := s.minPositions.Get(name)
	if !ok || !has || !session.IsLost(group.History, position) {
		return nil
	}
	current := group.History[len(group.History)-1]
	s.minPositions = s.minPositions.Without(name)
	s.raiseMinPosition(session.Position{Group: name, Term: current.Term, LSN: current.StartLsn})
	return rescode.New(rescode.SessionPositionLost, "group %q, term %d", name, position.Term)
}

// checkPinLimit refuses a statement that would pin a connection when too many are
// pinned. Otherwise it stores a permit for the statement in the session.
func (s *caller) checkPinLimit(r *request) *rescode.Error {
	if s.sessionConn != nil || !r.mayPin() {
		return nil
	}
	group, ok := s.server.view.Current().Groups[r.plan.Group]
	if !ok {
		return nil
	}
	p := s.server.pools.get(group.Primary, group.Service)
	if !p.acquirePinPermit() {
		return rescode.New(rescode.PinLimit, "")
	}
	s.pinPermit = p
	return nil
}

// mayPin reports whether one of the statements may pin its connection.
func (r *request) mayPin() bool {
	for _, sql := range r.statements {
		if pinsByFirstWord(sql) || pinsByText(sql) {
			return true
		}
	}
	return false
}

// returnPinPermit returns the unused permit of a request that has ended.
func (s *caller) returnPinPermit() {
	if s.pinPermit != nil {
		s.pinPermit.releasePinPermit()
		s.pinPermit = nil
	}
}

// admit takes a request token.
func (s *caller) admit(r *request, deadline time.Duration) *rescode.Error {
	if s.batch.started {
		// The token taken for the first part admits the whole batch.
		return nil
	}
	limit := min(time.Duration(s.server.settings.TokenWaitMs)*time.Millisecond, deadline)
	return s.server.admission.Wait(r.ctx, clock.Now(), s.team, limit)
}

// runBound executes a request on the connection of the open transaction or batch.
func (s *caller) runBound(r *request) (*rescode.Error, error) {
	held := s.txConn
	result := s.execute(held.conn, held.target, r)
	return s.finishRequest(held, r, result)
}

// runUnbound executes a request outside a transaction, with retries.
func (s *caller) runUnbound(r *request) (*rescode.Error, error) {
	if lost := s.checkPinnedState(); lost != nil {
		return nil, lost
	}
	// earlier is the outcome of an attempt at a write that may have run, or nil.
	var earlier *rescode.Error
	for {
		onReplicas := !r.primaryOnly
		held, refused := s.acquireConn(r)
		if refused != nil {
			if s.retryUnsent(r, refused, onReplicas && r.primaryOnly) {
				continue
			}
			return outcomeOfAttempts(earlier, refused), nil
		}
		result := s.execute(held.conn, held.target, r)
		if result.kind == resultDone || !s.mayRetry(held, r, result) {
			refused, err := s.finishRequest(held, r, result)
			return outcomeOfAttempts(earlier, refused), errorOfAttempts(earlier, err)
		}
		if result.mayHaveRun() && !r.plan.Read {
			earlier = s.lostAnswerError(held, r, result)
		}
		s.releaseAttempt(held, result)
		if s.ctx.Err() != nil {
			return nil, errorOfAttempts(earlier, s.sessionError(s.ctx.Err()))
		}
	}
}

// checkPinnedState returns an error if the pinned session state is on an upstream that
// was replaced or gets no new work.
func (s *caller) checkPinnedState() *rescode.Error {
	if s.sessionConn == nil {
		return nil
	}
	snapshot := s.server.view.Current()
	t := s.sessionConn.target
	group, ok := snapshot.Groups[t.group]
	if ok && snapshot.Usable(t.pool.address) && (!t.primary || group.Term == t.term) {
		return nil
	}
	return rescode.New(rescode.UpstreamLost, "the connection's session state is gone")
}

// acquireConn chooses a target for the request and acquires a connection to it.
func (s *caller) acquireConn(r *request) (*heldConn, *rescode.Error) {
	t, refused := s.chooseTarget(r)
	if refused != nil {
		return nil, refused
	}
	if s.sessionConn != nil && s.sessionConn.target.pool == t.pool && s.sessionConn.target.primary == t.primary {
		s.sessionConn.target = t
		return s.sessionConn, nil
	}
	conn, refused := t.pool.acquire(r.ctx, connOwner{team: s.team, session: s.id})
	if refused != nil {
		if !t.primary {
			r.primaryOnly, r.readReason = true, readReplicaLost
		}
		return nil, refused
	}
	return &heldConn{conn: conn, target: t}, nil
}

// connectRetryDelay is the delay before another attempt to reach a primary.
const connectRetryDelay = 20 * time.Millisecond

// retryUnsent reports whether to retry a request that got no connection, and waits
// before such a retry if necessary. The request was not sent, so the retry does not
// count against the budget.
func (s *caller) retryUnsent(r *request, refused *rescode.Error, replicaFailed bool) bool {
	if r.ctx.Err() != nil {
		return false
	}
	if replicaFailed {
		metricRetries[retryNotSent].Inc()
		return true
	}
	if refused.Code != rescode.UpstreamConnectFailed && refused.Code != rescode.NoUpstream {
		return false
	}
	metricRetries[retryNotSent].Inc()
	timer := time.NewTimer(connectRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// chooseTarget chooses the primary or a replica.
func (s *caller) chooseTarget(r *request) (target, *rescode.Error) {
	if s.sessionConn != nil && s.sessionConn.target.primary && s.sessionConn.target.group == r.plan.Group {
		r.readReason = readPinned
		return s.choosePrimary(r)
	}
	if !r.plan.Read || r.primaryOnly {
		return s.choosePrimary(r)
	}
	if r.plan.MaxStaleness > 0 {
		if t, ok := s.server.freshReplica(r.plan.Group, r.plan.MaxStaleness); ok {
			r.readReason = readAge
			return t, nil
		}
		r.readReason = readNoReplica
		return s.choosePrimary(r)
	}
	return s.chooseByMinPosition(r)
}

// choosePrimary waits for a primary with a valid lease. A failover may have happened
// during the wait, so it checks the session's position against the history once more.
func (s *caller) choosePrimary(r *request) (target, *rescode.Error) {
	t, refused := s.server.leasedPrimary(r.ctx, r.plan.Group)
	if refused != nil {
		return target{}, refused
	}
	return t, s.checkPositionLost(r.plan.Group)
}

// chooseByMinPosition implements read-your-writes: it chooses a replica that has probably
// reached the minimum position, or else the primary.
func (s *caller) chooseByMinPosition(r *request) (target, *rescode.Error) {
	group := r.plan.Group
	if len(readyReplicas(s.server.view.Current(), group)) == 0 {
		r.readReason = readNoReplica
		return s.choosePrimary(r)
	}
	if s.hasTokenPositions {
		minPosition, bounded := s.minPositions.Get(group)
		if !bounded {
			return s.chooseAnyReplica(r)
		}
		return s.chooseReplicaAt(r, minPosition, s.knownSince[group], readMinPosition, readNotReached)
	}
	position, err := s.server.barrierOf(group).wait(r.ctx)
	if err != nil {
		r.readReason = readBarrierNotReached
		return s.choosePrimary(r)
	}
	return s.chooseReplicaAt(r, position, clock.Now(), readBarrier, readBarrierNotReached)
}

// chooseReplicaAt returns a replica that has probably reached the minimum position, or
// else the primary.
func (s *caller) chooseReplicaAt(r *request, minPosition session.Position, knownSince time.Duration, reachedReason, behindReason readReason) (target, *rescode.Error) {
	if t, ok := s.server.caughtUpReplica(minPosition, knownSince); ok {
		r.readReason = reachedReason
		return t, nil
	}
	r.readReason = behindReason
	return s.choosePrimaryAt(r, minPosition)
}

// chooseAnyReplica chooses for a session that has seen no write of the group.
func (s *caller) chooseAnyReplica(r *request) (target, *rescode.Error) {
	snapshot := s.server.view.Current()
	p := s.server.leastLoaded(snapshot, r.plan.Group, readyReplicas(snapshot, r.plan.Group))
	if p == nil {
		r.readReason = readNoReplica
		return s.choosePrimary(r)
	}
	r.readReason = readMinPosition
	return target{pool: p, group: r.plan.Group}, nil
}

// choosePrimaryAt returns the primary once this proxy's view has reached the term of
// the minimum position. A token may be ahead of the view after a failover.
func (s *caller) choosePrimaryAt(r *request, minPosition session.Position) (target, *rescode.Error) {
	for {
		snapshot := s.server.view.Current()
		t, refused := s.choosePrimary(r)
		if refused != nil || t.term >= minPosition.Term {
			return t, refused
		}
		select {
		case <-snapshot.Replaced():
		case <-r.ctx.Done():
			return target{}, rescode.New(rescode.NoUpstream, "the view of group %q is behind the session", minPosition.Group)
		}
	}
}
