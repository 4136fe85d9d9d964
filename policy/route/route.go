// Package route decides which group and what kind of target serve a request.
package route

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// PublicTeam is the user name of callers without a key.
const PublicTeam = "public"

// SlotMap finds the group that carries a slot of a service.
type SlotMap interface {
	Group(service string, slot uint32) (group string, ok bool)
}

// Plan says how a request is to be served.
type Plan struct {
	// Route is the route's name, empty for a request without one.
	Route string
	Group string
	// Read routes may be served by replicas and cannot write.
	Read       bool
	Idempotent bool
	// MaxStaleness is the age that a read's data may have; 0 means read-your-writes.
	MaxStaleness time.Duration
	// Deadline is 0 when the proxy's default applies.
	Deadline time.Duration
	// WaitForReplica holds the answer of a write until a replica has it.
	WaitForReplica bool
}

// service is the compiled slot map of one service.
type service struct {
	slots []string
	// only is the group of a service on one group, which needs no slot.
	only string
}

// Table answers route lookups. It is immutable.
type Table struct {
	services map[string]service
	routes   map[string]*routeEntry
	// allowed holds the routes of teams that may not use all.
	allowed map[string]map[string]bool
}

type routeEntry struct {
	service string
	open    bool
	plan    Plan
}

// NewTable compiles the routing part of the control state.
func NewTable(state *controlpb.FleetState) *Table {
	t := &Table{
		services: make(map[string]service, len(state.Services)),
		routes:   make(map[string]*routeEntry, len(state.Routes)),
		allowed:  map[string]map[string]bool{},
	}
	for name, s := range state.Services {
		t.services[name] = compileService(s)
	}
	for name, r := range state.Routes {
		t.routes[name] = compileRoute(r)
	}
	for name, team := range state.Teams {
		if len(team.Routes) > 0 {
			t.allowed[name] = set(team.Routes)
		}
	}
	return t
}

func compileService(s *controlpb.Service) service {
	compiled := service{slots: append([]string(nil), s.SlotGroups...)}
	for i, group := range compiled.slots {
		if i > 0 && group != compiled.only {
			compiled.only = ""
			return compiled
		}
		compiled.only = group
	}
	return compiled
}

func compileRoute(r *controlpb.Route) *routeEntry {
	return &routeEntry{
		service: r.Service,
		open:    r.Open,
		plan: Plan{
			Route:          r.Name,
			Read:           r.Read,
			Idempotent:     r.Idempotent,
			MaxStaleness:   time.Duration(r.MaxAgeMs) * time.Millisecond,
			Deadline:       time.Duration(r.DeadlineMs) * time.Millisecond,
			WaitForReplica: r.Acknowledgement == controlpb.Acknowledgement_ACKNOWLEDGEMENT_REPLICA,
		},
	}
}

func set(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, name := range names {
		m[name] = true
	}
	return m
}

// HasService reports whether a service is known.
func (t *Table) HasService(name string) bool {
	_, ok := t.services[name]
	return ok
}

// Group implements SlotMap.
func (t *Table) Group(name string, slot uint32) (string, bool) {
	slots := t.services[name].slots
	if uint64(slot) >= uint64(len(slots)) {
		return "", false
	}
	return slots[slot], true
}

// Resolve decides how a team's request to a service is served.
func (t *Table) Resolve(team, serviceName string, tag Tag) (Plan, *rescode.Error) {
	plan, err := t.plan(team, serviceName, tag)
	if err != nil {
		return Plan{}, err
	}
	plan.Group, err = t.group(serviceName, tag)
	return plan, err
}

func (t *Table) plan(team, serviceName string, tag Tag) (Plan, *rescode.Error) {
	if tag.Route == "" {
		if team == PublicTeam {
			return Plan{}, rescode.New(rescode.KeyRequired, "a request without a route needs a key")
		}
		return Plan{}, nil
	}
	entry, ok := t.routes[tag.Route]
	if !ok {
		return Plan{}, rescode.New(rescode.UnknownRoute, "route %q", tag.Route)
	}
	if entry.service != serviceName {
		return Plan{}, rescode.New(rescode.RouteServiceMismatch, "route %q belongs to service %q", tag.Route, entry.service)
	}
	if team == PublicTeam && !entry.open {
		return Plan{}, rescode.New(rescode.KeyRequired, "route %q is not open", tag.Route)
	}
	if allowed, limited := t.allowed[team]; limited && !allowed[tag.Route] && !entry.open {
		return Plan{}, rescode.New(rescode.RouteNotAllowed, "team %q, route %q", team, tag.Route)
	}
	return entry.plan, nil
}

func (t *Table) group(serviceName string, tag Tag) (string, *rescode.Error) {
	s, ok := t.services[serviceName]
	if !ok {
		return "", rescode.New(rescode.UnknownService, "service %q", serviceName)
	}
	if !tag.HasSlot {
		if s.only == "" {
			return "", rescode.New(rescode.SlotRequired, "service %q has %d slots", serviceName, len(s.slots))
		}
		return s.only, nil
	}
	group, ok := t.Group(serviceName, tag.Slot)
	if !ok {
		return "", rescode.New(rescode.UnknownSlot, "service %q has no slot %d", serviceName, tag.Slot)
	}
	return group, nil
}
