package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/sessionmem"
	"github.com/jayloom/jayloom/gateway/stop"
	"github.com/jayloom/jayloom/policy/throttle"
	"github.com/jayloom/jayloom/policy/warmup"
)

// maintainInterval is how often Run maintains the groups.
const maintainInterval = 100 * time.Millisecond

// Defaults for the state of sessions: bytes over all sessions, and the number of sessions that each have a floor.
const (
	defaultSessionMemory = 48 << 20
	defaultMaxSessions   = 1000
)

// ControlClient provides the configuration and topology last received from the control
// leader.
type ControlClient interface {
	View() *controlclient.View
	// MayServe reports whether the node holds a valid serving lease. Without one, its
	// configuration may be out of date.
	MayServe(now time.Duration) bool
}

// Gate limits the requests of teams.
type Gate interface {
	// Admit counts a request of a team with the given limits and decides on it.
	Admit(now time.Duration, team string, rate, burst float64) throttle.Verdict
	// Refund takes back the admission of a request that has not run.
	Refund(team string)
}

// Options configure an Engine.
type Options struct {
	Control ControlClient
	Dialer  Dialer
	Gate    Gate
	// Permits is optional.
	Permits Permits
	// RequestReport asks for a report to the leader before the next interval. It is optional.
	RequestReport func()
	// Forwarder is optional. Address is the address at which this node takes forwarded units of work.
	Forwarder Forwarder
	Address   string
	// Place is the place of this node.
	Place string
	// Regions holds the regions of all data centres, by place.
	Regions map[string]string
	// SessionMemory is the memory for the state of sessions. The default is a budget for the smallest node.
	SessionMemory *sessionmem.Budget
	Log           *logrus.Entry
}

// Engine runs the sessions of a gateway node and owns its connections to the upstreams.
type Engine struct {
	opts Options
	log  *logrus.Entry

	// stop is the plan of a stop once one has begun.
	stop atomic.Pointer[stop.Plan]

	// opening holds callers while the node has no configuration yet.
	opening *opening

	mu     sync.Mutex
	groups map[string]*group
	// stateRefusalLoggedAt is when the last refusal of session state was logged, by team.
	stateRefusalLoggedAt map[string]time.Duration
}

// New returns an Engine. It has no upstreams until Update is called.
func New(opts Options) *Engine {
	if opts.Permits == nil {
		opts.Permits = warmup.NewPermits()
	}
	if opts.RequestReport == nil {
		opts.RequestReport = func() {}
	}
	if opts.SessionMemory == nil {
		opts.SessionMemory = sessionmem.New(defaultSessionMemory, defaultMaxSessions)
	}
	e := &Engine{opts: opts, log: opts.Log, groups: map[string]*group{}, stateRefusalLoggedAt: map[string]time.Duration{}}
	e.opening = newOpening(e)
	return e
}

// Update applies a new view of the topology and the catalog.
func (e *Engine) Update(v *controlclient.View) {
	if v.Topology == nil || v.Catalog == nil {
		return
	}
	byService := map[string][]*controlpb.TopologyUpstream{}
	for _, u := range v.Topology.Upstreams {
		byService[u.Service] = append(byService[u.Service], u)
	}
	primaries := map[string]*controlpb.TopologyPrimary{}
	for _, p := range v.Topology.Primaries {
		primaries[p.Service] = p
	}
	e.retainLinks(v.Topology)
	for name, s := range v.Catalog.Services() {
		e.group(name).setDrains(v.DrainEnds, v.PlaceDrains)
		e.group(name).update(byService[name], primaries[name], s, v.Nodes)
	}
}

// RecordPosition records a position of a primary that the control leader has distributed.
func (e *Engine) RecordPosition(o controlclient.PrimaryPosition) {
	e.group(o.Service).recordPosition(o.At, o.Upstream, o.Position)
}

func (e *Engine) group(service string) *group {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[service]
	if g == nil {
		g = newGroup(service, e.opts.Dialer, e.opts.Permits, e.log)
		g.forwarder, g.address = e.opts.Forwarder, e.opts.Address
		e.groups[service] = g
	}
	return g
}

func (e *Engine) allGroups() []*group {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*group, 0, len(e.groups))
	for _, g := range e.groups {
		out = append(out, g)
	}
	return out
}

// Primaries returns how this node sees the primary of each service.
func (e *Engine) Primaries(now time.Duration) []*controlpb.PrimaryView {
	var out []*controlpb.PrimaryView
	for _, g := range e.allGroups() {
		if v := g.primaryView(now); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// Run maintains the connections to the upstreams until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			for _, g := range e.allGroups() {
				g.maintain(ctx, now)
			}
		}
	}
}
