package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Machine decides for all groups. It is owned by one goroutine.
type Machine struct {
	cfg       Config
	leading   bool
	electedAt time.Duration
	groups    map[string]*group
	// names holds the keys of groups in order, so that effects do not depend on
	// map order.
	names     []string
	upstreams map[string]*upstream
	// holders maps each process that may hold primary leases to the time of its
	// last grant by this leader.
	holders map[Holder]time.Duration
	effects []Effect
}

// New returns a Machine that does not lead.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Step handles an event and returns what is to be done, in order.
func (m *Machine) Step(now time.Duration, ev Event) []Effect {
	m.effects = nil
	if e, ok := ev.(Elected); ok {
		m.lead(now, e.State)
	} else if m.leading {
		m.handle(now, ev)
	}
	return m.effects
}

func (m *Machine) lead(now time.Duration, state *controlpb.FleetState) {
	m.leading = true
	m.electedAt = now
	m.groups = map[string]*group{}
	m.upstreams = map[string]*upstream{}
	m.holders = map[Holder]time.Duration{}
	m.sync(now, state)
	m.evaluateAll(now)
}

func (m *Machine) handle(now time.Duration, ev Event) {
	switch e := ev.(type) {
	case Deposed:
		m.leading = false
	case Applied:
		m.sync(now, e.State)
		m.evaluateAll(now)
	case ProbeResult:
		m.probed(now, e)
	case LeaseGranted:
		m.holders[e.Holder] = now
	case FenceAcknowledged:
		m.fenceAcknowledged(now, e)
	case ProposalFailed:
		if g, ok := m.groups[e.Group]; ok {
			g.proposal = proposal{}
		}
	case PromoteResult:
		m.promoteResult(e)
	case FollowResult:
		m.followResult(e)
	case Tick:
		m.forgetHolders(now)
		m.evaluateAll(now)
	}
}

// sync takes over what the replicated state says of groups and upstreams.
func (m *Machine) sync(now time.Duration, state *controlpb.FleetState) {
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
			g = &group{name: name, since: now}
			m.groups[name] = g
		}
		g.members = members[name]
		slices.SortFunc(g.members, byAddress)
		m.syncGroup(now, g, pb)
	}
	m.names = slices.Sorted(maps.Keys(m.groups))
}

func (m *Machine) evaluateAll(now time.Duration) {
	for _, name := range m.names {
		m.evaluate(now, m.groups[name])
	}
}

// evaluate decides what a group needs now.
func (m *Machine) evaluate(now time.Duration, g *group) {
	switch {
	case g.primary == "":
		m.adopt(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED && g.switchover:
		m.catchUp(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_FENCED:
		m.choose(now, g)
	case g.phase == controlpb.GroupPhase_GROUP_PHASE_PROMOTING:
		m.promote(now, g)
	default:
		m.watch(now, g)
		m.leave(now, g)
		m.follow(now, g)
		m.readmit(now, g)
	}
}

func (m *Machine) emit(e Effect) {
	m.effects = append(m.effects, e)
}

// propose proposes a command unless one of the group is under way. A proposal
// without a result is repeated: a second copy of it is refused by the state.
func (m *Machine) propose(now time.Duration, g *group, c *controlpb.Command) {
	if g.proposal.pending && now-g.proposal.at < m.cfg.RetryInterval {
		return
	}
	g.proposal = proposal{pending: true, at: now}
	m.emit(Propose{Group: g.name, Command: c})
}
