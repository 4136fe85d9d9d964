// Package view provides the control state to request handling as immutable snapshots behind
// an atomic pointer.
package view

import (
	"slices"
	"strings"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/route"
)

// Config is the replicated control state, indexed for lookups. It is immutable and changes
// only with the revision.
type Config struct {
	Revision  uint64
	Teams     map[string]*Team
	Routes    *route.Table
	Groups    map[string]*Group
	Upstreams map[string]*controlpb.Upstream
	TokenKey  []byte
	// ProxyNumber is this proxy's number in cancel keys, 0 until control has assigned one.
	ProxyNumber uint32
	// Peers maps the numbers of all proxies to their peering addresses.
	Peers map[uint32]string
}

// Team holds the active keys of a team and the SCRAM parameters of their verifiers.
type Team struct {
	Name       string
	Salt       []byte
	Iterations int
	// Keys are sorted by identifier.
	Keys []Key
}

// Key is the SCRAM verifier of one active key.
type Key struct {
	ID        string
	StoredKey []byte
	ServerKey []byte
}

// HasKey reports whether the key with this identifier is active.
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
	// Replicas are the addresses of the upstreams that may serve reads, sorted.
	Replicas []string
}

// Compile builds the Config of the proxy with the given name. The Config shares parts of
// state, which must not be modified afterwards.
func Compile(state *controlpb.FleetState, proxyName string) *Config {
	c := &Config{
		Revision:    state.Revision,
		Teams:       make(map[string]*Team, len(state.Teams)),
		Routes:      route.NewTable(state),
		Groups:      make(map[string]*Group, len(state.Groups)),
		Upstreams:   state.Upstreams,
		TokenKey:    state.TokenKey,
		ProxyNumber: state.Proxies[proxyName].GetNumber(),
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

// Usable reports whether an upstream may get new requests.
func (c *Config) Usable(address string) bool {
	upstream, ok := c.Upstreams[address]
	return ok && upstream.State == controlpb.UpstreamState_UPSTREAM_STATE_JOINING
}
