package control

import (
	"context"
	"slices"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// addLeaderStatus adds upstream health and proxies, which only the leader knows, to
// an answer of Show.
func (l *Leader) addLeaderStatus(ctx context.Context, reply *controlpb.ShowReply) {
	l.inspect(ctx, func() {
		now := clock.Now()
		if l.failoverMachine != nil {
			reply.Health = l.failoverMachine.Health(now)
		}
		for _, name := range sortedKeys(l.streams) {
			reply.Proxies = append(reply.Proxies, &controlpb.ProxyStatus{
				Name:            name,
				AppliedRevision: l.streams[name].appliedRevision,
				LastReportAgeMs: uint32((now - l.lastReportAt[name]).Milliseconds()),
			})
		}
	})
}

// recentDecisions returns the retained decisions that are not replicated.
func (l *Leader) recentDecisions(ctx context.Context) []*controlpb.Event {
	var events []*controlpb.Event
	l.inspect(ctx, func() { events = slices.Clone(l.decisions) })
	return events
}
