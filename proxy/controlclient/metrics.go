package controlclient

import "github.com/VictoriaMetrics/metrics"

var (
	metricStreamEnds    = metrics.NewCounter("jayloom_proxy_control_stream_ends_total")
	metricUrgentReports = metrics.NewCounter("jayloom_proxy_control_urgent_reports_total")
)
