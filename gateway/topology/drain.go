package topology

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// earlierLeaderMargin bounds the time between an earlier leader's acknowledgement that an upstream drains,
// of which this leader does not know, and the first announcement of that to this leader: the earlier leader
// ended before it saved its topology, then the election, and the upstream's next announcement with its retries.
const earlierLeaderMargin = 4 * time.Second

// drainEnd returns when the drain of an upstream ends that announces it now, or 0 if that is not known.
// before is the registered upstream with the same ID, or nil.
func drainEnd(now, drainTime time.Duration, before *Upstream, a *controlpb.UpstreamAnnouncement) time.Duration {
	switch {
	case before == nil || mayHaveDrained(before, a):
		// It was acknowledged at a time that is not known here, by an earlier leader or long ago.
		return 0
	case before.unconfirmed:
		// 0 would mean that the end is not known.
		return max(1, now+drainTime-earlierLeaderMargin)
	case before.Draining && before.startedUnixMs == a.StartedUnixMs:
		return before.DrainEndsAt
	default:
		return now + drainTime
	}
}

// mayHaveDrained reports whether an earlier leader may have acknowledged that the process of an announcement
// drains. before is the registered upstream with the same ID, or nil.
func mayHaveDrained(before *Upstream, a *controlpb.UpstreamAnnouncement) bool {
	if before == nil {
		return false
	}
	if before.unconfirmed {
		return before.Draining
	}
	return before.drainedEarlier && before.startedUnixMs == a.StartedUnixMs
}

// NodeDrainEnds returns when the drains of a topology's upstreams end, by ID, on the clock of a node.
//
// previous is what the node knew before. remaining is the time that was left of drains when the leader had received
// the report that the node sent at sentAt. It is counted from sentAt, so that the delay of messages can only
// shorten a drain. An upstream whose drain goes on keeps the earliest end: a later leader may know less than the
// one that acknowledged the drain. A draining upstream of which no end is known is not in the result.
func NodeDrainEnds(
	previous map[string]time.Duration, t *controlpb.Topology, remaining []*controlpb.UpstreamDrain, sentAt time.Duration,
) map[string]time.Duration {
	ends := map[string]time.Duration{}
	for _, u := range t.GetUpstreams() {
		if end, known := previous[u.Id]; known && u.Draining {
			ends[u.Id] = end
		}
	}
	draining := drainingUpstreams(t)
	for _, d := range remaining {
		if !draining[d.Upstream] {
			continue
		}
		end := sentAt + time.Duration(d.LeftMs)*time.Millisecond
		if known, ok := ends[d.Upstream]; !ok || end < known {
			ends[d.Upstream] = end
		}
	}
	return ends
}

// drainingUpstreams returns the IDs of a topology's upstreams that drain.
func drainingUpstreams(t *controlpb.Topology) map[string]bool {
	draining := map[string]bool{}
	for _, u := range t.GetUpstreams() {
		if u.Draining {
			draining[u.Id] = true
		}
	}
	return draining
}
