package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
)

// placesListed asks the leader's goroutine for the state of all data centres.
type placesListed struct{ list chan<- *controlpb.PlaceList }

// listPlaces returns the state of all data centres.
func (l *Leader) listPlaces(ctx context.Context) (*controlpb.PlaceList, error) {
	list := make(chan *controlpb.PlaceList, 1)
	if !l.post(ctx, placesListed{list}) {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	select {
	case places := <-list:
		return places, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// placeList returns the state of the data centres that are drained, in the settings or of an upstream.
func (l *Leader) placeList(now time.Duration) *controlpb.PlaceList {
	byName := map[string]*controlpb.PlaceState{}
	placeOf := func(name string) *controlpb.PlaceState {
		if byName[name] == nil {
			byName[name] = &controlpb.PlaceState{Name: name}
		}
		return byName[name]
	}
	for _, place := range l.config.Places {
		placeOf(place)
	}
	if l.leading {
		for place, d := range l.placeDrains.byPlace {
			p := placeOf(place)
			p.Drained, p.LeftMs = true, uint32(d.left(now).Milliseconds())
		}
		for _, u := range l.registry.Live() {
			p := placeOf(u.Place)
			warmupLeft := max(0, l.warmups.byUpstream[u.ID].endsAt-now)
			p.Upstreams = append(p.Upstreams, &controlpb.PlaceUpstream{
				Id: u.ID, Service: u.Service, Primary: l.isPrimary(u.Service, u.ID), Draining: u.Draining,
				WarmupLeftMs: uint32(warmupLeft.Milliseconds()),
			})
		}
	}
	list := &controlpb.PlaceList{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list.Places = append(list.Places, byName[name])
	}
	return list
}
