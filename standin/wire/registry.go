package wire

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"sync"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// secretBytes is the size of a cancel key in protocol 3.0.
const secretBytes = 4

// Registry holds the sessions that a cancel request can name.
type Registry struct {
	mu       sync.Mutex
	last     uint32
	sessions map[uint32]*cancelable
}

// firstProcess keeps process ids of the stand-in apart from small numbers that a
// test may mistake for something else.
const firstProcess = 1000

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{last: firstProcess, sessions: map[uint32]*cancelable{}}
}

// cancelable is one session; cancel is set while a statement runs.
type cancelable struct {
	process uint32
	secret  []byte

	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

func (r *Registry) add() *cancelable {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	c := &cancelable{process: r.last, secret: make([]byte, secretBytes)}
	// rand.Read never fails; it ends the process if there is no randomness.
	_, _ = rand.Read(c.secret)
	r.sessions[c.process] = c
	return c
}

func (r *Registry) remove(c *cancelable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, c.process)
}

// Cancel stops the running statement of a session, if there is one.
func (r *Registry) Cancel(process uint32, secret []byte) {
	r.mu.Lock()
	c, ok := r.sessions[process]
	r.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(sqlerr.New(sqlerr.QueryCanceled, "canceling statement due to user request"))
	}
}

// start returns the context of a statement and a function to call at its end.
func (c *cancelable) start(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
		cancel(nil)
	}
}
