// Package balance chooses among servers whose load is known only from observations that are some
// time old. It has no clock, no I/O and no source of random numbers of its own.
//
// Load pattern: hundreds of machines choose among a few servers at the same moment, and each knows
// their load from an answer or a report that is a fraction of a second to seconds old. If all of
// them take the server that was free when it was last seen, it is overrun before the next
// observation while the others idle, and then the next one is.
//
// An observation therefore counts less the older it is. The load that is expected falls back from
// the last observation to the average of the observations before, in the time in which the work
// of a server is replaced by other work, and the uncertainty grows meanwhile. Each choice draws a
// load within that uncertainty for each server and takes the server with the least expected wait.
// Machines that know the same thus choose differently, in proportion to how likely each server
// is the best one, while a difference that is certain, or larger than what may have changed, decides
// all choices.
package balance

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of the average of the observations of a server.
	averageTime = 2 * time.Second
	// replacementTime is the time constant in which the load of a server falls back to its average:
	// several times that of a short statement, since a queue is worked off one statement after the other.
	replacementTime = 150 * time.Millisecond
	// herdSpread is the uncertainty of an old observation of a full server, as a fraction of its slots. It is
	// above that of independent arrivals, since other machines have acted on the same observation.
	herdSpread = 1.2
)

// Tracker holds what is known of one server: its load, which is the statements of all machines that run
// there or wait for it, and the fraction of statements that it runs. The zero value knows nothing. It is
// not safe for concurrent use.
type Tracker struct {
	observedAt time.Duration
	observed   float64
	average    float64
	known      bool

	SuccessRate
}

// Observe records that the server had the given load at a time. Observations that are older than
// the newest one are ignored.
func (t *Tracker) Observe(at time.Duration, load float64) {
	if !t.known {
		t.observedAt, t.observed, t.average, t.known = at, load, load, true
		return
	}
	if at < t.observedAt {
		return
	}
	kept := decay(at-t.observedAt, averageTime)
	t.average = load + kept*(t.average-load)
	t.observedAt, t.observed = at, load
}

// Known reports whether the load has been observed.
func (t *Tracker) Known() bool {
	return t.known
}

// Age returns the time since the newest observation of the load.
func (t *Tracker) Age(now time.Duration) time.Duration {
	return max(0, now-t.observedAt)
}

// Estimate returns what is expected of the server now.
func (t *Tracker) Estimate(now time.Duration) Estimate {
	e := Estimate{Success: t.Rate(now)}
	if t.known {
		kept := decay(t.Age(now), replacementTime)
		e.Load = t.average + kept*(t.observed-t.average)
		e.Staleness = math.Sqrt(1 - kept*kept)
	}
	return e
}

// decay returns the fraction of a value that is left after some time.
func decay(after, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, after)) / float64(constant))
}

// Estimate is what is expected of a server.
type Estimate struct {
	Load float64
	// Staleness is 0 for a load that was observed just now and 1 for an old observation.
	Staleness float64
	// Success is the fraction of statements that the server runs.
	Success float64
}

// Candidate is a server that may be chosen.
type Candidate struct {
	Estimate
	// Slots is the number of statements that run at the server at once.
	Slots int
	// ServiceTime is how long one statement runs.
	ServiceTime time.Duration
	// Cost is the expected time of a statement there besides its wait for a slot.
	Cost time.Duration
}

// Choose returns the index of the candidate with the least expected time, or -1 if there is none.
// normal returns random numbers of the standard normal distribution.
func Choose(candidates []Candidate, normal func() float64) int {
	best, bestTime := -1, 0.0
	for i, c := range candidates {
		if t := c.expectedTime(normal()); best < 0 || t < bestTime {
			best, bestTime = i, t
		}
	}
	return best
}

// expectedTime returns the expected time in seconds until a statement has run, with a load that deviates
// from the expected one by so many standard deviations. A statement that the server does not run is tried
// again.
func (c Candidate) expectedTime(deviation float64) float64 {
	slots := float64(max(1, c.Slots))
	load := c.Load + deviation*c.Staleness*c.uncertainty(slots)
	waiting := max(0, load+1-slots)
	wait := waiting / slots * c.ServiceTime.Seconds()
	return (c.Cost.Seconds() + c.ServiceTime.Seconds() + wait) / c.Success
}

// uncertainty returns the standard deviation of a load that was observed long ago. At a server with free
// slots it is that of independent arrivals, so that a near server with room is preferred.
func (c Candidate) uncertainty(slots float64) float64 {
	filled := min(1, c.Load/slots)
	return max(math.Sqrt(c.Load), herdSpread*slots*filled*filled)
}
