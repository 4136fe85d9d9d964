package proxy

import (
	"context"
	"time"
)

// requestContext is a context with a deadline that starts its timer only when Done is
// called. Most requests never wait, and a timer for each would cost more than the rest
// of their admission.
type requestContext struct {
	context.Context
	deadline time.Time
	// timer is the context that Done has created, nil before.
	timer  context.Context
	cancel context.CancelFunc
}

// newRequestContext returns a context that ends with parent or after limit. It must be
// used by one goroutine only; stop releases its timer.
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
