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
