package coordinator

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/gateway/failover"
)

var (
	metricProbeFailures     = metrics.NewCounter("jayloom_gateway_probe_failures_total")
	metricMembershipChanges = metrics.NewCounter("jayloom_gateway_membership_changes_total")
)

// countPromotion counts an ordered promotion by its reason.
func countPromotion(reason failover.Reason) {
	metrics.GetOrCreateCounter(`jayloom_gateway_promotions_total{reason="` + string(reason) + `"}`).Inc()
}
