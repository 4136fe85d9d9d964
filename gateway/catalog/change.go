package catalog

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Diff returns what turns one configuration into another, without the operator's document.
// Load pattern: an operator changes one route of many, and hundreds of nodes are told.
func Diff(from, to *controlpb.Catalog) *controlpb.CatalogChange {
	routes, removedDatabases := difference(from.Routes, to.Routes, (*controlpb.CatalogRoute).GetDatabase)
	services, removedServices := difference(from.Services, to.Services, (*controlpb.CatalogService).GetName)
	teams, removedTeams := difference(from.Teams, to.Teams, (*controlpb.CatalogTeam).GetName)
	return &controlpb.CatalogChange{
		BaseVersion: from.Version,
		Changed: &controlpb.Catalog{
			Version: to.Version, Routes: routes, Services: services, Teams: teams, TransactionIdleMs: to.TransactionIdleMs,
		},
		RemovedDatabases: removedDatabases, RemovedServices: removedServices, RemovedTeams: removedTeams,
	}
}

// Apply returns the configuration that a change makes of another one, which stays as it is.
func Apply(base *controlpb.Catalog, c *controlpb.CatalogChange) (*controlpb.Catalog, error) {
	if base.GetVersion() != c.BaseVersion {
		return nil, errors.Newf("a change of configuration %d cannot be applied to %d", c.BaseVersion, base.GetVersion())
	}
	changed := c.GetChanged()
	return &controlpb.Catalog{
		Version: changed.GetVersion(), TransactionIdleMs: changed.GetTransactionIdleMs(),
		Routes:   merged(base.Routes, changed.GetRoutes(), c.RemovedDatabases, (*controlpb.CatalogRoute).GetDatabase),
		Services: merged(base.Services, changed.GetServices(), c.RemovedServices, (*controlpb.CatalogService).GetName),
		Teams:    merged(base.Teams, changed.GetTeams(), c.RemovedTeams, (*controlpb.CatalogTeam).GetName),
	}, nil
}

// difference returns the entries of to that from lacks or has otherwise, and the keys of those
// that only from has.
func difference[T proto.Message](from, to []T, key func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(from))
	for _, entry := range from {
		before[key(entry)] = entry
	}
	for _, entry := range to {
		if old, ok := before[key(entry)]; !ok || !proto.Equal(old, entry) {
			changed = append(changed, entry)
		}
		delete(before, key(entry))
	}
	for k := range before {
		removed = append(removed, k)
	}
	return changed, removed
}

// merged returns the entries of base with some replaced, added and removed.
func merged[T any](base, changed []T, removed []string, key func(T) string) []T {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		replaced[key(entry)] = true
	}
	for _, k := range removed {
		replaced[k] = true
	}
	all := make([]T, 0, len(base)+len(changed))
	for _, entry := range base {
		if !replaced[key(entry)] {
			all = append(all, entry)
		}
	}
	return append(all, changed...)
}
