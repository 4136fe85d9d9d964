package proxy

import (
	"context"
	"time"
)

// requestContext is a context with a deadline that starts its timer only when
// somebody waits. Most requests never do, and a timer for each costs more than the
// rest of their admission.
type requestContext struct {
	context.Context
	deadline time.Time
	timer    context.Context
	cancel   context.CancelFunc
}

// newRequestContext returns a context that belongs to one goroutine. It ends with
// parent or after limit; stop releases it.
func newRequestContext(parent context.Context, limit time.Duration) *requestContext {
	return &requestContext{Context: parent, deadline: time.Now().Add(limit)}
}

// Deadline implements context.Context.
func (c *requestContext) Deadline() (time.Time, bool) {
	return c.deadline, true
}

// Done implements context.Context.
func (c *requestContext) Done() <-chan struct{} {
	if c.timer == nil {
		c.timer, c.cancel = context.WithDeadline(c.Context, c.deadline)
	}
	return c.timer.Done()
}

// Err implements context.Context.
func (c *requestContext) Err() error {
	if c.timer != nil {
		return c.timer.Err()
	}
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !time.Now().Before(c.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

func (c *requestContext) stop() {
	if c.cancel != nil {
		c.cancel()
	}
}
