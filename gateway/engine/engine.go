package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/proxy/admission"
)

// maintainInterval is how often groups are looked after.
const maintainInterval = 100 * time.Millisecond

// Fleet is what the node was told by the leader.
type Fleet interface {
	View() *controlclient.View
	// MayServe is false when the node cannot know whether its configuration is current.
	MayServe(now time.Duration) bool
}

// Options configure an Engine.
type Options struct {
	Fleet  Fleet
	Dialer Dialer
	Tokens *admission.Queue
	// Place is that of the node.
	Place string
	Log   *logrus.Entry
}

// Engine serves the sessions of a node.
type Engine struct {
	opts Options
	log  *logrus.Entry

	mu     sync.Mutex
	groups map[string]*group
}

// New returns an Engine without groups.
func New(opts Options) *Engine {
	return &Engine{opts: opts, log: opts.Log, groups: map[string]*group{}}
}

// Update takes over a new view of the fleet.
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
	for name, s := range v.Catalog.Services() {
		e.group(name).update(byService[name], primaries[name], s.MaxConnections, v.Nodes)
	}
}

// Observed takes over a position that the leader spreads.
func (e *Engine) Observed(o controlclient.PrimaryPosition) {
	e.group(o.Service).observed(o.At, o.Upstream, o.Position)
}

func (e *Engine) group(service string) *group {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.groups[service]
	if g == nil {
		g = newGroup(service, e.opts.Dialer, e.log)
		e.groups[service] = g
	}
	return g
}

func (e *Engine) all() []*group {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]*group, 0, len(e.groups))
	for _, g := range e.groups {
		out = append(out, g)
	}
	return out
}

// Primaries tells how the node sees the primaries.
func (e *Engine) Primaries(now time.Duration) []*controlpb.PrimaryView {
	var out []*controlpb.PrimaryView
	for _, g := range e.all() {
		if v := g.view(now); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// Run looks after connections until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			for _, g := range e.all() {
				g.maintain(ctx, now)
			}
		}
	}
}
