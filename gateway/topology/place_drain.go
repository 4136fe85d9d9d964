package topology

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// PlaceDrain is the drain of a data centre as a node knows it.
type PlaceDrain struct {
	// Order distinguishes this drain from an earlier one of the same data centre.
	Order uint64
	// EndsAt is when no statement may reach an upstream there any more, on the clock of the node. It is 0 if the
	// end is not known and may have passed.
	EndsAt time.Duration
}

// NodePlaceDrains returns the drains of data centres, by place, on the clock of a node.
//
// previous is what the node knew before. told are all drains in force, with the times that were left when the leader
// had received the report that the node sent at sentAt. They are counted from sentAt, so that the delay of messages
// can only shorten a drain. A drain that goes on keeps its earliest end: a later leader does not know when an earlier
// one acknowledged the order.
func NodePlaceDrains(previous map[string]PlaceDrain, told *controlpb.PlaceDrains, sentAt time.Duration) map[string]PlaceDrain {
	drains := make(map[string]PlaceDrain, len(told.GetDrains()))
	for _, d := range told.GetDrains() {
		next := PlaceDrain{Order: d.Order}
		if d.EndKnown {
			// 0 would mean that the end is not known.
			next.EndsAt = max(1, sentAt+time.Duration(d.LeftMs)*time.Millisecond)
		}
		if known, ok := previous[d.Place]; ok && known.Order == d.Order {
			next.EndsAt = earliestEnd(known.EndsAt, next.EndsAt, d.EndKnown)
		}
		drains[d.Place] = next
	}
	return drains
}

// earliestEnd returns the end of a drain of which the node knew one and was told another, if that is known.
func earliestEnd(known, told time.Duration, toldIsKnown bool) time.Duration {
	if !toldIsKnown {
		return known
	}
	return min(known, told)
}
