package forward

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/gateway/engine"
)

// fallbackReason is why a unit is not forwarded to a node.
type fallbackReason string

const (
	fallbackAvoided    fallbackReason = "link_silent"
	fallbackNoLink     fallbackReason = "not_connected"
	fallbackRefused    fallbackReason = "refused"
	fallbackRefusedNow fallbackReason = "refused_lately"
	fallbackTooLarge   fallbackReason = "message_too_large"
)

var (
	metricOpenLinks     = metrics.NewGauge("jayloom_gateway_forward_links", nil)
	metricSilentLinks   = metrics.NewCounter("jayloom_gateway_forward_silent_links_total")
	metricUnitsInUse    = metrics.NewGauge("jayloom_gateway_held_units", nil)
	metricServedUnits   = metrics.NewCounter("jayloom_gateway_held_units_total")
	metricForwarded     = metrics.NewCounter(`jayloom_gateway_forwarded_units_total{outcome="answered"}`)
	metricForwardedLost = metrics.NewCounter(`jayloom_gateway_forwarded_units_total{outcome="link_lost"}`)
)

func countFallback(reason fallbackReason) {
	metrics.GetOrCreateCounter(`jayloom_gateway_forward_fallbacks_total{reason="` + string(reason) + `"}`).Inc()
}

func countForwardedFailure(kind engine.UnitFailureKind) {
	metrics.GetOrCreateCounter(`jayloom_gateway_forwarded_units_total{outcome="` + kind.String() + `"}`).Inc()
}

func countServedFailure(kind engine.UnitFailureKind) {
	metrics.GetOrCreateCounter(`jayloom_gateway_held_unit_failures_total{kind="` + kind.String() + `"}`).Inc()
}
