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
	mu      sync.Mutex
	holder  TokenHolder
	waiting map[string][]*tokenWaiter
	urgent  func()
}

type tokenWaiter struct {
	granted chan struct{}
	// answered is set when the owner has answered for the team during the wait.
	answered bool
}

// New returns a queue in front of holder. urgent is called when a report should be sent
// before the next interval.
func New(holder TokenHolder, urgent func()) *Queue {
	return &Queue{holder: holder, waiting: map[string][]*tokenWaiter{}, urgent: urgent}
}

// Take takes a token without waiting.
func (a *Queue) Take(now time.Duration, team string) bool {
	a.mu.Lock()
	taken := len(a.waiting[team]) == 0 && a.holder.Take(now, team)
	urgent := a.holder.Urgent(now)
	a.mu.Unlock()
	if urgent {
		a.urgent()
	}
	return taken
}

// Wait takes a token, waiting until ctx ends. limit bounds the wait while the
// team's bucket is known to be empty.
func (a *Queue) Wait(ctx context.Context, now time.Duration, team string, limit time.Duration) *rescode.Error {
	if a.Take(now, team) {
		return nil
	}
	metricTokenWaits.Inc()
	w := a.enqueue(team)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	expired := timer.C
	for {
		select {
		case <-w.granted:
			return nil
		case <-ctx.Done():
			return a.giveUp(w, team, false)
		case <-expired:
			if a.exhausted(clock.Now(), team) {
				return a.giveUp(w, team, true)
			}
			// No owner answers: the request waits for its deadline, or for the
			// answer that the bucket is empty.
			timer.Reset(limit)
		}
	}
}

func (a *Queue) exhausted(now time.Duration, team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Exhausted(now, team)
}

func (a *Queue) enqueue(team string) *tokenWaiter {
	w := &tokenWaiter{granted: make(chan struct{})}
	a.mu.Lock()
	a.waiting[team] = append(a.waiting[team], w)
	a.holder.AddWaiting(team, 1)
	a.mu.Unlock()
	a.urgent()
	return w
}

// giveUp takes a waiter out. A token that was granted at the same moment is used.
func (a *Queue) giveUp(w *tokenWaiter, team string, exhausted bool) *rescode.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	queue := a.waiting[team]
	for i, other := range queue {
		if other == w {
			a.setWaiting(team, append(queue[:i:i], queue[i+1:]...))
			a.holder.AddWaiting(team, -1)
			return w.refuse(team, exhausted)
		}
	}
	return nil
}

// refuse tells callers and operators whether the team has used up its rate, or
// control did not answer.
func (w *tokenWaiter) refuse(team string, exhausted bool) *rescode.Error {
	reason, text := rateNoOwner, "team %q: control granted nothing in time, the rate may not be used up"
	if w.answered {
		reason, text = rateShort, "team %q: control granted too little in time"
	}
	if exhausted {
		reason, text = rateExhausted, "team %q"
	}
	metricRateRefusals[reason].Inc()
	return rescode.New(rescode.RateExceeded, text, team)
}

func (a *Queue) setWaiting(team string, queue []*tokenWaiter) {
	if len(queue) == 0 {
		delete(a.waiting, team)
		return
	}
	a.waiting[team] = queue
}

// Report implements controlclient.TokenReporter.
func (a *Queue) Report(now time.Duration) []*controlpb.TokenDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Report(now)
}

// StartStream implements controlclient.TokenReporter.
func (a *Queue) StartStream(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.StartStream(now)
}

// Refund gives back the token of a request that was refused as not run.
func (a *Queue) Refund(now time.Duration, team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Refund(now, team)
	queue := a.waiting[team]
	if len(queue) > 0 && a.holder.Take(now, team) {
		close(queue[0].granted)
		a.holder.AddWaiting(team, -1)
		a.setWaiting(team, queue[1:])
	}
}

// RecordAnswer implements controlclient.TokenReporter.
func (a *Queue) RecordAnswer(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RecordAnswer(now)
}

// ApplyGrant implements controlclient.TokenReporter and serves who waits. Tokens that were recalled are
// returned at once: requests of other processes wait for them.
func (a *Queue) ApplyGrant(now, sentAt time.Duration, grant *controlpb.TokenGrant) {
	a.mu.Lock()
	a.grant(now, sentAt, grant)
	urgent := a.holder.Urgent(now)
	a.mu.Unlock()
	if urgent {
		a.urgent()
	}
}

func (a *Queue) grant(now, sentAt time.Duration, grant *controlpb.TokenGrant) {
	a.holder.ApplyGrant(now, sentAt, grant)
	queue := a.waiting[grant.Team]
	for len(queue) > 0 && a.holder.Take(now, grant.Team) {
		close(queue[0].granted)
		queue = queue[1:]
		a.holder.AddWaiting(grant.Team, -1)
	}
	for _, w := range queue {
		w.answered = true
	}
	a.setWaiting(grant.Team, queue)
}
