package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/engine"
)

// request is the statement of a caller that is being run or answered.
type request struct {
	id         string
	kind       engine.Kind
	receivedAt time.Duration
	// inTransaction is set for statements of open transactions.
	inTransaction bool
}

// currentRequest holds the request of one connection, if there is one.
type currentRequest struct {
	mu      sync.Mutex
	request request
	running bool
}

func (c *currentRequest) begin(st engine.Statement, inTransaction bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = request{id: st.ID, kind: st.Kind, receivedAt: clock.Now(), inTransaction: inTransaction}
	c.running = true
}

func (c *currentRequest) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The id is a part of the caller's message, which an idle session would keep whole with it.
	c.request = request{}
	c.running = false
}

// get returns the request and whether it is running.
func (c *currentRequest) get() (request, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request, c.running
}

// fields describes a request in the log of a stop that began at stoppedAt.
func (r request) fields(now, stoppedAt time.Duration, phase engine.Phase) logrus.Fields {
	return logrus.Fields{
		"id": engine.LoggedID(r.id), "statement": r.kind.String(), "phase": phase.String(),
		"in_transaction": r.inTransaction, "elapsed_ms": (now - r.receivedAt).Milliseconds(),
		// Negative if the request was received before the stop.
		"received_after_stop_ms": (r.receivedAt - stoppedAt).Milliseconds(),
	}
}
