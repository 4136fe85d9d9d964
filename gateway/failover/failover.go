// Package failover decides which server is the primary of a database group. The servers
// of such a group end the term of a replaced primary themselves at the moment of the
// promotion, so no lease has to expire first: the package only decides when to promote a
// server and which one.
//
// The state machine has no clock and no I/O: it is passed the time and the observations,
// and returns actions.
package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// maxSampleAge is the age up to which a probe result is used: one second between two
	// probes of a replica plus the time of an answer.
	maxSampleAge = 1300 * time.Millisecond
	// unreachableTimeout is the time without an answer after which a primary is replaced
	// that neither the leader nor any node reaches.
	unreachableTimeout = 600 * time.Millisecond
	// leaderOnlyTimeout replaces unreachableTimeout when no node has tried to reach the
	// primary and only the leader's probes fail.
	leaderOnlyTimeout = 1500 * time.Millisecond
	// minLongFailingFraction is the fraction of the nodes whose attempts must have failed for
	// long before a primary is replaced that other nodes still reach.
	minLongFailingFraction = 0.4
	// maxMissingCommits bounds the commits that a candidate may lack when the primary is
	// only partly unreachable or is leaving: losing acknowledged writes is worse than an
	// outage of a few seconds for some nodes.
	maxMissingCommits = 10
	// catchUpTimeout is how long a leaving primary is kept while every replica lacks
	// commits. On the known sites, it continues to serve for 7 s.
	catchUpTimeout = 3 * time.Second
	// minTermDuration is how long a new primary is kept although many nodes do not reach
	// it: their reports may date from before its promotion.
	minTermDuration = 3 * time.Second
	// promotionTimeout is the time for an accepted promotion to take effect before it is ordered
	// again. The longest promotion time stated for a deployment is 1 s.
	promotionTimeout = 2500 * time.Millisecond
	// startupDelay is how long a new leader collects observations before it replaces a
	// primary: one announcement interval and several probes.
	startupDelay = 1500 * time.Millisecond
	// refusalBackoff is how long a candidate is skipped after the platform refused to
	// promote it.
	refusalBackoff = 2 * time.Second
)

// Server is what the leader knows about one upstream of the group.
type Server struct {
	ID       string
	Draining bool
	// ClaimsPrimary is set if the upstream stated in its newest announcement that it is
	// the primary.
	ClaimsPrimary bool
	// EndedSince is when another server first answered at the upstream's address, so that its process has ended; zero
	// if it has answered or announced itself since.
	EndedSince time.Duration
	Sample     Sample
}

// Sample is the newest result of a probe or position query to the present process of an upstream.
type Sample struct {
	// At is when the probe or query was sent; zero if none has been answered.
	At       time.Duration
	Primary  bool
	Term     uint64
	Position position.Position
	// PausedTerm is the term for which the server has paused replication, or 0.
	PausedTerm uint64
	Lag        time.Duration
	// PositionAsPrimary is true if the server was the primary when it reported Position.
	PositionAsPrimary bool
}

func (s Server) hasFreshSample(now time.Duration) bool {
	return s.Sample.isFresh(now)
}

func (s Sample) isFresh(now time.Duration) bool {
	return s.At != 0 && now-s.At <= maxSampleAge
}

// Reachability summarises the nodes' reports on whether they reach the primary.
type Reachability struct {
	// Nodes is the number of nodes with a recent report on the primary.
	Nodes int
	// Failing counts the nodes whose attempts fail, LongFailing those among them whose
	// attempts have failed for long, and Reaching the nodes that the primary has answered
	// recently. Nodes without recent attempts are in none of these three.
	LongFailing, Failing, Reaching int
}

