package server

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/gateway/engine"
)

var (
	// metricCutTransactions counts open transactions without a running statement whose
	// connections a stop closed.
	metricCutTransactions = metrics.NewCounter("jayloom_gateway_cut_transactions_total")
	// metricUnsentAnswers counts answers that could not be written to the caller.
	metricUnsentAnswers = metrics.NewCounter("jayloom_gateway_unsent_answers_total")
)

// countCutRequest counts a statement whose connection a stop closed before it was answered.
func countCutRequest(p engine.Phase) {
	metrics.GetOrCreateCounter(`jayloom_gateway_cut_requests_total{phase="` + p.String() + `"}`).Inc()
}

// countClosedCaller counts a connection of a caller that was closed for a reason of the node.
func countClosedCaller(reason engine.Reason) {
	metrics.GetOrCreateCounter(`jayloom_closed_clients_total{listener="callers",reason="` + string(reason) + `"}`).Inc()
}

// registerMetrics adds the gauges of the server. A later server of the same process takes them over.
func (s *Server) registerMetrics() {
	for name, count := range map[string]func() int{
		`jayloom_listener_connections{listener="callers"}`: func() int { return len(s.callers) },
		`jayloom_gateway_opening_callers`:                  func() int { return s.opening },
	} {
		metrics.UnregisterMetric(name)
		metrics.NewGauge(name, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(count())
		})
	}
}
