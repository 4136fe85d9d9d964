package engine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/rescode"
)

// Reasons of refusals, one counter for each.
const (
	reasonNoLease         Reason = "no_valid_lease"
	reasonNoCatalog       Reason = "no_configuration"
	reasonUnknownDatabase Reason = "unknown_database"
	reasonUnknownKey      Reason = "unknown_key"
	reasonKeyWithdrawn    Reason = "key_withdrawn"
	reasonRate            Reason = "rate"
	reasonRateHere        Reason = "rate_on_node"
	reasonRateUnknown     Reason = "rate_unknown"
	reasonNoPrimary       Reason = "no_primary"
	reasonPrimaryFailing  Reason = "primary_failing"
	reasonNoReplica       Reason = "no_upstream_for_read"
	reasonUpstreamGone    Reason = "upstream_gone"
	reasonUpstreamFull    Reason = "upstream_full"
	reasonUpstreamBusy    Reason = "upstream_busy"
	reasonDialFailed      Reason = "dial_failed"
	reasonDialRefused     Reason = "dial_refused"
	reasonPoolTimeout     Reason = "connection_wait"
	reasonPoolFull        Reason = "connection_queue"
	// reasonDisplaced means that a more urgent request took the place in the queue, reasonUpstreamPaused that the
	// upstream has shed work and is offered nothing until after the request's objective.
	reasonDisplaced      Reason = "connection_displaced"
	reasonUpstreamPaused Reason = "upstream_paused"
	reasonFailedState    Reason = "failed_transaction"
	reasonBadStatement   Reason = "bad_statement"
	reasonTooLarge       Reason = "message_too_large"
	reasonUnencodable    Reason = "message_unencodable"
	reasonCallerGone     Reason = "caller_gone"
	reasonMessageMemory  Reason = "message_memory"
	reasonUnknownName    Reason = "unknown_statement"
	reasonAnswerLost     Reason = "answer_lost"
	reasonTimeout        Reason = "statement_timeout"
	// reasonAnswerCut means that the timeout came when a part of the answer had been passed on.
	reasonAnswerCut       Reason = "answer_cut"
	reasonUpstreamFailed  Reason = "upstream_failed"
	reasonLostTransaction Reason = "transaction_lost"
	reasonIdleTransaction Reason = "transaction_idle"
	reasonAttempts        Reason = "attempts_used_up"
	reasonStopping        Reason = "node_stopping"
	reasonDrained         Reason = "upstream_drained"
	reasonPlaceDrained    Reason = "data_centre_drained"
	reasonWarmup          Reason = "upstream_warming"
	reasonOutsideHome     Reason = "outside_home_regions"
	// reasonNotForwarded is for a statement that the node which holds its connection did not take.
	reasonNotForwarded Reason = "not_forwarded"
	// reasonSessionStateFull is for a session that would hold more than any may, reasonNodeStateFull for one that
	// is refused because of what all sessions hold.
	reasonSessionStateFull Reason = "session_state_full"
	reasonNodeStateFull    Reason = "node_state_full"
)

// retryReason is the reason of a retry. Each has its own counter.
type retryReason string

const (
	retryBehind      retryReason = "behind"
	retryBusy        retryReason = "busy"
	retryFull        retryReason = "full"
	retryMisdirected retryReason = "misdirected"
	retryQueue       retryReason = "queue"
	retryReadOnly    retryReason = "read_only"
	retryAnswerLost  retryReason = "answer_lost"
	retryFailed      retryReason = "failed"
	retryDial        retryReason = "dial"
	retryPlanExpired retryReason = "plan_expired"
	retryDrained     retryReason = "upstream_drained"
	retryWarmup      retryReason = "upstream_warming"
	retryOutsideHome retryReason = "outside_home_regions"
	retryForward     retryReason = "not_forwarded"
)

var (
	metricSessions        = metrics.NewCounter("jayloom_gateway_sessions_total")
	metricDials           = metrics.NewCounter("jayloom_gateway_upstream_dials_total")
	metricReplacedForTeam = metrics.NewCounter("jayloom_gateway_upstream_replaced_for_team_total")
	// metricRelayedAnswers counts answers of which rows were passed on before they were complete.
	metricRelayedAnswers = metrics.NewCounter("jayloom_gateway_relayed_answers_total")

	metricPoolWaits       = metrics.NewCounter("jayloom_gateway_connection_waits_total")
	metricPositionQueries = metrics.NewCounter("jayloom_gateway_position_questions_total")

	// metricSessionStateBytes is what all sessions hold, in bytes as counted against their bounds.
	metricSessionStateBytes = metrics.NewGauge("jayloom_gateway_session_state_bytes", nil)
	// What is prepared and set on all connections to upstreams. The texts are at the upstreams.
	metricConnStatements     = metrics.NewGauge("jayloom_gateway_connection_statements", nil)
	metricConnStatementBytes = metrics.NewGauge("jayloom_gateway_connection_statement_bytes", nil)
	metricConnValueBytes     = metrics.NewGauge("jayloom_gateway_connection_value_bytes", nil)
	metricStatementEvictions = metrics.NewCounter("jayloom_gateway_statement_evictions_total")

	metricDialFailures = metrics.NewCounter("jayloom_gateway_upstream_dial_failures_total")

	metricStatementSeconds = metrics.NewHistogram("jayloom_gateway_statement_seconds")
	metricUpstreamSeconds  = metrics.NewHistogram("jayloom_gateway_upstream_seconds")
	metricConnWaitSeconds  = metrics.NewHistogram("jayloom_gateway_connection_wait_seconds")
)

func countRefusal(code rescode.Code, reason Reason) {
	metrics.GetOrCreateCounter(
		`jayloom_gateway_refusals_total{code="` + code.String() + `",reason="` + string(reason) + `"}`).Inc()
}

func countRetry(reason retryReason) {
	metrics.GetOrCreateCounter(`jayloom_gateway_retries_total{reason="` + string(reason) + `"}`).Inc()
}

func countRead(target string) {
	metrics.GetOrCreateCounter(`jayloom_gateway_reads_total{target="` + target + `"}`).Inc()
}

func observeSeconds(h *metrics.Histogram, d time.Duration) {
	h.Update(d.Seconds())
}
