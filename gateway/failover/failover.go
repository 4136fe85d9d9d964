// Package succession decides who leads a database group whose servers end the reign
// of a replaced primary by themselves, at the moment of the promotion. No lease has to
// lapse first; what remains to be decided is when to promote and whom.
//
// The machine is pure: it gets the time and what is known, and returns orders.
package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// sampleFresh is the age up to which a probe counts: one second between probes of a
	// replica, and the time of an answer.
	sampleFresh = 1300 * time.Millisecond
	// suspectAfter is the time without an answer after which a primary that nobody
	// reaches is replaced.
	suspectAfter = 600 * time.Millisecond
	// suspectAlone applies when no node has tried to reach the primary.
	suspectAlone = 1500 * time.Millisecond
	// partialShare is the share of the nodes that must have lost a primary for long
	// before it is replaced although others reach it.
	partialShare = 0.4
	// maxMissing bounds the commits that the candidate may lack then, and when a primary
	// leaves: acknowledged writes are worth more than a few seconds of some nodes.
	maxMissing = 10
	// leavingPatience is how long a primary that leaves is kept while every replica lacks
	// commits. It serves on for 7 s on the sites that are known.
	leavingPatience = 3 * time.Second
	// reignTime is how long a new primary leads before it is replaced because many do
	// not reach it: what they report may be of the time before.
	reignTime = 3 * time.Second
	// orderPatience is the time for an ordered promotion to show before it is ordered
	// anew. The longest promotion that the deployments state takes 1 s.
	orderPatience = 2500 * time.Millisecond
	// settleTime is how long a new leader listens before it replaces anybody: one
	// announcement interval and some probes.
	settleTime = 1500 * time.Millisecond
	// rejectedFor is how long a candidate that the platform refused is passed over.
	rejectedFor = 2 * time.Second
)

// Server is what the leader knows of one upstream of the group.
type Server struct {
	ID       string
	Draining bool
	// ClaimsPrimary is the role in its newest announcement.
	ClaimsPrimary bool
	LastContact   time.Duration
	Sample        Sample
}

// Sample is the newest answer to a probe.
type Sample struct {
	// At is the time of the probe; zero without an answer.
	At       time.Duration
	Primary  bool
	Term     uint64
	Position position.Position
	// PausedTerm is the term for which the server has stopped to receive, or 0.
	PausedTerm uint64
	Lag        time.Duration
	// PositionAsPrimary is true when the server led when it was asked for Position.
	PositionAsPrimary bool
}

func (s Server) fresh(now time.Duration) bool {
	return s.Sample.At != 0 && now-s.Sample.At <= sampleFresh
}

// Reachability is how many nodes reach the primary.
type Reachability struct {
	// Nodes is the number of nodes that report.
	Nodes int
	// LongFailing and Failing are those whose attempts have failed for long and for a
	// moment, Reaching those that it has answered lately. The others have no opinion.
	LongFailing, Failing, Reaching int
}

// Input is everything that a decision depends on.
type Input struct {
	Servers      []Server
	Reachability Reachability
	// SyncReplicas is how many replicas must have received an acknowledged commit.
	SyncReplicas int
}

// Action is something to carry out.
type Action struct {
	// Promote names the server to promote; otherwise Pause does, with Term.
	Promote string
	Pause   string
	Term    uint64
	Reason  Reason
}

// Reason says why a primary is replaced.
type Reason string

// Reasons.
const (
	PrimaryLost              Reason = "primary_lost"
	PrimaryLeaving           Reason = "primary_leaving"
	PrimaryPartlyUnreachable Reason = "primary_unreachable_for_many"
	PrimaryMissing           Reason = "no_primary"
)

// Machine decides for one group. It has one owner.
type Machine struct {
	startedAt time.Duration
	primary   string
	term      uint64
	// answeredAt is when the primary last answered the leader.
	answeredAt time.Duration
	// ledSince is when the primary was first seen to lead, position the newest of its log.
	ledSince time.Duration
	position position.Position
	ordered  *order
	// unanswered is the candidate of an order that may still be carried out.
	unanswered string
	// pending is why the primary has to be replaced, since pendingSince.
	pending      Reason
	pendingSince time.Duration
	rejected     map[string]time.Duration
}

type order struct {
	candidate string
	at        time.Duration
}

// New returns a machine for a leader that starts at now.
func New(now time.Duration) *Machine {
	return &Machine{startedAt: now, rejected: map[string]time.Duration{}}
}

// Primary returns the primary in force, its term, and whether it is being replaced.
func (m *Machine) Primary() (id string, term uint64, changing bool) {
	return m.primary, m.term, m.ordered != nil
}

// Adopt takes over what an earlier leader said, unless more is known already.
func (m *Machine) Adopt(now time.Duration, primary string, term uint64) {
	if term <= m.term || primary == "" {
		return
	}
	m.primary, m.term, m.answeredAt = primary, term, now
}

// Pending reports whether a change is due and has not been ordered. The servers should
// then be probed more often, because the choice depends on their newest positions.
func (m *Machine) Pending() bool {
	return m.pending != "" && m.ordered == nil
}

// HandleRefused takes over that the platform refused to promote a server.
func (m *Machine) HandleRefused(now time.Duration, id string) {
	m.rejected[id] = now
	m.ordered = nil
}

// HandleNotSent takes over that an order was not accepted. It is given again.
func (m *Machine) HandleNotSent() {
	m.ordered = nil
}

