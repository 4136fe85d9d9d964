package admission

import (
	"math"
	"time"
)

const (
	// priorityLevels is the number of priorities that are told apart; lower ones count as the last.
	priorityLevels = 8
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = time.Second
)

// level returns the level of a priority.
func level(priority uint32) uint32 {
	return min(priority, priorityLevels-1)
}

// arrivalRate is an exponentially weighted rate of arrivals.
type arrivalRate struct {
	rate float64
	at   time.Duration
}

// add counts an arrival.
func (r *arrivalRate) add(now time.Duration) {
	r.rate = r.perSecond(now) + 1/rateWindow.Seconds()
	r.at = now
}

// perSecond returns the rate.
func (r *arrivalRate) perSecond(now time.Duration) float64 {
	return r.rate * math.Exp(-float64(now-r.at)/float64(rateWindow))
}
