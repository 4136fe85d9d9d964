package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/rescode"
)

var (
	reportsHandled       = metrics.NewCounter("jayloom_control_reports_total")
	updatesPushed        = metrics.NewCounter("jayloom_control_pushed_updates_total")
	fullCopiesSent       = metrics.NewCounter("jayloom_control_full_copies_total")
	updateBytes          = metrics.NewCounter("jayloom_control_update_bytes_total")
	reportBytes          = metrics.NewCounter("jayloom_control_report_bytes_total")
	slowProxyDisconnects = metrics.NewCounter("jayloom_control_slow_proxy_disconnects_total")
	leadershipGained     = metrics.NewCounter("jayloom_control_leadership_gained_total")
	leadershipLost       = metrics.NewCounter("jayloom_control_leadership_lost_total")
	promotionsBegun      = metrics.NewCounter("jayloom_control_promotions_begun_total")
	promotionsCompleted  = metrics.NewCounter("jayloom_control_promotions_completed_total")
	proposalsFailed      = metrics.NewCounter("jayloom_control_leader_proposals_failed_total")
)

// Outcomes of switchovers, as values of a metric label.
const (
	switchoverBegun = "begun"
	// switchoverCompleted means a new primary and no acknowledged write lost.
	switchoverCompleted = "completed"
	// switchoverAborted means that the old primary stays, under a new term.
	switchoverAborted = "given_up"
	// switchoverFailedOver means that the primary was lost during the switchover; a
	// failover follows.
	switchoverFailedOver = "failed_over"
	// switchoverDelayed means that no replica can replace a leaving primary yet.
	switchoverDelayed = "delayed"
)

func switchovers(outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jayloom_control_switchovers_total{outcome=%q}", outcome))
}

// refusals counts refused calls and commands by result code.
func refusals(code rescode.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jayloom_control_refusals_total{code=%q}", code))
}
