package catalog

import (
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

func validCatalog() *controlpb.Catalog {
	return &controlpb.Catalog{
		Version:  3,
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23}},
		Routes: []*controlpb.CatalogRoute{
			{Name: "r1", Database: "intake", Service: "wax", StatementTimeoutMs: 1000},
			{Name: "r2", Database: "colours", Service: "wax", StatementTimeoutMs: 2000, MaxStalenessMs: 1500,
				Consistency: controlpb.Consistency_CONSISTENCY_BOUNDED_STALENESS},
		},
		Teams: []*controlpb.CatalogTeam{{Name: "melt", Keys: []string{"k1", "k2"}, Rate: 10, Burst: 10}, {Name: "bench", Keys: []string{"k3"}}},
	}
}

// Guards against accepting a configuration that is inconsistent.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	for name, change := range map[string]func(*controlpb.Catalog){
		"no version":      func(c *controlpb.Catalog) { c.Version = 0 },
		"unknown service": func(c *controlpb.Catalog) { c.Routes[0].Service = "none" },
		"same database":   func(c *controlpb.Catalog) { c.Routes[1].Database = "intake" },
		"no timeout":      func(c *controlpb.Catalog) { c.Routes[0].StatementTimeoutMs = 0 },
		"shared key":      func(c *controlpb.Catalog) { c.Teams[1].Keys = []string{"k1"} },
		"team twice":      func(c *controlpb.Catalog) { c.Teams[1].Name = "melt" },
		"service twice":   func(c *controlpb.Catalog) { c.Services = append(c.Services, c.Services[0]) },
		"empty key":       func(c *controlpb.Catalog) { c.Teams[1].Keys = []string{""} },
		"no database":     func(c *controlpb.Catalog) { c.Routes[0].Database = "" },
	} {
		in := validCatalog()
		change(in)
		if _, err := New(in); err == nil || err.Code != rescode.InvalidCommand {
			t.Errorf("%s: accepted or refused with %v", name, err)
		}
	}
}

// Guards against lookups that return the wrong team or service.
func TestLookups(t *testing.T) {
	c, err := New(validCatalog())
	if err != nil {
		t.Fatal(err)
	}
	if got := c.TeamByKey("k2"); got == nil || got.Name != "melt" {
		t.Errorf("team of key k2 is %v", got)
	}
	if c.TeamByKey("k4") != nil || c.TeamByKey("") != nil {
		t.Error("an unknown key has a team")
	}
	if r := c.Route("colours"); r == nil || r.MaxStaleness.Milliseconds() != 1500 || r.Service != "wax" {
		t.Errorf("route of colours is %+v", r)
	}
	if c.Route("none") != nil {
		t.Error("an unknown database has a route")
	}
}
