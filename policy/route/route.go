// Package route parses the tag of a request and resolves it to the group and the kind of
// target that serve the request.
package route

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// PublicTeam is the user name, and so the team, of callers without a key.
const PublicTeam = "public"

// SlotMap maps the slots of services to groups.
type SlotMap interface {
	Group(service string, slot uint32) (group string, ok bool)
}

// Plan describes how a request is served.
type Plan struct {
	// Route is the route's name, empty for a request without one.
	Route string
	Group string
	// Read is set for a read-only route, whose requests replicas may serve.
	Read       bool
	Idempotent bool
	// MaxStaleness bounds the age of the data that a read may return; 0 means
	// read-your-writes.
	MaxStaleness time.Duration
	// Deadline is 0 if the proxy's default applies.
	Deadline time.Duration
	// WaitForReplica delays the answer to a write until a replica has the write.
	WaitForReplica bool
}

// serviceSlots is the compiled slot map of one service.
type serviceSlots struct {
	slots []string
	// soleGroup is the group that has all slots of the service, or "" if there are
	// several groups. Requests to a service with one group need no slot.
	soleGroup string
}

// Table resolves requests to plans. It is immutable.
type Table struct {
	services map[string]serviceSlots
	routes   map[string]*routeEntry
	// allowedRoutes maps each team with restricted access to the routes that it may use.
	allowedRoutes map[string]map[string]bool
}

type routeEntry struct {
	service string
	open    bool
	plan    Plan
}

// NewTable compiles the services, routes and teams of the replicated state.
func NewTable(state *controlpb.FleetState) *Table {
	t := &Table{
		services:      make(map[string]serviceSlots, len(state.Services)),
		routes:        make(map[string]*routeEntry, len(state.Routes)),
		allowedRoutes: map[string]map[string]bool{},
	}
	for name, s := range state.Services {
		t.services[name] = compileService(s)
	}
	for name, r := range state.Routes {
		t.routes[name] = compileRoute(r)
	}
	for name, team := range state.Teams {
		if len(team.Routes) > 0 {
			t.allowedRoutes[name] = stringSet(team.Routes)
		}
	}
	return t
}

func compileService(s *controlpb.Service) serviceSlots {
	compiled := serviceSlots{slots: append([]string(nil), s.SlotGroups...)}
	for i, group := range compiled.slots {
		if i > 0 && group != compiled.soleGroup {
			compiled.soleGroup = ""
			return compiled
		}
		compiled.soleGroup = group
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

func stringSet(names []string) map[string]bool {
	m := make(map[string]bool, len(names))
	for _, name := range names {
		m[name] = true
	}
	return m
}

// HasService reports whether the service exists.
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

// Resolve returns the plan for a team's request to a service.
func (t *Table) Resolve(team, service string, tag Tag) (Plan, *rescode.Error) {
	plan, err := t.resolvePlan(team, service, tag)
	if err != nil {
		return Plan{}, err
	}
	plan.Group, err = t.resolveGroup(service, tag)
	return plan, err
}

func (t *Table) resolvePlan(team, service string, tag Tag) (Plan, *rescode.Error) {
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
	if entry.service != service {
		return Plan{}, rescode.New(rescode.RouteServiceMismatch, "route %q belongs to service %q", tag.Route, entry.service)
	}
	if team == PublicTeam && !entry.open {
		return Plan{}, rescode.New(rescode.KeyRequired, "route %q is not open", tag.Route)
	}
	if allowed, limited := t.allowedRoutes[team]; limited && !allowed[tag.Route] && !entry.open {
		return Plan{}, rescode.New(rescode.RouteNotAllowed, "team %q, route %q", team, tag.Route)
	}
	return entry.plan, nil
}

func (t *Table) resolveGroup(service string, tag Tag) (string, *rescode.Error) {
	s, ok := t.services[service]
	if !ok {
		return "", rescode.New(rescode.UnknownService, "service %q", service)
	}
	if !tag.HasSlot {
		if s.soleGroup == "" {
			return "", rescode.New(rescode.SlotRequired, "service %q has %d slots", service, len(s.slots))
		}
		return s.soleGroup, nil
	}
	group, ok := t.Group(service, tag.Slot)
	if !ok {
		return "", rescode.New(rescode.UnknownSlot, "service %q has no slot %d", service, tag.Slot)
	}
	return group, nil
}