// Input holds the observations that a decision depends on.
type Input struct {
	Servers []Server
	// Left are the IDs of servers that are not in the group any more because they have said that they leave.
	Left         []string
	Reachability Reachability
	// SyncReplicas is the number of replicas that must receive a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Action is a promotion order, or an order to pause or resume replication or to end a primary's lead. One
// of Promote, Pause, Resume and Demote is set.
type Action struct {
	// Promote is the server to promote, Pause the replica to pause for Term, Resume the replica to
	// resume, and Demote the primary that is to become a replica of Term.
	Promote string
	Pause   string
	Resume  string
	Demote  string
	Term    uint64
	Reason  Reason
	// Order numbers the promotion orders from 1. An order that is repeated keeps its number, so that it
	// keeps its fence: a newer fence would void the earlier call, which may still be carried out. Orders to
	// resume have numbers of their own, a new one each.
	Order uint64
}

// Reason is why a primary is replaced.
type Reason string

// Reasons to replace a primary.
const (
	PrimaryLost              Reason = "primary_lost"
	PrimaryLeaving           Reason = "primary_leaving"
	PrimaryPartlyUnreachable Reason = "primary_unreachable_for_many"
	PrimaryMissing           Reason = "no_primary"
)

// Machine is the failover state machine of one group. It is not safe for concurrent use.
type Machine struct {
	startedAt time.Duration
	primary   string
	term      uint64
	// lastAnswer is when the primary last answered the leader.
	lastAnswer time.Duration
	// leadingSince is when the primary was first observed as primary; position is its
	// newest known log position.
	leadingSince time.Duration
	position     position.Position
	progress     progress
	order        *promotionOrder
	// orders is the number of the newest order, and lastCandidate its candidate while it may be repeated.
	orders        uint64
	lastCandidate string
	// unansweredCandidate is the candidate of an unanswered promotion order, which may still
	// take effect.
	unansweredCandidate string
	// pendingReason is why the primary has to be replaced; pendingSince is when it arose.
	pendingReason Reason
	pendingSince  time.Duration
	// refusedAt is when the platform last refused to promote a server.
	refusedAt map[string]time.Duration

	// synchronous is set in groups with synchronous replicas. The remaining fields are used in these only.
	synchronous bool

	// candidate is the replica that is being prepared for the promotion, and awaited holds the servers
	// that may have acknowledged commits which it lacks.
	candidate string
	awaited   []string
	// newestTerm is the newest term that any server has shown, and newestPrimary the server that led it,
	// or empty if that is not known.
	newestTerm    uint64
	newestPrimary string
	// replicas holds the servers of the last step, departed those that have left the group since or are known to have
	// ended.
	replicas map[string]knownServer
	departed map[string]departure
	// demoted describes the primary if this leader or an earlier one has ended its lead.
	demoted demotion
	// outstanding is the order that may still be carried out.
	outstanding outstandingOrder
	// hasPaused is set if this leader has paused a replica.
	hasPaused bool
	// resumptions holds the orders to resume replicas, resumeOrders is the number of the newest one.
	resumptions  map[string]resumption
	resumeOrders uint64
	// pausedAt is when a draining replica was last ordered to pause.
	pausedAt map[string]time.Duration
}

type promotionOrder struct {
	candidate string
	orderedAt time.Duration
	accepted  bool
}

// New returns a Machine for a leader that starts at now.
func New(now time.Duration) *Machine {
	return &Machine{
		startedAt: now, refusedAt: map[string]time.Duration{}, departed: map[string]departure{},
		resumptions: map[string]resumption{}, pausedAt: map[string]time.Duration{},
		outstanding: outstandingOrder{until: now + lateOrderTimeout, unanswered: true},
	}
}

// Primary returns the current primary, its term, and whether a replacement has been ordered.
func (m *Machine) Primary() (id string, term uint64, changing bool) {
	return m.primary, m.term, m.order != nil
}

// Adopt sets the primary and term that an earlier leader published, unless a term at least
// as new is already known.
func (m *Machine) Adopt(now time.Duration, primary string, term uint64) {
	if term <= m.term || primary == "" {
		return
	}
	m.primary, m.term, m.lastAnswer = primary, term, now
}

// NeedsFrequentProbes reports whether a decision depends on the newest positions of the servers: a failover is due and
// has not been ordered yet, or its order is under way in a group with synchronous replicas.
func (m *Machine) NeedsFrequentProbes() bool {
	return m.pendingReason != "" && (m.order == nil || m.synchronous)
}

// HandleAccepted records that the platform accepted the promotion order.
func (m *Machine) HandleAccepted() {
	if m.order != nil {
		m.order.accepted = true
	}
}

// HandleRefused records that the platform refused to promote a server.
func (m *Machine) HandleRefused(now time.Duration, id string) {
	m.clearAnswered()
	m.refusedAt[id] = now
	m.order, m.lastCandidate = nil, ""
}

// HandleNotSent records that the promotion order was not accepted. The next step may order
// a promotion again.
func (m *Machine) HandleNotSent() {
	m.clearAnswered()
	m.order = nil
}

// HandleUnknownOutcome records that the promotion order was not answered, or not yet. The order
// is repeated at once, for the same server while that is eligible: the first order may still
// take effect, and promoting another server afterwards would roll back the writes made in
// between.
func (m *Machine) HandleUnknownOutcome(now time.Duration) {
	if m.order == nil || m.order.accepted {
		return
	}
	m.unansweredCandidate = m.order.candidate
	m.outstanding.unanswered = true
	m.order.orderedAt = now - promotionTimeout
}

// Step updates the state and returns the actions that are due, with at most one promotion.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	m.updatePrimary(now, in.Servers)
	m.synchronous = in.SyncReplicas > 0
	if !m.synchronous {
		m.awaited = nil
	} else {
		m.progress.record(now, m.position)
		m.observeTerms(in.Servers)
		m.observeDemotion(now, in.Servers)
		m.trackDepartures(now, in)
	}
	if m.order != nil {
		if now-m.order.orderedAt < promotionTimeout {
			return m.guardOrder(now, in)
		}
		m.order = nil
	}
	reason := m.replacementReason(now, in)
	if reason != m.pendingReason {
		m.pendingReason, m.pendingSince = reason, now
	}
	if reason == "" && (in.SyncReplicas > 0 || m.hasPaused) {
		return m.resumeReplicas(now, in)
	}
	if reason == "" {
		return nil
	}
	return m.replacePrimary(now, in, reason)
}

