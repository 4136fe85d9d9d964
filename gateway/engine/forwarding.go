package engine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/holders"
)

// Forwarder carries units of work to the nodes that hold the connections to their upstreams.
type Forwarder interface {
	// Open returns a connection that carries a unit to the node at an address, or nil if that node cannot be used now.
	// Nothing is sent before the first Send.
	Open(ctx context.Context, address string, u ForwardedUnit) Conn
	// Retain is told the nodes to which units may be sent from now on, and those to which they likely are.
	Retain(possible, likely []string)
}

// ForwardedUnit describes a single statement or a whole transaction that another node runs.
type ForwardedUnit struct {
	Target   Target
	Team     string
	Priority uint32
	// ObjectiveLeft is what is left of the latency objective.
	ObjectiveLeft time.Duration
	// Repeat is set for a further attempt for the same statement.
	Repeat bool
	// MaxWait bounds the wait for a connection besides, because the unit can run elsewhere; 0 means that it does not.
	MaxWait time.Duration
	// StatementTimeout is how long a reply may take of which rows have been passed on.
	StatementTimeout time.Duration
	// Load is told the load of the upstream with each reply.
	Load LoadRecorder
}

// UpstreamLoad is the load of an upstream at one node that holds connections to it.
type UpstreamLoad struct {
	InUse, Waiting int
	Latency        time.Duration
}

// LoadRecorder records the load of an upstream that the node at an address has reported.
type LoadRecorder interface {
	RecordLoad(address string, l UpstreamLoad)
}

// ForwardFailure tells what a failed unit of work means for its statement.
type ForwardFailure uint8

// Failures of forwarded units.
const (
	// ForwardNotServed means that nothing was sent to the upstream. It may be tried in another way at once.
	ForwardNotServed ForwardFailure = iota + 1
	// ForwardNoRoom means that nothing was sent because the upstream has no room.
	ForwardNoRoom
	// ForwardLost means that the answer of the other node was lost. The statement may have run.
	ForwardLost
)

// ForwardError is an error of a Conn that forwards. It concerns the other node, not the upstream.
type ForwardError struct {
	Failure ForwardFailure
	// Refusal is the refusal of the other node; only with ForwardNoRoom.
	Refusal Refusal
	Cause   error
}

// Error implements error.
func (e *ForwardError) Error() string {
	if e.Cause == nil {
		return "the forwarded statement was not served"
	}
	return "forwarded statement: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }

// heldElsewhere is what a pool knows of the nodes that hold the connections to its upstream.
type heldElsewhere struct {
	forwarder Forwarder
	// self is the address of this node.
	self string
	// addresses are those of the nodes that hold the connections. Empty if each node uses its own.
	addresses []string
	// slots is how many statements the upstream runs at once, or 0 if that is not known.
	slots int
	// inUse counts the units of work that this node is forwarding.
	inUse int
	// loads holds the newest reported loads by address.
	loads map[string]reportedLoad
}

type reportedLoad struct {
	UpstreamLoad
	at time.Duration
}

// setHolders sets the nodes that hold the connections to the upstream.
func (p *pool) setHolders(f Forwarder, self string, addresses []string, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.forwarder, p.held.self, p.held.slots = f, self, slots
	if slices.Equal(addresses, p.held.addresses) {
		return
	}
	p.held.addresses, p.held.loads = addresses, nil
}

// isHolder reports whether this node holds connections to the upstream for others. The caller holds mu.
func (p *pool) isHolder() bool {
	return slices.Contains(p.held.addresses, p.held.self)
}

// forwards reports whether statements are forwarded to other nodes. The caller holds mu.
func (p *pool) forwards() bool {
	return p.held.forwarder != nil && len(p.held.addresses) > 0
}

// RecordLoad implements LoadRecorder.
func (p *pool) RecordLoad(address string, l UpstreamLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.held.addresses, address) {
		return
	}
	if p.held.loads == nil {
		p.held.loads = map[string]reportedLoad{}
	}
	p.held.loads[address] = reportedLoad{UpstreamLoad: l, at: clock.Now()}
}

// heldLoad returns the sum of the loads that the holders have reported since a time. The caller holds mu.
func (p *pool) heldLoad(since time.Duration) UpstreamLoad {
	sum := UpstreamLoad{}
	for _, l := range p.held.loads {
		if l.at < since {
			continue
		}
		sum.InUse += l.InUse
		sum.Waiting += l.Waiting
		sum.Latency = max(sum.Latency, l.Latency)
	}
	return sum
}

