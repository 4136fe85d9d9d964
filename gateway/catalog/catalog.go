// Package catalog validates configurations, looks up routes, services and teams in them, and
// computes the difference between two versions.
package catalog

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Route defines how the statements for one database name are served.
type Route struct {
	Name     string
	Database string
	Service  string
	// Consistency is the guarantee that reads need.
	Consistency controlpb.Consistency
	// MaxStaleness limits how old the data of a read may be, unless Consistency is primary.
	MaxStaleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// LatencyObjective is the target duration of a whole operation.
	LatencyObjective time.Duration
	// Priority orders waiting statements; 0 is the most urgent.
	Priority uint32
	// Public routes need no key.
	Public bool
	// Regions are the regions in which the statements may run; empty means any.
	Regions []string
}

// Team owns API keys and has a rate limit.
type Team struct {
	Name  string
	Rate  float64
	Burst float64
	// Regions are the regions in which the statements may run; empty means any.
	Regions []string
}

// Service is a database group.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts in total.
	MaxConnections int
	// SyncReplicas is the number of replicas that must receive a commit before it is
	// acknowledged.
	SyncReplicas int
	// WarmupRate is the number of requests per second that an upstream can take while it warms up; 0 means that
	// there is no limit.
	WarmupRate float64
}

// Catalog is a validated configuration. It is immutable.
type Catalog struct {
	Version uint64
	// TransactionIdleTimeout is the idle time after which a transaction is ended; 0 means
	// no limit.
	TransactionIdleTimeout time.Duration

	routes   map[string]*Route
	services map[string]*Service
	teams    map[string]*Team
	// byKey maps API keys to teams.
	byKey map[string]*Team
}

// New validates a configuration and prepares it for lookups.
func New(in *controlpb.Catalog) (*Catalog, *rescode.Error) {
	c := &Catalog{
		Version:                in.Version,
		TransactionIdleTimeout: milliseconds(in.TransactionIdleMs),
		routes:                 make(map[string]*Route, len(in.Routes)),
		services:               make(map[string]*Service, len(in.Services)),
		teams:                  make(map[string]*Team, len(in.Teams)),
		byKey:                  map[string]*Team{},
	}
	if in.Version == 0 {
		return nil, invalid("the configuration has no version")
	}
	for _, s := range in.Services {
		if err := c.addService(s); err != nil {
			return nil, err
		}
	}
	for _, r := range in.Routes {
		if err := c.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, t := range in.Teams {
		if err := c.addTeam(t); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func invalid(format string, args ...any) *rescode.Error {
	return rescode.New(rescode.InvalidCommand, format, args...)
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func (c *Catalog) addService(s *controlpb.CatalogService) *rescode.Error {
	if s.Name == "" {
		return invalid("a service has no name")
	}
	if c.services[s.Name] != nil {
		return invalid("service %q is declared twice", s.Name)
	}
	c.services[s.Name] = &Service{
		Name: s.Name, MaxConnections: int(s.MaxConnections), SyncReplicas: int(s.SyncReplicas), WarmupRate: s.WarmupRate,
	}
	return nil
}

func (c *Catalog) addRoute(r *controlpb.CatalogRoute) *rescode.Error {
	if r.Database == "" {
		return invalid("route %q has no database", r.Name)
	}
	if c.routes[r.Database] != nil {
		return invalid("routes %q and %q have the same database", c.routes[r.Database].Name, r.Name)
	}
	if c.services[r.Service] == nil {
		return invalid("route %q names unknown service %q", r.Name, r.Service)
	}
	if r.StatementTimeoutMs == 0 {
		return invalid("route %q has no statement timeout", r.Name)
	}
	c.routes[r.Database] = &Route{
		Name: r.Name, Database: r.Database, Service: r.Service, Consistency: r.Consistency,
		MaxStaleness:     milliseconds(r.MaxStalenessMs),
		StatementTimeout: milliseconds(r.StatementTimeoutMs),
		LatencyObjective: milliseconds(r.LatencyObjectiveMs),
		Priority:         r.Priority, Public: r.Public, Regions: r.AllowedRegions,
	}
	return nil
}

func (c *Catalog) addTeam(t *controlpb.CatalogTeam) *rescode.Error {
	if t.Name == "" {
		return invalid("a team has no name")
	}
	if c.teams[t.Name] != nil {
		return invalid("team %q is declared twice", t.Name)
	}
	team := &Team{Name: t.Name, Rate: t.Rate, Burst: t.Burst, Regions: t.AllowedRegions}
	c.teams[t.Name] = team
	for _, key := range t.Keys {
		if key == "" {
			return invalid("team %q has an empty key", t.Name)
		}
		if owner := c.byKey[key]; owner != nil && owner != team {
			return invalid("teams %q and %q share a key", owner.Name, t.Name)
		}
		c.byKey[key] = team
	}
	return nil
}

// Route returns the route of a database name, or nil.
func (c *Catalog) Route(database string) *Route {
	return c.routes[database]
}

// TeamByKey returns the team that owns a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team {
	return c.byKey[key]
}

// Service returns the service with the given name, or nil.
func (c *Catalog) Service(name string) *Service {
	return c.services[name]
}

// Services returns all services by name. The map must not be modified.
func (c *Catalog) Services() map[string]*Service {
	return c.services
}

// Teams returns all teams by name. The map must not be modified.
func (c *Catalog) Teams() map[string]*Team {
	return c.teams
}
