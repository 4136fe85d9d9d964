package catalog

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/jayloom/jayloom/api/controlpb"
)

func newCatalog(version uint64) *controlpb.Catalog {
	c := &controlpb.Catalog{Version: version, TransactionIdleMs: 3000}
	c.Services = []*controlpb.CatalogService{{Name: "wax", MaxConnections: 79}}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.Routes = append(c.Routes, &controlpb.CatalogRoute{Name: "r-" + name, Database: name, Service: "wax", StatementTimeoutMs: 800})
		c.Teams = append(c.Teams, &controlpb.CatalogTeam{Name: name, Keys: []string{"key-" + name}, Rate: 10, Burst: 10})
	}
	return c
}

func sortedCopy(c *controlpb.Catalog) *controlpb.Catalog {
	out := proto.CloneOf(c)
	slices.SortFunc(out.Routes, func(a, b *controlpb.CatalogRoute) int { return cmp.Compare(a.Database, b.Database) })
	slices.SortFunc(out.Services, func(a, b *controlpb.CatalogService) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Teams, func(a, b *controlpb.CatalogTeam) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Guards against nodes whose configuration differs from the operator's after a change: a
// withdrawn key or removed route that is still present, or a limit that is not updated.
func TestApplyingDiffYieldsNewConfiguration(t *testing.T) {
	for name, edit := range map[string]func(*controlpb.Catalog){
		"nothing":          func(*controlpb.Catalog) {},
		"route added":      func(c *controlpb.Catalog) { c.Routes = append(c.Routes, &controlpb.CatalogRoute{Database: "e"}) },
		"route removed":    func(c *controlpb.Catalog) { c.Routes = c.Routes[1:] },
		"timeout changed":  func(c *controlpb.Catalog) { c.Routes[1].StatementTimeoutMs = 900 },
		"database renamed": func(c *controlpb.Catalog) { c.Routes[2].Database = "z" },
		"key withdrawn":    func(c *controlpb.Catalog) { c.Teams[0].Keys = nil },
		"key moved":        func(c *controlpb.Catalog) { c.Teams[0].Keys, c.Teams[1].Keys = nil, []string{"key-a"} },
		"team removed":     func(c *controlpb.Catalog) { c.Teams = c.Teams[:3] },
		"rate changed":     func(c *controlpb.Catalog) { c.Teams[3].Rate = 2 },
		"service added":    func(c *controlpb.Catalog) { c.Services = append(c.Services, &controlpb.CatalogService{Name: "x"}) },
		"limits changed":   func(c *controlpb.Catalog) { c.TransactionIdleMs = 0 },
		"all removed":      func(c *controlpb.Catalog) { c.Routes, c.Services, c.Teams = nil, nil, nil },
	} {
		from, to := newCatalog(3), newCatalog(7)
		edit(to)
		got, err := Apply(from, Diff(from, to))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := gocmp.Diff(sortedCopy(to), sortedCopy(got), protocmp.Transform()); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if diff := gocmp.Diff(newCatalog(3), from, protocmp.Transform()); diff != "" {
			t.Errorf("%s changed its base: %s", name, diff)
		}
	}
}

// Guards against applying a change to a configuration other than its base.
func TestApplyRejectsWrongBaseVersion(t *testing.T) {
	change := Diff(newCatalog(3), newCatalog(7))
	for _, base := range []*controlpb.Catalog{nil, newCatalog(4)} {
		if got, err := Apply(base, change); err == nil {
			t.Errorf("applied to version %d: %v", base.GetVersion(), got)
		}
	}
}
