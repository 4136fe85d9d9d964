package controlclient

import "github.com/VictoriaMetrics/metrics"

var metricVoterAnnouncementFailures = metrics.NewCounter("jayloom_gateway_voter_announcement_failures_total")
