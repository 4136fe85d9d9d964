package control

import (
	"context"
	"slices"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// describe adds what only the leader knows to an answer of Show.
func (l *Leader) describe(ctx context.Context, reply *controlpb.ShowReply) {
	l.inspect(ctx, func() {
		now := clock.Now()
		if l.groups != nil {
			reply.Health = l.groups.Health(now)
		}
		for _, name := range sortedKeys(l.attending) {
			reply.Proxies = append(reply.Proxies, &controlpb.ProxyStatus{
				Name:            name,
				AppliedRevision: l.attending[name].applied,
				LastReportAgeMs: uint32((now - l.lastReports[name]).Milliseconds()),
			})
		}
	})
}

// localEvents returns the recent decisions that are not replicated.
func (l *Leader) localEvents(ctx context.Context) []*controlpb.Event {
	var events []*controlpb.Event
	l.inspect(ctx, func() { events = slices.Clone(l.local) })
	return events
}