// HandleUnknownOutcome takes over that an order got no answer. It is given again at once, to the same
// server while that can lead: the first one may still be carried out, and a change to another
// server behind it would roll back what was written in between.
func (m *Machine) HandleUnknownOutcome(now time.Duration) {
	if m.ordered == nil {
		return
	}
	m.unanswered = m.ordered.candidate
	m.ordered.at = now - orderPatience
}

// Step decides. It returns at most one promotion.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	m.observe(now, in.Servers)
	if m.ordered != nil {
		if now-m.ordered.at < orderPatience {
			return nil
		}
		m.ordered = nil
	}
	reason := m.reason(now, in)
	if reason != m.pending {
		m.pending, m.pendingSince = reason, now
	}
	if reason == "" {
		return nil
	}
	return m.replace(now, in, reason)
}

// observe finds the server that leads the newest term.
func (m *Machine) observe(now time.Duration, servers []Server) {
	for _, s := range servers {
		if !s.fresh(now) || !s.Sample.Primary || s.Sample.Term < m.term {
			continue
		}
		if s.Sample.Term > m.term || s.ID != m.primary {
			m.primary, m.term = s.ID, s.Sample.Term
			m.ledSince, m.position = now, s.Sample.Position
			m.ordered, m.unanswered = nil, ""
		}
	}
	if m.primary == "" {
		m.primary = announcedPrimary(servers)
		m.answeredAt = now
	}
	for _, s := range servers {
		if s.ID == m.primary && s.Sample.Primary && s.Sample.At != 0 {
			m.answeredAt = max(m.answeredAt, s.Sample.At)
			m.position = position.Max(m.position, s.Sample.Position)
		}
	}
}

// announcedPrimary returns the one server that says it leads, before any has answered.
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

// reason returns why the primary has to be replaced now, or nothing.
func (m *Machine) reason(now time.Duration, in Input) Reason {
	if now-m.startedAt < settleTime {
		return ""
	}
	primary := find(in.Servers, m.primary)
	switch {
	case primary == nil && m.primary != "" && now-m.answeredAt < suspectAfter:
		return ""
	case primary == nil:
		return PrimaryMissing
	case primary.Draining:
		return PrimaryLeaving
	case primary.fresh(now) && !primary.Sample.Primary:
		// It answers as a replica and nobody leads: it came back after a promotion that
		// this leader does not see, or it was demoted.
		return PrimaryMissing
	case m.lostByAll(now, in):
		return PrimaryLost
	case now-m.ledSince >= reignTime && m.lostByMany(in):
		return PrimaryPartlyUnreachable
	default:
		return ""
	}
}

// lostByAll reports whether neither the leader nor any node reaches the primary. Without
// a node that has tried, the leader alone decides, and waits longer.
func (m *Machine) lostByAll(now time.Duration, in Input) bool {
	silent := now - m.answeredAt
	if in.Reachability.Reaching > 0 || silent < suspectAfter {
		return false
	}
	return in.Reachability.Failing > 0 || silent >= suspectAlone
}

func (m *Machine) lostByMany(in Input) bool {
	return in.Reachability.Nodes > 1 && float64(in.Reachability.LongFailing) >= partialShare*float64(in.Reachability.Nodes)
}

func find(servers []Server, id string) *Server {
	for i := range servers {
		if servers[i].ID == id {
			return &servers[i]
		}
	}
	return nil
}

// replace orders the promotion of the most advanced replica, behind a pause where
// acknowledged commits must be on it.
func (m *Machine) replace(now time.Duration, in Input, reason Reason) []Action {
	if in.SyncReplicas > 0 {
		if pauses, complete := m.pause(now, in); !complete {
			return pauses
		}
	}
	candidate := m.candidate(now, in.Servers, reason)
	if candidate == "" {
		return nil
	}
	m.ordered = &order{candidate: candidate, at: now}
	return []Action{{Promote: candidate, Term: m.term + 1, Reason: reason}}
}

// pause stops the replicas from receiving, so that their positions are final. It is
// complete when every acknowledged commit is on one of those that have stopped.
func (m *Machine) pause(now time.Duration, in Input) (pauses []Action, complete bool) {
	stopped, replicas := 0, 0
	for _, s := range in.Servers {
		if s.ID == m.primary {
			continue
		}
		replicas++
		switch {
		case !s.fresh(now):
		case s.Sample.PausedTerm > m.term:
			stopped++
		default:
			pauses = append(pauses, Action{Pause: s.ID, Term: m.term + 1})
		}
	}
	return pauses, stopped > 0 && stopped >= replicas-in.SyncReplicas+1
}

// mustHaveAll reports whether the change can wait for a replica that has what the primary
// has.
func (m *Machine) mustHaveAll(now time.Duration, reason Reason) bool {
	switch reason {
	case PrimaryPartlyUnreachable:
		return true
	case PrimaryLeaving:
		return now-m.pendingSince < leavingPatience
	default:
		return false
	}
}

// lacks reports whether a replica misses more than a few commits that the primary is
// known to have had. A replica that receives nothing does not know how far it is behind.
func (m *Machine) lacks(p position.Position) bool {
	return p.Term != m.position.Term || p.Number+maxMissing < m.position.Number
}

func (m *Machine) candidate(now time.Duration, servers []Server, reason Reason) string {
	best := -1
	for i, s := range servers {
		if s.Draining || !s.fresh(now) || (s.ID == m.primary && reason != PrimaryMissing) {
			continue
		}
		if at, ok := m.rejected[s.ID]; ok && now-at < rejectedFor {
			continue
		}
		if m.mustHaveAll(now, reason) && m.lacks(s.Sample.Position) {
			continue
		}
		if s.ID == m.unanswered {
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
