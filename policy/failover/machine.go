package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Machine makes the failover decisions for all groups. It is not safe for concurrent
// use.
type Machine struct {
	cfg       Config
	leading   bool
	electedAt time.Duration
	groups    map[string]*group
	// groupNames holds the keys of groups in sorted order, so that the order of
	// effects is deterministic.
	groupNames []string
	upstreams  map[string]*upstream
	// lastGrants maps each process that may hold primary leases to the time of its
	// last grant by this leader.
	lastGrants map[Holder]time.Duration
	effects    []Effect
}

// New returns a Machine that is not leading; Elected starts it.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Step handles an event and returns the resulting effects in the order in which they
// must be executed.
func (m *Machine) Step(now time.Duration, ev Event) []Effect {
	m.effects = nil
	if e, ok := ev.(Elected); ok {
		m.startLeading(now, e.State)
	} else if m.leading {
		m.handleEvent(now, ev)
	}
	return m.effects
}

func (m *Machine) startLeading(now time.Duration, state *controlpb.FleetState) {
	m.leading = true
	m.electedAt = now
	m.groups = map[string]*group{}
	m.upstreams = map[string]*upstream{}
	m.lastGrants = map[Holder]time.Duration{}
	m.syncState(now, state)
	m.evaluateAll(now)
}

func (m *Machine) handleEvent(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Deposed:
		m.leading = false
	case Applied:
		m.syncState(now, e.State)
		m.evaluateAll(now)
	case ProbeResult:
		m.handleProbeResult(now, e)
	case LeaseGranted:
		m.lastGrants[e.Holder] = now
	case FenceAcknowledged:
		m.handleFenceAcknowledged(now, e)
	case ProposalFailed:
		if g, ok := m.groups[e.Group]; ok {
			g.proposal = proposal{}
		}
	case PromoteResult:
		m.handlePromoteResult(e)
	case FollowResult:
		m.handleFollowResult(e)
	case Tick:
		m.dropExpiredGrants(now)
		m.evaluateAll(now)
	}
}

// syncState copies the groups and upstreams of the replicated state into m.
func (m *Machine) syncState(now time.Duration, state *controlpb.FleetState) {
	members := map[string][]*upstream{}
	for address, pb := range state.Upstreams {
		u, ok := m.upstreams[address]
		if !ok || u.group != pb.Group {
			u = &upstream{address: address, group: pb.Group}
			m.upstreams[address] = u
		}
		u.setState(now, pb.State)
		members[u.group] = append(members[u.group], u)
	}
	maps.DeleteFunc(m.upstreams, func(address string, _ *upstream) bool {
		return state.Upstreams[address] == nil
	})
	maps.DeleteFunc(m.groups, func(name string, _ *group) bool {
		return state.Groups[name] == nil
	})
	for name, pb := range state.Groups {
		g, ok := m.groups[name]
		if !ok {
			g = &group{name: name, stateSince: now}
			m.groups[name] = g
		}
		g.members = members[name]
		slices.SortFunc(g.members, byAddress)
		m.syncGroup(now, g, pb)
	}
	m.groupNames = slices.Sorted(maps.Keys(m.groups))
}

func (m *Machine) evaluateAll(now time.Duration) {
	for _, name := range m.groupNames {
		m.evaluate(now, m.groups[name])
	}
}

// evaluate emits the effects that a group needs in its current phase.
func (m *Machine) evaluate(now time.Duration, g *group) {
	switch {
	case g.primary == "":
		m.adoptPrimary(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED && g.switchover:
		m.driveSwitchover(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED:
		m.driveFailover(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_PROMOTING:
		m.drivePromotion(now, g)
	default:
		m.checkPrimary(now, g)
		m.startSwitchover(now, g)
		m.followPrimary(now, g)
		m.readmitReplicas(now, g)
	}
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// propose proposes a command unless another proposal for the group is pending. A
// proposal without a result is replaced after RetryInterval; if both are committed, the
// replicated state refuses the second copy.
func (m *Machine) propose(now time.Duration, g *group, c *controlpb.Command) {
	if g.proposal.pending && now-g.proposal.sentAt < m.cfg.RetryInterval {
		return
	}
	g.proposal = proposal{pending: true, sentAt: now}
	m.emit(Propose{Group: g.name, Command: c})
}
