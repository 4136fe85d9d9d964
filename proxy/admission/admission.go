// Package admission hands out a process's request tokens and queues requests while no
// token is available.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// TokenHolder holds the request tokens that the control leader has granted. It need not be
// safe for concurrent use: Queue calls it under its lock.
type TokenHolder interface {
	// Take uses one token and reports whether there was one.
	Take(now time.Duration, team string) bool
	// Exhausted reports whether the allocator has reported the team's bucket as empty.
	Exhausted(now time.Duration, team string) bool
	// Urgent reports whether a report should be sent before the regular interval ends.
	Urgent(now time.Duration) bool
	// AddWaiting changes the number of requests that wait for a token.
	AddWaiting(team string, delta int)
	Report(now time.Duration) []*controlpb.TokenDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant)
	StartStream(now time.Duration)
}

// Queue hands out request tokens, in order of arrival within a team. It is safe for
// concurrent use.
type Queue struct {
	mu            sync.Mutex
	holder        TokenHolder
	waiting       map[string][]*tokenWaiter
	requestReport func()
}

type tokenWaiter struct {
	granted chan struct{}
	// answered is set when a grant for the team, sufficient or not, has arrived during the
	// wait.
	answered bool
}

// New returns a queue for the tokens of holder. It calls requestReport, without its lock
// held, when a report should be sent before the regular interval ends.
func New(holder TokenHolder, requestReport func()) *Queue {
	return &Queue{holder: holder, waiting: map[string][]*tokenWaiter{}, requestReport: requestReport}
}

// Take takes a token without waiting and reports whether there was one. It takes none
// while earlier requests of the team wait.
func (q *Queue) Take(now time.Duration, team string) bool {
	q.mu.Lock()
	taken := len(q.waiting[team]) == 0 && q.holder.Take(now, team)
	urgent := q.holder.Urgent(now)
	q.mu.Unlock()
	if urgent {
		q.requestReport()
	}
	return taken
}

// Wait takes a token, waiting for one until ctx ends. While the allocator reports the
// team's bucket as empty, the request is refused after limit.
func (q *Queue) Wait(ctx context.Context, now time.Duration, team string, limit time.Duration) *rescode.Error {
	if q.Take(now, team) {
		return nil
	}
	metricTokenWaits.Inc()
	w := q.enqueue(team)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	expired := timer.C
	for {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
			return q.cancelWait(w, team, false)
		case <-expired:
			if q.exhausted(clock.Now(), team) {
				return q.cancelWait(w, team, true)
			}
			// The allocator hasn't reported an empty bucket, perhaps because none
			// answers. The request waits until its deadline or until such a report.
			timer.Reset(limit)
		}
	}
}

func (q *Queue) exhausted(now time.Duration, team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holder.Exhausted(now, team)
}

func (q *Queue) enqueue(team string) *tokenWaiter {
	w := &tokenWaiter{granted: make(chan struct{})}
	q.mu.Lock()
	q.waiting[team] = append(q.waiting[team], w)
	q.holder.AddWaiting(team, 1)
	q.mu.Unlock()
	q.requestReport()
	return w
}

// cancelWait removes w from the queue and returns the refusal. It returns nil if w was
// granted a token concurrently, which the request then uses.
func (q *Queue) cancelWait(w *tokenWaiter, team string, exhausted bool) *rescode.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.waiting[team]
	for i, other := range queue {
		if other == w {
			q.setWaiting(team, append(queue[:i:i], queue[i+1:]...))
			q.holder.AddWaiting(team, -1)
			return w.refuse(team, exhausted)
		}
	}
	return nil
}

// refuse counts the refusal and returns an error that tells whether the team has used up
// its rate, was granted too little, or got no answer from control.
func (w *tokenWaiter) refuse(team string, exhausted bool) *rescode.Error {
	reason, text := reasonNoAllocator, "team %q: control granted nothing in time, the rate may not be used up"
	if w.answered {
		reason, text = reasonGrantTooSmall, "team %q: control granted too little in time"
	}
	if exhausted {
		reason, text = reasonExhausted, "team %q"
	}
	metricRateRefusals[reason].Inc()
	return rescode.New(rescode.RateExceeded, text, team)
}

func (q *Queue) setWaiting(team string, queue []*tokenWaiter) {
	if len(queue) == 0 {
		delete(q.waiting, team)
		return
	}
	q.waiting[team] = queue
}

// Report returns the token demands for the next report. It must be sent, because it returns
// unused tokens to the allocator.
func (q *Queue) Report(now time.Duration) []*controlpb.TokenDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holder.Report(now)
}

// StartStream prepares for a new control stream.
func (q *Queue) StartStream(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.StartStream(now)
}

// ApplyGrant adds the granted tokens and hands them to waiting requests. sentAt is when the
// report that the grant answers was sent. Revoked tokens are reported at once, because
// requests of other processes wait for them.
func (q *Queue) ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant) {
	q.mu.Lock()
	q.applyGrant(now, sentAt, grant)
	urgent := q.holder.Urgent(now)
	q.mu.Unlock()
	if urgent {
		q.requestReport()
	}
}

// applyGrant is ApplyGrant without locking.
func (q *Queue) applyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant) {
	q.holder.ApplyGrant(now, sentAt, grant)
	queue := q.waiting[grant.Team]
	for len(queue) > 0 && q.holder.Take(now, grant.Team) {
		close(queue[0].granted)
		queue = queue[1:]
		q.holder.AddWaiting(grant.Team, -1)
	}
	for _, w := range queue {
		w.answered = true
	}
	q.setWaiting(grant.Team, queue)
}
