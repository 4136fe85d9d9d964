package admission

import (
	"slices"
	"time"
)

const (
	// startupPeriod is how long after its start a node lets callers wait for its configuration. Later the leader is
	// out of reach, and it is unknown for how long.
	startupPeriod = 3 * time.Second
	// maxOpeningWait is how long a caller waits. Callers give up after two seconds, and a shorter wait leaves them
	// time for another node.
	maxOpeningWait = 1500 * time.Millisecond
	// maxOpeningCallers and maxOpeningBytes bound the callers that wait and what their messages hold.
	maxOpeningCallers = 256
	maxOpeningBytes   = 1 << 20
	// openingInterval is the mean time between two callers whose sessions begin in time for their objectives. Others
	// are spread over lateOpeningTime, at most maxOpeningInterval apart, so that they do not take the connections and
	// rate limits from new callers.
	openingInterval    = 30 * time.Millisecond
	lateOpeningTime    = time.Second
	maxOpeningInterval = 100 * time.Millisecond
	// openingServiceTime is the time that the first statement of a session is expected to take.
	openingServiceTime = 150 * time.Millisecond
)

// Opening decides which callers of a node that has just started wait for its configuration, and when their sessions
// begin.
//
// Load pattern: all nodes restart at the same moment, as after a loss of power. Each has its configuration half a
// second later, while the callers of the whole fleet connect. Their sessions then begin one after the other, so that
// the upstreams do not meet the new connections of all nodes at once.
//
// It is not safe for concurrent use.
type Opening[T any] struct {
	startedAt time.Duration
	// opened is set once the node has served.
	opened  bool
	callers []*OpeningCaller[T]
	bytes   int
	nextAt  time.Duration
}

// OpeningCaller is a caller that waits for its session to begin.
type OpeningCaller[T any] struct {
	Arrived time.Duration
	Value   T
	bytes   int
}

// Urgency tells how urgent the requests of a caller are.
type Urgency struct {
	Priority  uint32
	Objective time.Duration
}

// NewOpening returns an Opening for a node that starts now.
func NewOpening[T any](now time.Duration) *Opening[T] {
	return &Opening[T]{startedAt: now}
}

// Wait adds a caller whose message holds so many bytes. It returns nil if the caller is to be refused at once.
func (o *Opening[T]) Wait(now time.Duration, bytes int, value T) *OpeningCaller[T] {
	if o.opened || now-o.startedAt >= startupPeriod || len(o.callers) >= maxOpeningCallers || o.bytes+bytes > maxOpeningBytes {
		return nil
	}
	c := &OpeningCaller[T]{Arrived: now, Value: value, bytes: bytes}
	o.callers = append(o.callers, c)
	o.bytes += bytes
	return c
}

// Len returns the number of callers that wait.
func (o *Opening[T]) Len() int { return len(o.callers) }

// WaitsUntil returns the time until which a caller waits.
func (c *OpeningCaller[T]) WaitsUntil() time.Duration { return c.Arrived + maxOpeningWait }

// Opened records that the node has its configuration, and lets no more callers wait. It reports whether that is new.
func (o *Opening[T]) Opened() bool {
	first := !o.opened
	o.opened = true
	return first
}

// Next removes and returns the caller whose session begins now, or nil if none does yet. Callers whose objective can
// still be met go first, the more urgent before the others, and else in order of arrival. random is uniform in [0, 1).
func (o *Opening[T]) Next(now time.Duration, random float64, urgency func(T) Urgency) *OpeningCaller[T] {
	if !o.opened || len(o.callers) == 0 {
		return nil
	}
	if o.nextAt == 0 {
		o.nextAt = now + time.Duration(random*float64(openingInterval))
	}
	if now < o.nextAt {
		return nil
	}
	first := slices.MinFunc(o.callers, func(a, b *OpeningCaller[T]) int {
		return compareCallers(now, a, b, urgency)
	})
	interval := openingInterval
	if first.isLate(now, urgency(first.Value).Objective) {
		interval = min(maxOpeningInterval, max(openingInterval, lateOpeningTime/time.Duration(len(o.callers))))
	}
	o.nextAt = now + spread(interval, random)
	o.Leave(first)
	return first
}

// isLate reports whether a session that begins now cannot meet an objective any more.
func (c *OpeningCaller[T]) isLate(now, objective time.Duration) bool {
	return now+openingServiceTime >= c.Arrived+objective
}

// compareCallers orders callers by the time at which their sessions begin. It returns 0 for callers that keep their
// order of arrival.
func compareCallers[T any](now time.Duration, a, b *OpeningCaller[T], urgency func(T) Urgency) int {
	ua, ub := urgency(a.Value), urgency(b.Value)
	lateA, lateB := a.isLate(now, ua.Objective), b.isLate(now, ub.Objective)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	default:
		return int(ua.Priority) - int(ub.Priority)
	}
}

// First removes and returns the caller that has waited for the longest time, or nil.
func (o *Opening[T]) First() *OpeningCaller[T] {
	if len(o.callers) == 0 {
		return nil
	}
	first := o.callers[0]
	o.Leave(first)
	return first
}

// Leave removes a caller. It returns false if it does not wait any more.
func (o *Opening[T]) Leave(c *OpeningCaller[T]) bool {
	i := slices.Index(o.callers, c)
	if i < 0 {
		return false
	}
	o.callers = slices.Delete(o.callers, i, i+1)
	o.bytes -= c.bytes
	return true
}
