package replica

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	metricProposals          = metrics.NewCounter(`jayloom_replica_proposals_total`)
	metricNotLeader          = metrics.NewCounter(`jayloom_replica_proposals_refused_total{reason="not_leader"}`)
	metricUnavailable        = metrics.NewCounter(`jayloom_replica_proposals_refused_total{reason="control_unavailable"}`)
	metricApplied            = metrics.NewCounter(`jayloom_replica_entries_applied_total`)
	metricSnapshotsSaved     = metrics.NewCounter(`jayloom_replica_snapshots_saved_total`)
	metricSnapshotsInstalled = metrics.NewCounter(`jayloom_replica_snapshots_installed_total`)
	metricLeadershipWon      = metrics.NewCounter(`jayloom_replica_leadership_won_total`)
	metricLeadershipLost     = metrics.NewCounter(`jayloom_replica_leadership_lost_total`)
	metricSent               = metrics.NewCounter(`jayloom_replica_messages_sent_total`)
	metricReceived           = metrics.NewCounter(`jayloom_replica_messages_received_total`)
	metricSyncSeconds        = metrics.NewHistogram(`jayloom_replica_log_sync_seconds`)
	metricCommitSeconds      = metrics.NewHistogram(`jayloom_replica_proposal_seconds`)
	metricLogBytes           = metrics.NewGauge(`jayloom_replica_log_bytes`, nil)
	metricSnapshotBytes      = metrics.NewGauge(`jayloom_replica_snapshot_bytes`, nil)
	metricDiskFull           = metrics.NewGauge(`jayloom_replica_disk_full`, nil)
	metricDiskFullTotal      = metrics.NewCounter(`jayloom_replica_disk_full_total`)
	metricTerm               = metrics.NewGauge(`jayloom_replica_term`, nil)
	metricCommitted          = metrics.NewGauge(`jayloom_replica_committed_index`, nil)
)

// Reasons for which a message is dropped. The consensus core resends what is needed.
const (
	droppedQueueFull    = "queue_full"
	droppedStreamFailed = "stream_failed"
	droppedNoAddress    = "no_address"
	droppedNoSnapshot   = "no_snapshot"
	droppedMalformed    = "malformed"
	droppedOtherMember  = "other_member"
)

func countDropped(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jayloom_replica_messages_dropped_total{reason=%q}`, reason)).Inc()
}
