package catalog

import (
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/delta"
)

// Diff returns the change from one configuration to another, without the operator's document.
// When an operator edits one of many routes, hundreds of nodes receive only that route.
func Diff(from, to *controlpb.Catalog) *controlpb.CatalogChange {
	routes, removedDatabases := delta.Diff(from.Routes, to.Routes, (*controlpb.CatalogRoute).GetDatabase)
	services, removedServices := delta.Diff(from.Services, to.Services, (*controlpb.CatalogService).GetName)
	teams, removedTeams := delta.Diff(from.Teams, to.Teams, (*controlpb.CatalogTeam).GetName)
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
		Routes:   delta.Merge(base.Routes, changed.GetRoutes(), c.RemovedDatabases, (*controlpb.CatalogRoute).GetDatabase),
		Services: delta.Merge(base.Services, changed.GetServices(), c.RemovedServices, (*controlpb.CatalogService).GetName),
		Teams:    delta.Merge(base.Teams, changed.GetTeams(), c.RemovedTeams, (*controlpb.CatalogTeam).GetName),
	}, nil
}
