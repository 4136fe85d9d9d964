package topology

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/delta"
)

// Diff returns the change from one topology to another.
func Diff(from, to *controlpb.Topology) *controlpb.TopologyChange {
	upstreams, removedUpstreams := delta.Diff(from.Upstreams, to.Upstreams, (*controlpb.TopologyUpstream).GetId)
	primaries, removedPrimaries := delta.Diff(from.Primaries, to.Primaries, (*controlpb.TopologyPrimary).GetService)
	return &controlpb.TopologyChange{
		BaseRevision:     from.Revision,
		Changed:          &controlpb.Topology{Revision: to.Revision, Upstreams: upstreams, Primaries: primaries},
		RemovedUpstreams: removedUpstreams, RemovedPrimaries: removedPrimaries,
	}
}

// Apply returns the result of applying a change to base, which is not modified. Its entries are in
// the order of the leader's topology, because reports name primaries by their position.
func Apply(base *controlpb.Topology, c *controlpb.TopologyChange) (*controlpb.Topology, error) {
	if base.GetRevision() != c.BaseRevision {
		return nil, errors.Newf("a change of topology %d cannot be applied to %d", c.BaseRevision, base.GetRevision())
	}
	t := &controlpb.Topology{
		Revision:  c.GetChanged().GetRevision(),
		Upstreams: delta.Merge(base.GetUpstreams(), c.GetChanged().GetUpstreams(), c.RemovedUpstreams, (*controlpb.TopologyUpstream).GetId),
		Primaries: delta.Merge(base.GetPrimaries(), c.GetChanged().GetPrimaries(), c.RemovedPrimaries, (*controlpb.TopologyPrimary).GetService),
	}
	Sort(t)
	return t, nil
}

// Sort brings a topology into its canonical order: upstreams by ID, primaries by service.
func Sort(t *controlpb.Topology) {
	slices.SortFunc(t.Upstreams, func(a, b *controlpb.TopologyUpstream) int { return cmp.Compare(a.Id, b.Id) })
	slices.SortFunc(t.Primaries, func(a, b *controlpb.TopologyPrimary) int { return cmp.Compare(a.Service, b.Service) })
}
