// Package view holds what traffic sees of the control state: immutable snapshots
// behind an atomic pointer.
package view

import (
	"slices"
	"strings"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/route"
)

// Config is the compiled replicated state. It changes with the revision only.
type Config struct {
	Revision  uint64
	Teams     map[string]*Team
	Routes    *route.Table
	Groups    map[string]*Group
	Upstreams map[string]*controlpb.Upstream
	TokenKey  []byte
	// ProxyNumber is this proxy's number in cancel keys, 0 while it has none.
	ProxyNumber uint32
	// Peers are the peering addresses of all proxies by number.
	Peers map[uint32]string
}

// Team is a team with its active keys.
type Team struct {
	Name       string
	Salt       []byte
	Iterations int
	// Keys are in the order of their identifiers.
	Keys []Key
}

// Key is the verifier of one active key.
type Key struct {
	ID        string
	StoredKey []byte
	ServerKey []byte
}

// HasKey reports whether a key is active.
func (t *Team) HasKey(id string) bool {
	return slices.ContainsFunc(t.Keys, func(k Key) bool { return k.ID == id })
}

// Group is a database group in its current term.
type Group struct {
	Name    string
	Service string
	Term    uint64
	Primary string
	Healthy bool
	History []*controlpb.TermStart
	// Replicas are the upstreams that may serve reads, in the order of their addresses.
	Replicas []string
}

// Compile builds a Config that shares nothing with state but what never changes.
// self is the name of this proxy.
func Compile(state *controlpb.FleetState, self string) *Config {
	c := &Config{
		Revision:    state.Revision,
		Teams:       make(map[string]*Team, len(state.Teams)),
		Routes:      route.NewTable(state),
		Groups:      make(map[string]*Group, len(state.Groups)),
		Upstreams:   state.Upstreams,
		TokenKey:    state.TokenKey,
		ProxyNumber: state.Proxies[self].GetNumber(),
		Peers:       make(map[uint32]string, len(state.Proxies)),
	}
	for name, team := range state.Teams {
		c.Teams[name] = compileTeam(team)
	}
	for name, group := range state.Groups {
		c.Groups[name] = compileGroup(group)
	}
	for _, upstream := range state.Upstreams {
		c.addReplica(upstream)
	}
	for _, group := range c.Groups {
		slices.Sort(group.Replicas)
	}
	for _, proxy := range state.Proxies {
		c.Peers[proxy.Number] = proxy.PeeringAddress
	}
	return c
}

func compileTeam(team *controlpb.Team) *Team {
	compiled := &Team{
		Name:       team.Name,
		Salt:       team.ScramSalt,
		Iterations: int(team.ScramIterations),
	}
	for id, key := range team.Keys {
		compiled.Keys = append(compiled.Keys, Key{ID: id, StoredKey: key.StoredKey, ServerKey: key.ServerKey})
	}
	slices.SortFunc(compiled.Keys, func(a, b Key) int { return strings.Compare(a.ID, b.ID) })
	return compiled
}

func compileGroup(group *controlpb.Group) *Group {
	return &Group{
		Name:    group.Name,
		Service: group.Service,
		Term:    group.Term,
		Primary: group.Primary,
		Healthy: group.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY,
		History: group.History,
	}
}

func (c *Config) addReplica(upstream *controlpb.Upstream) {
	group, ok := c.Groups[upstream.Group]
	if !ok || upstream.State != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
		return
	}
	if upstream.Address != group.Primary {
		group.Replicas = append(group.Replicas, upstream.Address)
	}
}

// Usable reports whether an upstream may get new work.
func (c *Config) Usable(address string) bool {
	upstream, ok := c.Upstreams[address]
	return ok && upstream.State == controlpb.UpstreamState_UPSTREAM_STATE_JOINING
}
