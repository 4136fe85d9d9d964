package coordinator

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/topology"
)

var (
	metricProbeFailures = metrics.NewCounter("jayloom_gateway_probe_failures_total")
	metricDemotions     = metrics.NewCounter("jayloom_gateway_demotions_total")
	// metricDoubtedLeaves counts the Leave calls that may be late ones of earlier processes.
	metricDoubtedLeaves     = metrics.NewCounter("jayloom_gateway_doubted_leaves_total")
	metricHolderChanges     = metrics.NewCounter("jayloom_gateway_holder_changes_total")
	metricMembershipChanges = metrics.NewCounter("jayloom_gateway_membership_changes_total")
	metricWarmupGrants      = metrics.NewCounter("jayloom_gateway_warmup_permits_total")
	// The following are those of the leader; a process that does not lead reports no node.
	metricWarmingUpstreams = metrics.NewGauge("jayloom_gateway_warming_upstreams", nil)
	metricConnectedNodes   = metrics.NewGauge("jayloom_gateway_connected_nodes", nil)
	// metricLongestPromotionWait is how long a promotion has been waiting for upstreams that do not answer.
	metricLongestPromotionWait = metrics.NewGauge("jayloom_gateway_longest_promotion_wait_seconds", nil)

	metricReports          = metrics.NewCounter("jayloom_gateway_reports_total")
	metricUnknownContacts  = metrics.NewCounter("jayloom_gateway_unknown_contacts_total")
	metricLeaseWaits       = metrics.NewCounter("jayloom_gateway_lease_waits_total")
	metricUpdates          = metrics.NewCounter("jayloom_gateway_updates_total")
	metricTopologiesSent   = metrics.NewCounter("jayloom_gateway_topologies_sent_total")
	metricTopologyChanges  = metrics.NewCounter("jayloom_gateway_topology_changes_sent_total")
	metricConfigurations   = metrics.NewCounter("jayloom_gateway_configurations_sent_total")
	metricSlowNodesDropped = metrics.NewCounter("jayloom_gateway_slow_nodes_dropped_total")
)

// countPromotion counts an ordered promotion by its reason.
func countPromotion(reason failover.Reason) {
	metrics.GetOrCreateCounter(`jayloom_gateway_promotions_total{reason="` + string(reason) + `"}`).Inc()
}

// countUpdate counts an update to a node and its large parts.
func countUpdate(u *controlpb.NodeUpdate) {
	metricUpdates.Inc()
	if u.Topology != nil || u.CompressedTopology != nil {
		metricTopologiesSent.Inc()
	}
	if u.TopologyChange != nil || u.CompressedTopologyChange != nil {
		metricTopologyChanges.Inc()
	}
	if u.Catalog != nil || u.CompressedCatalog != nil {
		metricConfigurations.Inc()
	}
}

// entrySource says where an entry came from.
type entrySource string

const (
	// entryFromNode is an announcement that another node or the same one passed on.
	entryFromNode entrySource = "node"
	// entryFromEarlierLeader is an entry of a topology that an earlier leader saved or sent to nodes.
	entryFromEarlierLeader entrySource = "earlier_leader"
)

// countRefusedEntry counts an entry that names no upstream to use.
func countRefusedEntry(source entrySource, err error) {
	var refused *topology.EntryError
	if errors.As(err, &refused) {
		metrics.GetOrCreateCounter(
			`jayloom_gateway_refused_entries_total{source="` + string(source) + `",reason="` + string(refused.Reason) + `"}`).Inc()
	}
}