// load returns the load of the upstream at this node.
func (p *pool) load() UpstreamLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return UpstreamLoad{InUse: p.running(), Waiting: p.waiters.Len(), Latency: p.currentLatency(clock.Now())}
}

// openForwarded returns a connection that forwards to the first usable node that holds connections of the unit's
// team. It returns nil if the unit is to use a connection of this node.
func (p *pool) openForwarded(ctx context.Context, u ForwardedUnit) *upstreamConn {
	p.mu.Lock()
	forwarder, self, addresses := p.held.forwarder, p.held.self, p.held.addresses
	usable := p.forwards() && !p.closed
	p.lastTeam = u.Team
	p.mu.Unlock()
	if !usable {
		return nil
	}
	u.Target, u.Load = p.target, p
	for _, address := range holders.Rank(u.Team, addresses) {
		if address == self {
			return nil
		}
		conn := forwarder.Open(ctx, address, u)
		if conn == nil {
			continue
		}
		p.mu.Lock()
		p.held.inUse++
		p.mu.Unlock()
		return &upstreamConn{conn: conn, pool: p, team: u.Team, forwarded: true}
	}
	return nil
}

// releaseForwarded ends a unit of work.
func (p *pool) releaseForwarded(c *upstreamConn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.inUse--
}

// connect returns a connection for an operation. Unless direct is set, it is one that forwards if other nodes hold
// the connections of the operation's team.
func (p *pool) connect(ctx context.Context, op *operation, deadline time.Time, direct bool) (*upstreamConn, *Refusal) {
	if !direct && p.mayForward(op) {
		c := p.openForwarded(ctx, ForwardedUnit{
			Team: op.team, Priority: op.route.Priority, StatementTimeout: op.route.StatementTimeout,
			ObjectiveLeft: op.objectiveEnd - clock.Now(), Repeat: op.repeated, MaxWait: op.maxWait,
		})
		if c != nil {
			return c, nil
		}
	}
	return p.acquire(ctx, op.connRequest(deadline))
}

// mayForward reports whether statements of an operation may go through another node. The body of one with home regions
// must not reach a node elsewhere, and one that needs a permit must reach the upstream while that is valid.
func (p *pool) mayForward(op *operation) bool {
	return !op.restricted() && !p.needsPermit(clock.Now())
}

// forwardFailureResult returns the result of an attempt whose forwarded statement was certainly not sent to its
// upstream, or nil if it may have been.
func forwardFailureResult(err error) *attemptResult {
	var failure *ForwardError
	if !errors.As(err, &failure) {
		return nil
	}
	switch failure.Failure {
	case ForwardNotServed:
		result := retryResult(retryForward, Refusal{Code: rescode.NoUpstream, Reason: reasonNotForwarded, RetryAfter: shortRetryAfter})
		result.notServed, result.elsewhere = true, true
		return &result
	case ForwardNoRoom:
		result := acquireFailureResult(&failure.Refusal)
		result.elsewhere = true
		return &result
	default:
		return nil
	}
}

// concernsOtherNode reports whether an error of a connection concerns the node that a statement was forwarded to.
func concernsOtherNode(err error) bool {
	var failure *ForwardError
	return errors.As(err, &failure)
}

// heldCandidate returns the state of an upstream whose connections other nodes hold. The caller holds mu.
func (p *pool) heldCandidate(now time.Duration) Candidate {
	return Candidate{
		ID: p.target.ID, Place: p.place, Draining: p.draining || p.placeDrained, Failing: p.failing || p.closed,
		NeedsPermit:       p.mayBeCold(now),
		Success:           p.outcomes.Rate(now),
		HasIdleConnection: true,
		InFlight:          p.held.inUse + p.inUse + p.waiters.Len(), Latency: p.currentLatency(now),
		Position: p.position, RecentlyBehind: now < p.behindUntil,
	}
}

// retainLinks tells the forwarder to which nodes units may be sent. Most go to upstreams in this node's place, where
// reads run, and to primaries.
func (e *Engine) retainLinks(t *controlpb.Topology) {
	if e.opts.Forwarder == nil {
		return
	}
	primaries := map[string]bool{}
	for _, p := range t.GetPrimaries() {
		primaries[p.Upstream] = true
	}
	var possible, likely []string
	for _, u := range t.GetUpstreams() {
		for _, address := range u.Holders {
			if address == e.opts.Address {
				continue
			}
			possible = append(possible, address)
			if primaries[u.Id] || u.Place == e.opts.Place {
				likely = append(likely, address)
			}
		}
	}
	e.opts.Forwarder.Retain(unique(possible), unique(likely))
}

func unique(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
