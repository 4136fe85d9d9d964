package node

import (
	"context"
	"sync"
	"time"
)

// lag is how long after its commit a record is applied.
type lag struct {
	mu      sync.Mutex
	value   time.Duration
	changed chan struct{}
}

func newLag(d time.Duration) *lag {
	return &lag{value: d, changed: make(chan struct{})}
}

func (l *lag) set(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.value = d
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *lag) get() (time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value, l.changed
}

// wait returns once a record committed at the given time may be applied.
func (l *lag) wait(ctx context.Context, committed time.Time) error {
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
