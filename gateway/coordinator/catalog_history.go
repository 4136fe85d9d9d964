package coordinator

import (
	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// maxEarlierCatalogs is the number of earlier configurations that the leader keeps. A node that
// has one of them receives only the difference.
const maxEarlierCatalogs = 16

// catalogHistory holds the current configuration, without the operator's document, and earlier
// ones to compute changes from.
type catalogHistory struct {
	current *controlpb.Catalog
	earlier []*controlpb.Catalog
	// changes caches the changes to the current configuration by base version.
	changes map[uint64]*controlpb.CatalogChange
}

// setCurrent sets the current configuration and moves the previous one to the earlier ones.
func (c *catalogHistory) setCurrent(in *controlpb.Catalog) {
	if in == nil || in.Version == c.current.GetVersion() {
		return
	}
	if c.current != nil {
		c.earlier = append(c.earlier, c.current)
	}
	if n := len(c.earlier); n > maxEarlierCatalogs {
		c.earlier = append(c.earlier[:0], c.earlier[n-maxEarlierCatalogs:]...)
	}
	c.current = withoutDocument(in)
	c.changes = map[uint64]*controlpb.CatalogChange{}
}

// changeFrom returns the change from a version to the current one, or nil if the configuration
// of that version is not kept.
func (c *catalogHistory) changeFrom(version uint64) *controlpb.CatalogChange {
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

// addCatalog adds the current configuration, or the change to it, to an update for a node that
// does not have it.
func (l *Leader) addCatalog(s *nodeStream, u *controlpb.NodeUpdate) {
	l.catalogHistory.setCurrent(l.store.current().Catalog)
	c := l.catalogHistory.current
	if c == nil || c.Version == s.sentCatalogVersion {
		return
	}
	if change := l.catalogHistory.changeFrom(s.sentCatalogVersion); change != nil {
		u.CatalogChange = change
	} else {
		u.Catalog = c
	}
	s.sentCatalogVersion = c.Version
}
