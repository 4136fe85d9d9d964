package proxy

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// answerReserve is how long before the end of a drain the remaining sessions are ended,
	// so that each caller still gets an answer of its own: lingerTimeout, in which a caller
	// reads it, and the time to write it.
	answerReserve = lingerTimeout + 500*time.Millisecond
	// maxReserveFraction bounds answerReserve to this fraction of a short drain.
	maxReserveFraction = 4
)

// drainWindow is the time in which a draining proxy lets transactions go on. Its end is
// before that of the drain.
type drainWindow struct {
	start, end time.Time
}

// newDrainWindow returns the window of a drain that starts now and may last until
// deadline.
func newDrainWindow(now, deadline time.Time) drainWindow {
	reserve := min(answerReserve, deadline.Sub(now)/maxReserveFraction)
	return drainWindow{start: now, end: deadline.Add(-max(reserve, 0))}
}

// mayBegin reports whether a request that may take the time demand can still be answered.
// In a short window requests begin during its first half, whatever they may take:
// otherwise no transaction could be finished.
func (w drainWindow) mayBegin(now time.Time, demand time.Duration) bool {
	left := w.end.Sub(now)
	return left > 0 && left >= min(demand, w.end.Sub(w.start)/2)
}

// checkTimeLeft returns an error if the proxy is draining and a request, which may take
// the time demand, cannot be answered any more.
func (s *Server) checkTimeLeft(demand time.Duration) *rescode.Error {
	window := s.window.Load()
	if window == nil || window.mayBegin(time.Now(), demand) {
		return nil
	}
	return rescode.New(rescode.ProxyDraining, "")
}

// Drain stops accepting callers, ends idle ones, and waits for running transactions.
// Shortly before ctx ends, it ends the remaining sessions, each with an answer that says
// what became of its request. When ctx ends, it closes the connections that are left.
func (s *Server) Drain(ctx context.Context) {
	s.stopAccepting()
	running := ctx
	if deadline, ok := ctx.Deadline(); ok {
		window := newDrainWindow(time.Now(), deadline)
		s.window.Store(&window)
		var cancel context.CancelFunc
		running, cancel = context.WithDeadline(ctx, window.end)
		defer cancel()
	}
	s.registry.drain()
	if s.awaitDrained(running) {
		return
	}
	s.endSessions()
	if s.awaitDrained(ctx) {
		return
	}
	s.registry.closeAll()
}

func (s *Server) stopAccepting() {
	s.listenerMu.Lock()
	defer s.listenerMu.Unlock()
	s.closed = true
	for _, listener := range s.listeners {
		// The only error is that it is closed already.
		_ = listener.Close()
	}
}

// awaitDrained reports whether all sessions have ended before ctx.
func (s *Server) awaitDrained(ctx context.Context) bool {
	select {
	case <-s.registry.drained:
		return true
	case <-ctx.Done():
		return false
	}
}

// endSessions interrupts whatever the sessions wait for. They must be ended before the
// upstream connections are closed, or they would run lost requests again.
func (s *Server) endSessions() {
	if n := s.registry.endAll(); n > 0 {
		s.opts.Log.WithField("callers", n).Warn("the drain timeout ends callers with unfinished work")
	}
	for _, p := range s.pools.list() {
		p.closeAll()
	}
}
