package node

import (
	"context"
	"sync"
	"time"
)

// applyDelay is the minimum time between the commit of a record and its application.
// It can change while a record waits.
type applyDelay struct {
	mu       sync.Mutex
	duration time.Duration
	changed  chan struct{}
}

func newApplyDelay(d time.Duration) *applyDelay {
	return &applyDelay{duration: d, changed: make(chan struct{})}
}

func (a *applyDelay) set(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.duration = d
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *applyDelay) get() (time.Duration, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.duration, a.changed
}

// wait blocks until a record committed at the given time may be applied.
func (a *applyDelay) wait(ctx context.Context, committed time.Time) error {
	for {
		d, changed := a.get()
		left := time.Until(committed.Add(d))
		if left <= 0 || d == 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
