package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/gateway/holders"
)

const (
	// holderSettleTime is the time after a change of leader in which the holders of the earlier leader stay and none
	// are chosen: the nodes are still connecting.
	holderSettleTime = time.Second
	// silentNodeTimeout is the time without a report after which a node holds no connections for others. Reports come
	// every 250 ms.
	silentNodeTimeout = time.Second
	// nodeSettleTime is how long a node is connected before it holds connections beside others.
	nodeSettleTime = 2 * time.Second
	// maxStepGap is the time between two steps above which the leader itself has not run, so that it has not
	// received the reports of nodes either.
	maxStepGap = 400 * time.Millisecond
)

// holderState is the choice of the nodes that hold the connections to upstreams.
type holderState struct {
	// chosen holds their addresses by upstream.
	chosen    map[string][]string
	steppedAt time.Duration
}

// adoptHolders keeps the choice of an earlier leader, so that the nodes go on with their connections.
func (l *Leader) adoptHolders(t *controlpb.Topology) {
	for _, u := range t.Upstreams {
		if len(u.Holders) > 0 && len(l.holders.chosen[u.Id]) == 0 {
			l.holders.chosen[u.Id] = u.Holders
		}
	}
}

// stepHolders replaces holders that have left or gone silent. It reports whether the choice has changed.
func (l *Leader) stepHolders(now time.Duration) bool {
	gap := now - l.holders.steppedAt
	l.holders.steppedAt = now
	if now-l.leadingSince < holderSettleTime {
		return false
	}
	if gap > maxStepGap {
		l.forgetSilence(now)
	}
	next := holders.Choose(l.holders.chosen, l.holdableUpstreams(), l.holderNodes(now), int(l.fleetSize(now)))
	if holders.Equal(next, l.holders.chosen) {
		return false
	}
	l.logHolders(next)
	l.holders.chosen = next
	metricHolderChanges.Inc()
	l.registry.IncrementRevision()
	return true
}

// forgetSilence counts the silence of nodes from now on.
func (l *Leader) forgetSilence(now time.Duration) {
	for s := range l.streams {
		s.reportedAt = now
	}
}

// holdableUpstreams returns the upstreams with the number of connections that each accepts.
func (l *Leader) holdableUpstreams() []holders.Upstream {
	limits := map[string]int{}
	for _, s := range l.store.current().Catalog.GetServices() {
		limits[s.Name] = int(s.MaxConnections)
	}
	var out []holders.Upstream
	for _, u := range l.registry.Live() {
		out = append(out, holders.Upstream{ID: u.ID, Place: u.Place, MaxConnections: limits[u.Service]})
	}
	return out
}

// holderNodes returns the nodes that may hold connections for others: those that report and are not stopping.
func (l *Leader) holderNodes(now time.Duration) []holders.Node {
	self := l.replica().Status().Identity
	var out []holders.Node
	for s := range l.streams {
		if s.stopping || s.forwardAddress == "" || now-s.reportedAt > silentNodeTimeout {
			continue
		}
		out = append(out, holders.Node{
			Name: s.node, Address: s.forwardAddress, Place: s.place, LinkMbps: s.linkMbps,
			Voter: s.voterIdentity != "", Leader: s.voterIdentity != "" && s.voterIdentity == self,
			Settled: now-s.attendedAt >= nodeSettleTime,
		})
	}
	return out
}

// logHolders logs the upstreams whose holders change.
func (l *Leader) logHolders(next map[string][]string) {
	for upstream, addresses := range next {
		if before := l.holders.chosen[upstream]; !slices.Equal(before, addresses) {
			l.log.WithFields(logrus.Fields{"event": "holders_changed", "upstream": upstream, "holders": addresses, "before": before}).
				Info("nodes that hold the connections to an upstream changed")
		}
	}
}
