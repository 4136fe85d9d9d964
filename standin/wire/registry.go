package wire

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"sync"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// secretKeyBytes is the size of a cancel key in protocol 3.0.
const secretKeyBytes = 4

// Registry holds the connections that a cancel request can address, by process ID.
type Registry struct {
	mu            sync.Mutex
	lastProcessID uint32
	targets       map[uint32]*cancelTarget
}

// processIDBase is below the first process ID. It keeps process IDs apart from small
// numbers that a test could mistake for something else.
const processIDBase = 1000

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{lastProcessID: processIDBase, targets: map[uint32]*cancelTarget{}}
}

// cancelTarget is a connection that a cancel request can address. Its cancel function
// is set while a statement runs.
type cancelTarget struct {
	processID uint32
	secretKey []byte

	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

func (r *Registry) add() *cancelTarget {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastProcessID++
	c := &cancelTarget{processID: r.lastProcessID, secretKey: make([]byte, secretKeyBytes)}
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(c.secretKey)
	r.targets[c.processID] = c
	return c
}

func (r *Registry) remove(c *cancelTarget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, c.processID)
}

// Cancel cancels the statement that runs on the connection with this process ID, if
// the secret key matches.
func (r *Registry) Cancel(processID uint32, secretKey []byte) {
	r.mu.Lock()
	c, ok := r.targets[processID]
	r.mu.Unlock()
	if !ok || subtle.ConstantTimeCompare(c.secretKey, secretKey) != 1 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(sqlerr.New(sqlerr.QueryCanceled, "canceling statement due to user request"))
	}
}

// beginStatement returns a context that Cancel cancels, and a function to call when the
// statement ends.
func (c *cancelTarget) beginStatement(ctx context.Context) (context.Context, func()) {
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
