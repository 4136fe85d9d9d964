// Package admission hands out the request tokens of a process, and makes requests wait
// for tokens that control grants a moment later.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
)

// TokenHolder holds the request tokens that control granted. It is not safe for
// concurrent use; Queue guards it.
type TokenHolder interface {
	Take(now time.Duration, team string) bool
	// Exhausted says that the owner reported the team's bucket as empty.
	Exhausted(now time.Duration, team string) bool
	// Urgent says that a report should be sent before the next interval.
	Urgent(now time.Duration) bool
	AddWaiting(team string, delta int)
	Report(now time.Duration) []*controlpb.TokenDemand
	ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant)
	StartStream(now time.Duration)
	// RecordAnswer says that the owner has answered a report.
	RecordAnswer(now time.Duration)
	// Refund gives back the token of a request that has not run.
	Refund(now time.Duration, team string)
}

// Queue hands out request tokens, in order of arrival within a team.
type Queue struct {
	mu            sync.Mutex
	holder        TokenHolder
	waiting       map[string][]*tokenWaiter
	requestReport func()
}

type tokenWaiter struct {
	granted chan struct{}
	// answered is set when the owner has answered for the team during the wait.
	answered bool
}

// New returns a queue in front of holder. urgent is called when a report should be sent
// before the next interval.
func New(holder TokenHolder, requestReport func()) *Queue {
	return &Queue{holder: holder, waiting: map[string][]*tokenWaiter{}, requestReport: requestReport}
}

// Take takes a token without waiting.
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

// Wait takes a token, waiting until ctx ends. limit bounds the wait while the
// team's bucket is known to be empty.
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
			// No owner answers: the request waits for its deadline, or for the
			// answer that the bucket is empty.
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

// cancelWait takes a waiter out. A token that was granted at the same moment is used.
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

// refuse tells callers and operators whether the team has used up its rate, or
// control did not answer.
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

// Report implements controlclient.TokenReporter.
func (q *Queue) Report(now time.Duration) []*controlpb.TokenDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.holder.Report(now)
}

// StartStream implements controlclient.TokenReporter.
func (q *Queue) StartStream(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.StartStream(now)
}

// Refund gives back the token of a request that was refused as not run.
func (q *Queue) Refund(now time.Duration, team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Refund(now, team)
	queue := q.waiting[team]
	if len(queue) > 0 && q.holder.Take(now, team) {
		close(queue[0].granted)
		q.holder.AddWaiting(team, -1)
		q.setWaiting(team, queue[1:])
	}
}

// RecordAnswer implements controlclient.TokenReporter.
func (q *Queue) RecordAnswer(now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.RecordAnswer(now)
}

// ApplyGrant implements controlclient.TokenReporter and serves who waits. Tokens that were recalled are
// returned at once: requests of other processes wait for them.
func (q *Queue) ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant) {
	q.mu.Lock()
	q.applyGrant(now, sentAt, grant)
	urgent := q.holder.Urgent(now)
	q.mu.Unlock()
	if urgent {
		q.requestReport()
	}
}

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
