// Package admission decides which request for a busy upstream is served next, which waits and which is refused, and
// when a caller may come back. It neither reads a clock nor does it wait: times are arguments, on one monotonic clock.
//
// Load patterns: a burst of one kind of request that would take the slots of a more urgent kind; one team that sends
// many times its usual; servers that shed work while hundreds of nodes retry; all nodes restarting at once.
package admission

import (
	"slices"
	"time"
)

const (
	// maxWaiting bounds the requests that wait in one queue.
	maxWaiting = 1024
	// maxOvertakes is how many requests in a row may be served ahead of a waiting one of lower priority. Lower
	// priorities get a ninth of the service while a higher one has more work than there is room: their callers see
	// progress, and the higher one loses little.
	maxOvertakes = 8
	// While other teams of the same priority wait, a team gets at most one of teamShareDivisor requests in service.
	teamShareDivisor = 2
	// overtakeLimit is how long the first waiter may be overtaken by those of its priority whose team has an idle
	// connection.
	overtakeLimit = 120 * time.Millisecond
)

// Request describes a request that needs a connection.
type Request struct {
	Team string
	// Priority orders requests; 0 is the most urgent.
	Priority uint32
	Arrived  time.Duration
	// ObjectiveEnd is when the latency objective of the request ends.
	ObjectiveEnd time.Duration
	// WaitUntil is the latest time at which service may begin.
	WaitUntil time.Duration
	// Repeat is set for a further attempt of the node for the same request.
	Repeat bool
	// Movable is set for a request that another upstream can serve.
	Movable bool
}

// Capacity is what an upstream can take now.
type Capacity struct {
	// Slots is how many requests may be in service at once. HoldTime is how long one is expected to be.
	Slots    int
	HoldTime time.Duration
	// BlockedUntil returns the time before which no request of a priority is served; 0 if it may be served now.
	BlockedUntil func(priority uint32) time.Duration
	// InUse counts the requests in service, by team.
	InUse map[string]int
}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// TooLong means that the request could not be served within its objective.
	TooLong Reason = "wait_too_long"
	// QueueLimit means that too many requests wait that are at least as urgent.
	QueueLimit Reason = "queue_limit"
	// Displaced means that a more urgent request took the place of a waiting one.
	Displaced Reason = "displaced"
	// RepeatYields means that a further attempt would have displaced the first attempt of another request.
	RepeatYields Reason = "repeat_yields"
)

// Refusal states why a request was refused, and after which time the requests ahead of it will have been served.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Waiter is a request that waits.
type Waiter[T any] struct {
	Request
	Value T
}

// Removed is a waiter that was removed to make room.
type Removed[T any] struct {
	*Waiter[T]
	Refusal Refusal
}

