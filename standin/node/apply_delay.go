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

func (l *applyDelay) set(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duration = d
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *applyDelay) get() (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duration, l.changed
}

// wait blocks until a record committed at the given time may be applied.
func (l *applyDelay) wait(ctx context.Context, committed time.Time) error {
	for {
		d, changed := l.get()
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
