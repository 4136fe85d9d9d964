package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/entry"
	"github.com/jayloom/jayloom/gateway/failover"
	"github.com/jayloom/jayloom/gateway/topology"
)

// placeDrain is a drain of a data centre that is in force.
type placeDrain struct {
	order uint64
	// endsAt is when no statement may reach an upstream there any more. An order that an earlier leader may have
	// acknowledged has no known end, and counts as over.
	endsAt   time.Duration
	endKnown bool
	// over is set once the end has been logged.
	over bool
}

// left returns the time until the end of the drain.
func (d placeDrain) left(now time.Duration) time.Duration {
	if !d.endKnown {
		return 0
	}
	return max(0, d.endsAt-now)
}

// placeDrains holds the drains of data centres in force. It belongs to the leader's goroutine.
type placeDrains struct {
	byPlace map[string]placeDrain
	// revision grows with each change. It is not 0, the revision of a stream that was sent none.
	revision uint64
}

// placeDrainProposed is posted when an order has been committed. It is handled before the order is acknowledged,
// so that the time of the drain does not begin later than that. handled receives whether this process leads.
type placeDrainProposed struct{ handled chan<- bool }

// placeDrainState is the value of the gauge of a data centre.
type placeDrainState float64

// States of a data centre.
const (
	placeInService placeDrainState = iota
	placeDraining
	placeDrained
)

func placeMetricName(place string) string {
	return `jayloom_gateway_data_centre_drain{data_centre=` + strconv.Quote(place) + `}`
}

// drainPlace commits the order to drain a data centre, or the end of a drain. A repeated order is committed again,
// because an opposite one may be under way: the order of the log decides between them.
func (l *Leader) drainPlace(ctx context.Context, in *controlpb.SetPlaceDrain) error {
	if err := entry.CheckWord("place", in.Place); err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if !in.Known && !l.knowsPlace(in.Place) {
		return status.Errorf(codes.InvalidArgument, "data centre %s is unknown: no settings, VM or upstream name it", in.Place)
	}
	result, err := l.replica().Propose(ctx, &controlpb.Command{
		Change: &controlpb.Command_SetPlaceDrain{SetPlaceDrain: &controlpb.SetPlaceDrain{Place: in.Place, Drained: in.Drained}},
	})
	if err != nil {
		return toStatus(err)
	}
	if result.Code != uint32(rescode.OK) {
		return toStatus(rescode.New(rescode.Code(result.Code), "%s", result.Message))
	}
	handled := make(chan bool, 1)
	if !l.post(ctx, placeDrainProposed{handled}) {
		return status.FromContextError(ctx.Err()).Err()
	}
	select {
	case leads := <-handled:
		if !leads {
			return status.Error(codes.Unavailable, "leadership was lost after the order")
		}
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// knowsPlace reports whether a data centre is known from the settings of this node, an earlier order or the saved
// topology.
func (l *Leader) knowsPlace(place string) bool {
	state := l.store.current()
	return slices.Contains(l.config.Places, place) ||
		slices.ContainsFunc(state.DrainedPlaces, func(p *controlpb.DrainedPlace) bool { return p.Name == place }) ||
		slices.ContainsFunc(state.Topology.GetUpstreams(), func(u *controlpb.TopologyUpstream) bool { return u.Place == place })
}

// adoptPlaceDrains takes over the drains in the log when this process becomes the leader. An earlier leader may have
// acknowledged them at any time, also before a loss of power of all VMs, so their ends are not known.
func (l *Leader) adoptPlaceDrains() {
	l.placeDrains = placeDrains{byPlace: map[string]placeDrain{}, revision: 1}
	for _, p := range l.store.current().DrainedPlaces {
		l.placeDrains.byPlace[p.Name] = placeDrain{order: p.Order, over: true}
		l.logPlaceDrain(p.Name, p.Order, placeDrained)
	}
}

// syncPlaceDrains compares the drains with those in the log and sends changes to all nodes.
func (l *Leader) syncPlaceDrains(now time.Duration) {
	stored := map[string]uint64{}
	for _, p := range l.store.current().DrainedPlaces {
		stored[p.Name] = p.Order
	}
	changed := false
	for place, d := range l.placeDrains.byPlace {
		if stored[place] == d.order {
			continue
		}
		changed = true
		delete(l.placeDrains.byPlace, place)
		l.logPlaceDrain(place, d.order, placeInService)
		l.warmUpPlace(now, place)
	}
	for place, order := range stored {
		if _, known := l.placeDrains.byPlace[place]; known {
			continue
		}
		changed = true
		l.placeDrains.byPlace[place] = placeDrain{order: order, endsAt: now + l.config.PlaceDrainTime, endKnown: true}
		l.logPlaceDrain(place, order, placeDraining)
	}
	if !changed {
		return
	}
	l.placeDrains.revision++
	for _, g := range l.groups {
		g.probeNow()
	}
	l.pushAll()
}

// logEndedPlaceDrains logs the drains whose time has passed.
func (l *Leader) logEndedPlaceDrains(now time.Duration) {
	for place, d := range l.placeDrains.byPlace {
		if !d.over && d.left(now) == 0 {
			d.over = true
			l.placeDrains.byPlace[place] = d
			l.logPlaceDrain(place, d.order, placeDrained)
		}
	}
}

// removePlaceMetrics removes the gauges of drains: another process leads.
func (l *Leader) removePlaceMetrics() {
	for place := range l.placeDrains.byPlace {
		metrics.UnregisterMetric(placeMetricName(place))
	}
	metricWarmingUpstreams.Set(0)
}

func (l *Leader) logPlaceDrain(place string, order uint64, state placeDrainState) {
	metrics.GetOrCreateGauge(placeMetricName(place), nil).Set(float64(state))
	names := map[placeDrainState]string{placeInService: "in_service", placeDraining: "draining", placeDrained: "drained"}
	l.log.WithFields(logrus.Fields{
		"event": "data_centre_drain", "data_centre": place, "order": order, "state": names[state],
	}).Info("drain of a data centre changed")
}

// addPlaceDrains adds the drains in force to an update for a node that has not been sent them on this stream. They
// are not part of the topology, which may have to wait while an update extends the node's lease.
func (l *Leader) addPlaceDrains(now time.Duration, s *nodeStream, u *controlpb.NodeUpdate) {
	if s.sentPlaceDrains == l.placeDrains.revision {
		return
	}
	s.sentPlaceDrains = l.placeDrains.revision
	u.PlaceDrains = &controlpb.PlaceDrains{ReportSequence: s.sequence}
	for _, place := range slices.Sorted(maps.Keys(l.placeDrains.byPlace)) {
		d := l.placeDrains.byPlace[place]
		u.PlaceDrains.Drains = append(u.PlaceDrains.Drains, &controlpb.PlaceDrain{
			Place: place, Order: d.order, EndKnown: d.endKnown, LeftMs: uint32(d.left(now).Milliseconds()),
		})
	}
}

// markPlaceDrains marks the servers in drained data centres as draining, so that a primary there is replaced and
// none of them is promoted.
func (l *Leader) markPlaceDrains(servers []failover.Server, upstreams []*topology.Upstream) {
	for i, u := range upstreams {
		if _, drained := l.placeDrains.byPlace[u.Place]; drained {
			servers[i].Draining = true
		}
	}
}
