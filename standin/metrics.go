package standin

import "github.com/VictoriaMetrics/metrics"

var (
	connectionsAccepted = metrics.NewCounter(`standin_connections_accepted_total`)
	connectionsRefused  = metrics.NewCounter(`standin_connections_refused_total{reason="limit"}`)
	sessionsOpened      = metrics.NewCounter(`standin_sessions_opened_total`)
	sessionsOpen        = metrics.NewCounter(`standin_sessions_open`)
	promotions          = metrics.NewCounter(`standin_promotions_total`)
)
