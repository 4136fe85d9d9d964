package probe

import "github.com/VictoriaMetrics/metrics"

// probeFailures counts probes without a valid answer.
var probeFailures = metrics.NewCounter("jayloom_control_probe_failures_total")
