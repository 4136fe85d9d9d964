package coordinator

import (
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/catalog"
)

// maxEarlierCatalogs is the number of earlier configurations that the leader keeps. A node that
// has one of them receives only the difference.
const maxEarlierCatalogs = 16

// catalogHistory holds the current configuration, without the operator's document, and earlier
// ones to compute changes from.
type catalogHistory struct {
	log     *logrus.Entry
	current *controlpb.Catalog
	earlier []*controlpb.Catalog
	// complete and changes cache what nodes are sent: the current configuration, and the changes to
	// it by base version.
	complete *encoded[*controlpb.Catalog]
	changes  map[uint64]encoded[*controlpb.CatalogChange]
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
	c.complete, c.changes = nil, map[uint64]encoded[*controlpb.CatalogChange]{}
}

// changeFrom returns the change from a version to the current one. ok is false if the configuration of
// that version is not kept.
func (c *catalogHistory) changeFrom(version uint64) (change encoded[*controlpb.CatalogChange], ok bool) {
	if change, ok := c.changes[version]; ok {
		return change, true
	}
	for _, earlier := range c.earlier {
		if earlier.Version == version {
			c.changes[version] = encode(catalog.Diff(earlier, c.current), c.log)
			return c.changes[version], true
		}
	}
	return change, false
}

// encodedCurrent returns the current configuration as it is sent.
func (c *catalogHistory) encodedCurrent() encoded[*controlpb.Catalog] {
	if c.complete == nil {
		complete := encode(c.current, c.log)
		c.complete = &complete
	}
	return *c.complete
}

func withoutDocument(c *controlpb.Catalog) *controlpb.Catalog {
	return &controlpb.Catalog{
		Version: c.Version, Routes: c.Routes, Services: c.Services, Teams: c.Teams,
		TransactionIdleMs: c.TransactionIdleMs,
	}
}

// addCatalog adds the current configuration, or the change to it, to an update for a node that
// does not have it. A large one may have to wait for another update.
func (l *Leader) addCatalog(s *nodeStream, u *controlpb.NodeUpdate) {
	l.catalogHistory.setCurrent(l.store.current().Catalog)
	if !l.lacksCatalog(s) {
		return
	}
	if change, ok := l.catalogHistory.changeFrom(s.sentCatalogVersion); ok {
		if !l.pacer.allow(change.size()) {
			return
		}
		u.CatalogChange, u.CompressedCatalogChange = change.plain, change.compressed
	} else {
		complete := l.catalogHistory.encodedCurrent()
		if !l.pacer.allow(complete.size()) {
			return
		}
		u.Catalog, u.CompressedCatalog = complete.plain, complete.compressed
	}
	s.sentCatalogVersion = l.catalogHistory.current.Version
}

// lacksCatalog reports whether a node has not been sent the current configuration.
func (l *Leader) lacksCatalog(s *nodeStream) bool {
	c := l.catalogHistory.current
	return c != nil && c.Version != s.sentCatalogVersion
}