// Queue holds the requests that wait for one upstream. It is not safe for concurrent use.
type Queue[T any] struct {
	// waiters is sorted by urgency.
	waiters []*Waiter[T]
	// overtakes counts the requests served in a row while one of lower priority waited.
	overtakes int
	// arrivals holds the rates at which requests of each priority arrive.
	arrivals [priorityLevels]arrivalRate
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// RecordArrival counts a request for the upstream, whether it has to wait or not.
func (q *Queue[T]) RecordArrival(now time.Duration, priority uint32) {
	q.arrivals[level(priority)].add(now)
}

// Push adds a request. It returns nil and the reason if the request is refused, and otherwise the waiters that the
// request displaces: those that can no longer be served within their objectives.
func (q *Queue[T]) Push(now time.Duration, r Request, value T, c Capacity) (*Waiter[T], Refusal, []Removed[T]) {
	w := &Waiter[T]{Request: r, Value: value}
	q.insert(w)
	removed, refusal := q.overload(now, w, c)
	if refusal.Reason != "" {
		q.Remove(w)
		return nil, refusal, nil
	}
	for _, other := range removed {
		q.Remove(other.Waiter)
	}
	return w, Refusal{}, removed
}

// insert adds w behind the waiters that are as urgent.
func (q *Queue[T]) insert(w *Waiter[T]) {
	i := len(q.waiters)
	for i > 0 && w.moreUrgent(q.waiters[i-1]) {
		i--
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// moreUrgent reports whether w goes before other: the higher priority, within it those whose objective can still be
// met, and then the earlier end of the objective.
func (w *Waiter[T]) moreUrgent(other *Waiter[T]) bool {
	switch {
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	case w.late() != other.late():
		return other.late()
	default:
		return w.ObjectiveEnd < other.ObjectiveEnd
	}
}

// late reports whether the objective ended before the request came.
func (r Request) late() bool { return r.ObjectiveEnd <= r.Arrived }

// overload returns what must be refused now that w waits: either w itself, or waiters behind it.
func (q *Queue[T]) overload(now time.Duration, w *Waiter[T], c Capacity) ([]Removed[T], Refusal) {
	var removed []Removed[T]
	behind := false
	ahead, lower := 0, 0
	for _, other := range q.order(c) {
		wait := q.expectedWait(now, ahead, lower, other, c)
		reason := other.refusalReason(now, ahead, wait)
		switch {
		case other == w && reason != "":
			return nil, Refusal{Reason: reason, RetryAfter: wait}
		case other == w:
			behind = true
		case behind && reason != "" && w.Repeat && !other.Repeat && !other.Movable:
			return nil, Refusal{Reason: RepeatYields, RetryAfter: wait}
		case behind && reason != "":
			removed = append(removed, Removed[T]{Waiter: other, Refusal: Refusal{Reason: Displaced, RetryAfter: wait}})
			continue
		}
		ahead++
		if other.Priority > q.waiters[0].Priority {
			lower++
		}
	}
	return removed, Refusal{}
}

// refusalReason returns why a request cannot wait with so many ahead of it and an expected wait, or nothing if it can.
func (r Request) refusalReason(now time.Duration, ahead int, wait time.Duration) Reason {
	switch {
	case ahead >= maxWaiting:
		return QueueLimit
	case now+wait > r.WaitUntil:
		return TooLong
	default:
		return ""
	}
}

// expectedWait returns the time until w is served, with so many waiters ahead of it, of which lower are of lower
// priority than the most urgent waiter.
func (q *Queue[T]) expectedWait(now time.Duration, ahead, lower int, w *Waiter[T], c Capacity) time.Duration {
	if w.Priority > q.waiters[0].Priority {
		ahead = min(ahead, (lower+1)*(maxOvertakes+1)-1)
	}
	return q.waitBehind(now, ahead, w.Priority, c)
}

// waitBehind returns the time until a request of a priority is served that has so many ahead of it. More urgent ones
// that arrive meanwhile go first, and leave a part of the service to it.
func (q *Queue[T]) waitBehind(now time.Duration, ahead int, priority uint32, c Capacity) time.Duration {
	perRequest := float64(c.HoldTime) / float64(max(1, c.Slots))
	moreUrgent := 0.0
	for i := range level(priority) {
		moreUrgent += q.arrivals[i].perSecond(now) * perRequest / float64(time.Second)
	}
	left := max(1-moreUrgent, 1.0/(maxOvertakes+1))
	return c.blocked(now, priority) + time.Duration(float64(ahead+1)*perRequest/left)
}

// blocked returns how long no request of a priority is served.
func (c Capacity) blocked(now time.Duration, priority uint32) time.Duration {
	if c.BlockedUntil == nil {
		return 0
	}
	return max(0, c.BlockedUntil(priority)-now)
}

// order returns the waiters in the order of service.
func (q *Queue[T]) order(c Capacity) []*Waiter[T] {
	served := newTally(c.InUse)
	out := make([]*Waiter[T], 0, len(q.waiters))
	for rest := q.waiters; len(rest) > 0; {
		lower := q.lower(rest[0].Priority)
		out = appendInOrder(out, rest[:len(rest)-len(lower)], served)
		rest = lower
	}
	return out
}

// appendInOrder appends the waiters of one priority in the order of service. At most one team is beyond its share at
// a time, so a single list holds those that must let others go first.
func appendInOrder[T any](out, waiters []*Waiter[T], served tally) []*Waiter[T] {
	var deferred []*Waiter[T]
	for len(waiters)+len(deferred) > 0 {
		var next *Waiter[T]
		switch {
		case len(deferred) > 0 && (len(waiters) == 0 || served.withinShare(deferred[0].Team)):
			next, deferred = deferred[0], deferred[1:]
		case served.withinShare(waiters[0].Team):
			next, waiters = waiters[0], waiters[1:]
		default:
			deferred, waiters = append(deferred, waiters[0]), waiters[1:]
			continue
		}
		served.add(next.Team)
		out = append(out, next)
	}
	return out
}

// firstWithinShare returns the index of the first waiter of the highest priority whose team is within its share, or
// of the first at all if no other team waits.
func firstWithinShare[T any](waiters []*Waiter[T], served tally) int {
	for i, w := range waiters {
		if w.Priority != waiters[0].Priority {
			break
		}
		if served.withinShare(w.Team) {
			return i
		}
	}
	return 0
}

// tally counts requests in service by team.
type tally struct {
	byTeam map[string]int
	total  *int
}

func newTally(inUse map[string]int) tally {
	t := tally{byTeam: make(map[string]int, len(inUse)), total: new(int)}
	for team, n := range inUse {
		t.byTeam[team] = n
		*t.total += n
	}
	return t
}

func (t tally) add(team string) {
	t.byTeam[team]++
	*t.total++
}

// withinShare reports whether a team may have one more request in service while others wait.
func (t tally) withinShare(team string) bool {
	share := (*t.total + teamShareDivisor) / teamShareDivisor
	return t.byTeam[team] < share
}

// Next returns the waiter to serve next, or nil if none may be served now. Among those of one priority it prefers one
// whose team has an idle connection, which saves the upstream a new one.
func (q *Queue[T]) Next(now time.Duration, c Capacity, hasIdleConnection func(team string) bool) *Waiter[T] {
	waiters := q.eligible(now, c)
	if len(waiters) == 0 {
		return nil
	}
	served := newTally(c.InUse)
	first := waiters[firstWithinShare(waiters, served)]
	if now-first.Arrived >= overtakeLimit {
		return first
	}
	for _, w := range waiters {
		if w.Priority != first.Priority {
			break
		}
		if hasIdleConnection(w.Team) && served.withinShare(w.Team) {
			return w
		}
	}
	return first
}

// eligible returns the waiters that may be served now. Those of the highest priority are left out once a waiter of a
// lower one has been overtaken often enough.
func (q *Queue[T]) eligible(now time.Duration, c Capacity) []*Waiter[T] {
	waiters := q.waiters
	if len(waiters) > 0 && q.overtakes >= maxOvertakes {
		if lower := q.lower(waiters[0].Priority); len(lower) > 0 && c.blocked(now, lower[0].Priority) == 0 {
			waiters = lower
		}
	}
	for len(waiters) > 0 && c.blocked(now, waiters[0].Priority) > 0 {
		waiters = q.lower(waiters[0].Priority)
	}
	return waiters
}

// lower returns the waiters of lower priority.
func (q *Queue[T]) lower(priority uint32) []*Waiter[T] {
	i := slices.IndexFunc(q.waiters, func(w *Waiter[T]) bool { return w.Priority > priority })
	if i < 0 {
		return nil
	}
	return q.waiters[i:]
}

// Served removes a waiter that is being served.
func (q *Queue[T]) Served(w *Waiter[T]) {
	if w.Priority == q.waiters[0].Priority && len(q.lower(w.Priority)) > 0 {
		q.overtakes++
	} else {
		q.overtakes = 0
	}
	q.Remove(w)
}

// Remove removes a waiter. It returns false if it does not wait any more.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Clear removes and returns all waiters.
func (q *Queue[T]) Clear() []*Waiter[T] {
	waiters := q.waiters
	q.waiters, q.overtakes = nil, 0
	return waiters
}

// ExpectedWait returns how long a request of a priority that came now would wait.
func (q *Queue[T]) ExpectedWait(now time.Duration, priority uint32, c Capacity) time.Duration {
	ahead := len(q.waiters) - len(q.lower(priority))
	return q.waitBehind(now, ahead, priority, c)
}
