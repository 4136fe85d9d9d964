package controlclient

import "github.com/VictoriaMetrics/metrics"

var (
	metricVoterAnnouncementFailures = metrics.NewCounter("jayloom_gateway_voter_announcement_failures_total")
	metricStreamAttempts            = metrics.NewCounter("jayloom_gateway_stream_attempts_total")
	metricLeaderLosses              = metrics.NewCounter("jayloom_gateway_leader_losses_total")
	metricRelayedAnnouncements      = metrics.NewCounter("jayloom_gateway_relayed_announcements_total")
)
