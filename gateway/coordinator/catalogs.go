package coordinator

import (
	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// catalogsKept is how many earlier configurations the leader keeps. A node that has one of
// them is told what has changed since.
const catalogsKept = 16

// catalogs holds what the leader tells nodes of the configuration in force.
type catalogs struct {
	current *controlpb.Catalog
	earlier []*controlpb.Catalog
	// changes holds the changes to the current one by the version that they apply to.
	changes map[uint64]*controlpb.CatalogChange
}

// use takes over the configuration in force.
func (c *catalogs) use(in *controlpb.Catalog) {
	if in == nil || in.Version == c.current.GetVersion() {
		return
	}
	if c.current != nil {
		c.earlier = append(c.earlier, c.current)
	}
	if n := len(c.earlier); n > catalogsKept {
		c.earlier = append(c.earlier[:0], c.earlier[n-catalogsKept:]...)
	}
	c.current = withoutDocument(in)
	c.changes = map[uint64]*controlpb.CatalogChange{}
}

// changeFrom returns what has changed since a version, or nil if that is not known.
func (c *catalogs) changeFrom(version uint64) *controlpb.CatalogChange {
	if change := c.changes[version]; change != nil {
		return change
	}
	for _, earlier := range c.earlier {
		if earlier.Version == version {
			c.changes[version] = catalog.Diff(earlier, c.current)
		}
	}
	return c.changes[version]
}

func withoutDocument(c *controlpb.Catalog) *controlpb.Catalog {
	return &controlpb.Catalog{
		Version: c.Version, Routes: c.Routes, Services: c.Services, Teams: c.Teams,
		TransactionIdleMs: c.TransactionIdleMs,
	}
}

// addCatalog adds the configuration in force to an update of a node that lacks it.
func (l *Leader) addCatalog(a *attendance, u *controlpb.NodeUpdate) {
	l.catalogs.use(l.store.current().Catalog)
	c := l.catalogs.current
	if c == nil || c.Version == a.catalogSent {
		return
	}
	if change := l.catalogs.changeFrom(a.catalogSent); change != nil {
		u.CatalogChange = change
	} else {
		u.Catalog = c
	}
	a.catalogSent = c.Version
}