// updatePrimary sets the primary to the server that leads the newest term.
func (m *Machine) updatePrimary(now time.Duration, servers []Server) {
	for _, s := range servers {
		if !s.hasFreshSample(now) || !s.Sample.Primary || s.Sample.Term < m.term {
			continue
		}
		if s.Sample.Term > m.term || s.ID != m.primary {
			m.primary, m.term = s.ID, s.Sample.Term
			m.leadingSince, m.position = now, s.Sample.Position
			m.order, m.unansweredCandidate, m.lastCandidate = nil, "", ""
			m.startTerm(s.ID)
		}
	}
	if m.primary == "" {
		m.primary = announcedPrimary(servers)
		m.lastAnswer = now
	}
	for _, s := range servers {
		if s.ID == m.primary && s.Sample.Primary && s.Sample.At != 0 {
			m.lastAnswer = max(m.lastAnswer, s.Sample.At)
			m.position = position.Max(m.position, s.Sample.Position)
		}
	}
}

// announcedPrimary returns the only server that claims to be the primary, or nothing if
// there is none or several. It is used until a primary has answered a probe.
func announcedPrimary(servers []Server) string {
	id := ""
	for _, s := range servers {
		if !s.ClaimsPrimary {
			continue
		}
		if id != "" {
			return ""
		}
		id = s.ID
	}
	return id
}

