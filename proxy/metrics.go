package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/rescode"
)

// metricResults counts the result codes that were sent to callers.
var metricResults = func() map[rescode.Code]*metrics.Counter {
	m := map[rescode.Code]*metrics.Counter{}
	for _, info := range rescode.All() {
		m[info.Code] = metrics.NewCounter(fmt.Sprintf(`jayloom_proxy_results_total{code="%d",name=%q}`, info.Code, info.Name))
	}
	return m
}()

func countResult(code rescode.Code) {
	if c, ok := metricResults[code]; ok {
		c.Inc()
	}
}

// retryReason says why a request was sent again.
type retryReason string

const (
	retryNotSent          retryReason = "not_sent"
	retryAnswerLost       retryReason = "answer_lost"
	retryPrimaryNotLeased retryReason = "primary_not_leased"
	retryBudgetExhausted  retryReason = "budget_exhausted"
)

var metricRetries = labelledCounters("jayloom_proxy_retries_total", "reason",
	retryNotSent, retryAnswerLost, retryPrimaryNotLeased, retryBudgetExhausted)

// readReason says why a read went to its target.
type readReason string

const (
	// readMinPosition: the replica has the positions of the token that the session
	// presented.
	readMinPosition readReason = "floor"
	// readBarrier: the replica has reached the primary's position, which was queried for
	// a session that presented no token.
	readBarrier           readReason = "barrier"
	readAge               readReason = "age"
	readNoReplica         readReason = "no_replica"
	readNotReached        readReason = "not_reached"
	readBarrierNotReached readReason = "barrier_not_reached"
	readCheckFailed       readReason = "check_failed"
	readReplicaLost       readReason = "replica_failed"
	readPinned            readReason = "bound"
)

var (
	metricReadsReplica = readCounters("replica", readMinPosition, readBarrier, readAge, readPinned)
	metricReadsPrimary = readCounters("primary",
		readNoReplica, readNotReached, readBarrierNotReached, readCheckFailed, readReplicaLost, readPinned)
)

func readCounters(target string, reasons ...readReason) map[readReason]*metrics.Counter {
	m := make(map[readReason]*metrics.Counter, len(reasons))
	for _, reason := range reasons {
		m[reason] = metrics.NewCounter(fmt.Sprintf("jayloom_proxy_reads_total{target=%q,reason=%q}", target, string(reason)))
	}
	return m
}

func labelledCounters[L ~string](name, label string, values ...L) map[L]*metrics.Counter {
	m := make(map[L]*metrics.Counter, len(values))
	for _, value := range values {
		m[value] = metrics.NewCounter(fmt.Sprintf("%s{%s=%q}", name, label, string(value)))
	}
	return m
}

var (
	metricRequests           = metrics.NewCounter("jayloom_proxy_requests_total")
	metricCallers            = metrics.NewCounter("jayloom_proxy_callers_total")
	metricBarrierBatches     = metrics.NewCounter("jayloom_proxy_barrier_batches_total")
	metricBarrierRequests    = metrics.NewCounter("jayloom_proxy_barrier_requests_total")
	metricReplicaQueries     = metrics.NewCounter("jayloom_proxy_replica_questions_total")
	metricPositionRoundTrips = metrics.NewCounter("jayloom_proxy_position_round_trips_total")
	metricCancels            = metrics.NewCounter("jayloom_proxy_cancels_total")
	metricCancelsForwarded   = metrics.NewCounter("jayloom_proxy_cancels_forwarded_total")
	metricCancelsDropped     = metrics.NewCounter("jayloom_proxy_cancels_dropped_total")
	metricDials              = metrics.NewCounter("jayloom_proxy_upstream_dials_total")
	metricDialFailures       = metrics.NewCounter("jayloom_proxy_upstream_dial_failures_total")
	metricReachable          = metrics.NewCounter("jayloom_proxy_upstream_reachable_despite_control_total")
	metricClosedConns        = metrics.NewCounter("jayloom_proxy_upstream_closed_total")
	metricStaleConns         = metrics.NewCounter("jayloom_proxy_upstream_stale_total")
	metricResets             = metrics.NewCounter("jayloom_proxy_upstream_resets_total")
	metricQueued             = metrics.NewCounter("jayloom_proxy_pool_queued_total")
	metricPins               = metrics.NewCounter("jayloom_proxy_pins_total")
)
