package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jayloom/jayloom/api/rescode"
)

var (
	reportsHandled   = metrics.NewCounter("jayloom_control_reports_total")
	updatesPushed    = metrics.NewCounter("jayloom_control_pushed_updates_total")
	fullCopiesSent   = metrics.NewCounter("jayloom_control_full_copies_total")
	updateBytes      = metrics.NewCounter("jayloom_control_update_bytes_total")
	reportBytes      = metrics.NewCounter("jayloom_control_report_bytes_total")
	slowProxies      = metrics.NewCounter("jayloom_control_slow_proxy_disconnects_total")
	leadershipGained = metrics.NewCounter("jayloom_control_leadership_gained_total")
	leadershipLost   = metrics.NewCounter("jayloom_control_leadership_lost_total")
	promotionsBegun  = metrics.NewCounter("jayloom_control_promotions_begun_total")
	promotionsDone   = metrics.NewCounter("jayloom_control_promotions_completed_total")
	proposalsFailed  = metrics.NewCounter("jayloom_control_leader_proposals_failed_total")
)

// refusals counts refused calls and commands by result code.
func refusals(code rescode.Code) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("jayloom_control_refusals_total{code=%q}", code))
}