// replacementReason returns why the primary has to be replaced now, or an empty Reason.
func (m *Machine) replacementReason(now time.Duration, in Input) Reason {
	if now-m.startedAt < startupDelay {
		return ""
	}
	primary := findServer(in.Servers, m.primary)
	switch {
	case primary == nil && m.primary != "" && now-m.lastAnswer < unreachableTimeout:
		return ""
	case primary == nil:
		return PrimaryMissing
	case primary.Draining:
		return PrimaryLeaving
	case primary.hasFreshSample(now) && !primary.Sample.Primary:
		// The server answers as a replica and there is no other primary: it restarted after a
		// promotion that this leader has not observed, or it was demoted.
		return PrimaryMissing
	case m.isUnreachable(now, in):
		return PrimaryLost
	case now-m.leadingSince >= minTermDuration && m.isPartlyUnreachable(in):
		return PrimaryPartlyUnreachable
	default:
		return ""
	}
}

// isUnreachable reports whether neither the leader nor any node reaches the primary. If no
// node has tried to, the decision rests on the leader's probes and takes longer.
func (m *Machine) isUnreachable(now time.Duration, in Input) bool {
	sinceAnswer := now - m.lastAnswer
	if in.Reachability.Reaching > 0 || sinceAnswer < unreachableTimeout {
		return false
	}
	return in.Reachability.Failing > 0 || sinceAnswer >= leaderOnlyTimeout
}

// isPartlyUnreachable reports whether a large part of the nodes has not reached the primary
// for long.
func (m *Machine) isPartlyUnreachable(in Input) bool {
	return in.Reachability.Nodes > 1 && float64(in.Reachability.LongFailing) >= minLongFailingFraction*float64(in.Reachability.Nodes)
}

func findServer(servers []Server, id string) *Server {
	for i := range servers {
		if servers[i].ID == id {
			return &servers[i]
		}
	}
	return nil
}

// replacePrimary orders the promotion of the most advanced replica. In a group with
// synchronous replicas, it does so when the candidate has every acknowledged commit.
func (m *Machine) replacePrimary(now time.Duration, in Input, reason Reason) []Action {
	if in.SyncReplicas > 0 {
		return m.replaceSynchronous(now, in, reason)
	}
	candidate := m.selectCandidate(now, in.Servers, reason)
	if candidate == "" {
		return nil
	}
	return []Action{m.promote(now, candidate, reason)}
}

// promote returns the order to promote a server, a repeated one if the newest order was for this server.
func (m *Machine) promote(now time.Duration, candidate string, reason Reason) Action {
	if m.lastCandidate != candidate {
		m.orders++
		m.lastCandidate = candidate
	}
	m.order = &promotionOrder{candidate: candidate, orderedAt: now}
	return Action{Promote: candidate, Term: m.term + 1, Reason: reason, Order: m.orders}
}

// requiresCaughtUp reports whether the failover can wait for a replica that lacks at most
// maxMissingCommits.
func (m *Machine) requiresCaughtUp(now time.Duration, reason Reason) bool {
	switch reason {
	case PrimaryPartlyUnreachable:
		return true
	case PrimaryLeaving:
		return now-m.pendingSince < catchUpTimeout
	default:
		return false
	}
}

// isMissingCommits reports whether a replica at p lacks more than maxMissingCommits of the
// primary's known commits. The replica's own Lag is not used, because a replica that receives
// nothing does not know how far it is behind.
func (m *Machine) isMissingCommits(p position.Position) bool {
	return p.Term != m.position.Term || p.Number+maxMissingCommits < m.position.Number
}

// selectCandidate returns the server to promote, or nothing if none is eligible. A server with
// an unanswered promotion order goes first; otherwise the most advanced server is selected.
func (m *Machine) selectCandidate(now time.Duration, servers []Server, reason Reason) string {
	best := -1
	for i, s := range servers {
		if s.Draining || !s.hasFreshSample(now) || (s.ID == m.primary && reason != PrimaryMissing) {
			continue
		}
		if refusedAt, ok := m.refusedAt[s.ID]; ok && now-refusedAt < refusalBackoff {
			continue
		}
		if m.requiresCaughtUp(now, reason) && m.isMissingCommits(s.Sample.Position) {
			continue
		}
		if s.ID == m.unansweredCandidate {
			return s.ID
		}
		if best < 0 || servers[best].Sample.Position.Before(s.Sample.Position) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return servers[best].ID
}
