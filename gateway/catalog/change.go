package catalog

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Diff returns the change from one configuration to another, without the operator's document.
// When an operator edits one of many routes, hundreds of nodes receive only that route.
func Diff(from, to *controlpb.Catalog) *controlpb.CatalogChange {
	routes, removedDatabases := diffEntries(from.Routes, to.Routes, (*controlpb.CatalogRoute).GetDatabase)
	services, removedServices := diffEntries(from.Services, to.Services, (*controlpb.CatalogService).GetName)
	teams, removedTeams := diffEntries(from.Teams, to.Teams, (*controlpb.CatalogTeam).GetName)
	return &controlpb.CatalogChange{
		BaseVersion: from.Version,
		Changed: &controlpb.Catalog{
			Version: to.Version, Routes: routes, Services: services, Teams: teams, TransactionIdleMs: to.TransactionIdleMs,
		},
		RemovedDatabases: removedDatabases, RemovedServices: removedServices, RemovedTeams: removedTeams,
	}
}

// Apply returns the result of applying a change to base, which is not modified.
func Apply(base *controlpb.Catalog, c *controlpb.CatalogChange) (*controlpb.Catalog, error) {
	if base.GetVersion() != c.BaseVersion {
		return nil, errors.Newf("a change of configuration %d cannot be applied to %d", c.BaseVersion, base.GetVersion())
	}
	changed := c.GetChanged()
	return &controlpb.Catalog{
		Version: changed.GetVersion(), TransactionIdleMs: changed.GetTransactionIdleMs(),
		Routes:   mergeEntries(base.Routes, changed.GetRoutes(), c.RemovedDatabases, (*controlpb.CatalogRoute).GetDatabase),
		Services: mergeEntries(base.Services, changed.GetServices(), c.RemovedServices, (*controlpb.CatalogService).GetName),
		Teams:    mergeEntries(base.Teams, changed.GetTeams(), c.RemovedTeams, (*controlpb.CatalogTeam).GetName),
	}, nil
}

// diffEntries returns the entries of to that are missing from or different in from, and the
// keys that occur in from only.
func diffEntries[T proto.Message](from, to []T, key func(T) string) (changed []T, removed []string) {
	unmatched := make(map[string]T, len(from))
	for _, entry := range from {
		unmatched[key(entry)] = entry
	}
	for _, entry := range to {
		if old, ok := unmatched[key(entry)]; !ok || !proto.Equal(old, entry) {
			changed = append(changed, entry)
		}
		delete(unmatched, key(entry))
	}
	for k := range unmatched {
		removed = append(removed, k)
	}
	return changed, removed
}

// mergeEntries returns the entries of base without those whose keys are in changed or removed,
// followed by the changed entries.
func mergeEntries[T any](base, changed []T, removed []string, key func(T) string) []T {
	superseded := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		superseded[key(entry)] = true
	}
	for _, k := range removed {
		superseded[k] = true
	}
	all := make([]T, 0, len(base)+len(changed))
	for _, entry := range base {
		if !superseded[key(entry)] {
			all = append(all, entry)
		}
	}
	return append(all, changed...)
}
