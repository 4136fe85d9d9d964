package throttle

import "time"

const (
	// arrivalSlot is the length of one slot of arrivals.
	arrivalSlot = 125 * time.Millisecond
	// shortSlots and longSlots are the numbers of slots over which the rate of arrivals is
	// measured. All nodes report within two slots.
	shortSlots = 4
	longSlots  = 8
	// riseFactor is how much higher the rate over the short time must be to count as a rise.
	riseFactor = 1.3
)

// arrivals measures the rate at which requests arrive.
type arrivals struct {
	slots  [longSlots]uint64
	newest int64
}

func (a *arrivals) advance(now time.Duration) {
	slot := int64(now / arrivalSlot)
	if slot-a.newest >= longSlots {
		a.slots = [longSlots]uint64{}
		a.newest = slot
	}
	for a.newest < slot {
		a.newest++
		a.slots[a.newest%longSlots] = 0
	}
}

func (a *arrivals) add(now time.Duration, requests uint64) {
	a.advance(now)
	a.slots[a.newest%longSlots] += requests
}

// perSecond returns the rate over the long time, or over the short time if it has risen.
func (a *arrivals) perSecond(now time.Duration) float64 {
	a.advance(now)
	short, long := uint64(0), uint64(0)
	for i := range int64(longSlots) {
		n := a.slots[(a.newest-i+longSlots)%longSlots]
		long += n
		if i < shortSlots {
			short += n
		}
	}
	shortRate := float64(short) / (shortSlots * arrivalSlot).Seconds()
	longRate := float64(long) / (longSlots * arrivalSlot).Seconds()
	if shortRate > riseFactor*longRate {
		return shortRate
	}
	return longRate
}
