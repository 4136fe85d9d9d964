package engine

import "github.com/VictoriaMetrics/metrics"

var (
	statementsOK     = metrics.NewCounter(`standin_statements_total{outcome="ok"}`)
	statementsFailed = metrics.NewCounter(`standin_statements_total{outcome="error"}`)
	commits          = metrics.NewCounter(`standin_transactions_total{outcome="committed"}`)
	rollbacks        = metrics.NewCounter(`standin_transactions_total{outcome="rolled_back"}`)
)
