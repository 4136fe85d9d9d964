// Package fairq orders waiting requests by start-time fair queueing over teams: each
// team gets an equal part of the requests served, however many it queues.
package fairq

import "slices"

type team[T any] struct {
	name    string
	waiting []T
	// start is the virtual time at which the team's first waiting item may start.
	start float64
}

// Queue is a fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	teams map[string]*team[T]
	// now is the virtual time: the start of the item that was popped last.
	now     float64
	waiting int
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{teams: map[string]*team[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return q.waiting
}

// TeamLen returns the number of waiting items of a team.
func (q *Queue[T]) TeamLen(name string) int {
	if t, ok := q.teams[name]; ok {
		return len(t.waiting)
	}
	return 0
}

// Push adds an item of a team.
func (q *Queue[T]) Push(name string, value T) {
	t, ok := q.teams[name]
	if !ok {
		t = &team[T]{name: name, start: q.now}
		q.teams[name] = t
	}
	if len(t.waiting) == 0 {
		// An idle team earns no credit.
		t.start = max(t.start, q.now)
	}
	t.waiting = append(t.waiting, value)
	q.waiting++
}

// Pop returns the item that starts next.
func (q *Queue[T]) Pop() (T, bool) {
	next := q.nextTeam()
	if next == nil {
		var none T
		return none, false
	}
	value := next.waiting[0]
	next.waiting = slices.Delete(next.waiting, 0, 1)
	q.waiting--
	q.charge(next)
	return value, true
}

func (q *Queue[T]) charge(t *team[T]) {
	q.now = max(q.now, t.start)
	t.start++
	if q.waiting == 0 {
		q.reset()
	}
}

// reset drops all teams once nothing waits.
func (q *Queue[T]) reset() {
	clear(q.teams)
	q.now = 0
}

// nextTeam returns the waiting team with the earliest start; the name decides ties.
func (q *Queue[T]) nextTeam() *team[T] {
	var best *team[T]
	for _, t := range q.teams {
		if len(t.waiting) == 0 {
			continue
		}
		if best == nil || t.start < best.start || t.start == best.start && t.name < best.name {
			best = t
		}
	}
	return best
}

// Remove removes the first waiting item of a team that matches. It returns false when
// there is none, because the item was popped before.
func (q *Queue[T]) Remove(name string, matches func(T) bool) bool {
	t, ok := q.teams[name]
	if !ok {
		return false
	}
	index := slices.IndexFunc(t.waiting, matches)
	if index < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, index, index+1)
	q.waiting--
	if q.waiting == 0 {
		q.reset()
	}
	return true
}
