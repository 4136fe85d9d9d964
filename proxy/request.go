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

// request is one simple query, or one part of an extended batch.
type request struct {
	// raw is a simple query; items are the messages of a batch.
	raw   []byte
	items []item
	// sync says that the request ends the batch, as a simple query always does.
	sync bool
	// texts are the statements that it executes; unknown says that there are others.
	texts   []string
	unknown bool
	tag     route.Tag

	plan route.Plan
	// ctx ends at the deadline or with the session.
	ctx context.Context
	// primaryOnly is set once a replica could not serve the request.
	primaryOnly bool
	reason      readReason
}

// simpleQuery serves a simple query.
func (s *caller) simpleQuery(frame wire.Frame) error {
	body := frame.Body()
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return malformed("a query is no string")
	}
	if s.batch.open() {
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
	r := &request{raw: frame.Raw, sync: true, texts: []string{sql}, tag: tag}
	refused, err := s.submit(r)
	if err != nil {
		return err
	}
	if refused != nil {
		return s.refuse(refused, true)
	}
	return nil
}

// submit takes a request through planning, admission and execution. A refusal is to
// be answered by the caller of submit; an error ends the session.
func (s *caller) submit(r *request) (*rescode.Error, error) {
	metricRequests.Inc()
	if refused := s.server.attended(); refused != nil {
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
	return s.runFree(r)
}

// plan resolves the route and checks what must hold before anything is sent.
func (s *caller) plan(r *request) *rescode.Error {
	snapshot := s.server.view.Current()
	r.tag = r.tag.WithDefaults(s.defaults)
	plan, refused := snapshot.Routes.Resolve(s.team, s.service, r.tag)
	if refused != nil {
		return refused
	}
	r.plan = plan
	s.server.groups.recordRequest(plan.Group)
	if refused := s.checkLost(plan.Group); refused != nil {
		return refused
	}
	return s.checkPins(r)
}

// planBound checks a request inside a transaction. It runs where the transaction
// runs; its route must be the caller's to use all the same.
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

// checkLost tells the caller once that a failover lost writes that it has seen.
func (s *caller) checkLost(name string) *rescode.Error {
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

// checkPins refuses a statement that would keep a connection when too many do. It
// leaves a permit with the caller for a statement that may.
func (s *caller) checkPins(r *request) *rescode.Error {
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

// mayPin reports whether a statement may keep its connection.
func (r *request) mayPin() bool {
	for _, sql := range r.texts {
		if pinsByFirstWord(sql) || pinsByText(sql) {
			return true
		}
	}
	return false
}

// returnPinPermit gives back the permit of a request that has ended.
func (s *caller) returnPinPermit() {
	if s.pinPermit != nil {
		s.pinPermit.releasePinPermit()
		s.pinPermit = nil
	}
}

// admit takes a request token.
func (s *caller) admit(r *request, deadline time.Duration) *rescode.Error {
	if s.batch.started {
		// The batch was admitted with its first part.
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

// runFree executes a request outside a transaction, with retries.
func (s *caller) runFree(r *request) (*rescode.Error, error) {
	if lost := s.lostState(); lost != nil {
		return nil, lost
	}
	for {
		onReplicas := !r.primaryOnly
		held, refused := s.borrow(r)
		if refused != nil {
			if s.tryElsewhere(r, refused, onReplicas && r.primaryOnly) {
				continue
			}
			return refused, nil
		}
		result := s.execute(held.conn, held.target, r)
		if result.kind == resultDone || !s.mayRetry(held, r, result) {
			return s.finishRequest(held, r, result)
		}
		s.releaseAttempt(held, result)
		if s.ctx.Err() != nil {
			return nil, s.readError(s.ctx.Err())
		}
	}
}

// lostState is the error for session state on an upstream that was replaced, or that
// gets no new work.
func (s *caller) lostState() *rescode.Error {
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

// borrow chooses where the request runs and gets a connection.
func (s *caller) borrow(r *request) (*heldConn, *rescode.Error) {
	t, refused := s.choose(r)
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
			r.primaryOnly, r.reason = true, readReplicaLost
		}
		return nil, refused
	}
	return &heldConn{conn: conn, target: t}, nil
}

// connectPause is the wait before another attempt to reach a primary.
const connectPause = 20 * time.Millisecond

// tryElsewhere reports whether a request that found no connection is tried again.
// It was not sent, so this needs no budget.
func (s *caller) tryElsewhere(r *request, refused *rescode.Error, replicaFailed bool) bool {
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
	timer := time.NewTimer(connectPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// choose decides between the primary and a replica.
func (s *caller) choose(r *request) (target, *rescode.Error) {
	if s.sessionConn != nil && s.sessionConn.target.primary && s.sessionConn.target.group == r.plan.Group {
		r.reason = readPinned
		return s.primary(r)
	}
	if !r.plan.Read || r.primaryOnly {
		return s.primary(r)
	}
	if r.plan.MaxStaleness > 0 {
		if t, ok := s.server.freshReplica(r.plan.Group, r.plan.MaxStaleness); ok {
			r.reason = readAge
			return t, nil
		}
		r.reason = readNoReplica
		return s.primary(r)
	}
	return s.chooseByMinPosition(r)
}

// primary waits for a primary under lease. A failover may have come during the wait,
// so what the session has seen is compared with the history once more.
func (s *caller) primary(r *request) (target, *rescode.Error) {
	t, refused := s.server.leasedPrimary(r.ctx, r.plan.Group)
	if refused != nil {
		return target{}, refused
	}
	return t, s.checkLost(r.plan.Group)
}

// chooseByMinPosition serves read-your-writes: a replica that has probably reached the
// minimum position, else the primary.
func (s *caller) chooseByMinPosition(r *request) (target, *rescode.Error) {
	group := r.plan.Group
	if len(readyReplicas(s.server.view.Current(), group)) == 0 {
		r.reason = readNoReplica
		return s.primary(r)
	}
	if s.hasTokenPositions {
		minPosition, bounded := s.minPositions.Get(group)
		if !bounded {
			return s.anyReplica(r)
		}
		return s.replicaAt(r, minPosition, s.knownSince[group], readMinPosition, readNotReached)
	}
	position, err := s.server.barrierOf(group).wait(r.ctx)
	if err != nil {
		r.reason = readNoToken
		return s.primary(r)
	}
	return s.replicaAt(r, position, clock.Now(), readBarrier, readNoToken)
}

// replicaAt returns a replica that has probably reached the minimum position, or the primary.
func (s *caller) replicaAt(r *request, minPosition session.Position, knownSince time.Duration, reached, behind readReason) (target, *rescode.Error) {
	if t, ok := s.server.caughtUpReplica(minPosition, knownSince); ok {
		r.reason = reached
		return t, nil
	}
	r.reason = behind
	return s.primaryAt(r, minPosition)
}

// anyReplica serves a session that has seen no write of the group.
func (s *caller) anyReplica(r *request) (target, *rescode.Error) {
	snapshot := s.server.view.Current()
	p := s.server.leastLoaded(snapshot, r.plan.Group, readyReplicas(snapshot, r.plan.Group))
	if p == nil {
		r.reason = readNoReplica
		return s.primary(r)
	}
	r.reason = readMinPosition
	return target{pool: p, group: r.plan.Group}, nil
}

// primaryAt returns the primary once this proxy's view has the minimum position's term. A
// token may be ahead of the view after a failover.
func (s *caller) primaryAt(r *request, minPosition session.Position) (target, *rescode.Error) {
	for {
		snapshot := s.server.view.Current()
		t, refused := s.primary(r)
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
