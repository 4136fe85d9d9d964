package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/admission"
)

// openingTick is how often the callers that wait for the node's configuration are looked at.
const openingTick = 5 * time.Millisecond

var (
	metricOpeningWaits  = metrics.NewCounter("jayloom_gateway_opening_waits_total")
	metricOpeningServed = metrics.NewCounter("jayloom_gateway_opening_served_total")
)

// opening holds the callers that wait for the configuration of a node that has just started.
type opening struct {
	engine *Engine

	mu      sync.Mutex
	callers *admission.Opening[*openingSession]
	// running is set while a goroutine serves the callers.
	running bool
}

// openingSession is a session that waits to begin.
type openingSession struct {
	database string
	// begin is closed when the session may begin.
	begin chan struct{}
}

func newOpening(e *Engine) *opening {
	return &opening{engine: e, callers: admission.NewOpening[*openingSession](clock.Now())}
}

// wait waits until a session may begin. It returns false if the session is not to wait, or no longer.
func (o *opening) wait(ctx context.Context, database string, bytes int) bool {
	session := &openingSession{database: database, begin: make(chan struct{})}
	caller := o.enter(bytes, session)
	if caller == nil {
		return false
	}
	timer := time.NewTimer(caller.WaitsUntil() - clock.Now())
	defer timer.Stop()
	select {
	case <-session.begin:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.callers.Leave(caller)
}

// enter adds a session to those that wait, or returns nil.
func (o *opening) enter(bytes int, session *openingSession) *admission.OpeningCaller[*openingSession] {
	o.mu.Lock()
	defer o.mu.Unlock()
	caller := o.callers.Wait(clock.Now(), bytes, session)
	if caller == nil {
		return nil
	}
	metricOpeningWaits.Inc()
	if !o.running {
		o.running = true
		go o.run()
	}
	return caller
}

// run lets sessions begin until none waits.
func (o *opening) run() {
	ticker := time.NewTicker(openingTick)
	defer ticker.Stop()
	for range ticker.C {
		if !o.serve() {
			return
		}
	}
}

// serve lets sessions begin whose turn it is. A stop ends the wait of all; they are then refused. It returns false when
// none waits any more.
func (o *opening) serve() bool {
	now := clock.Now()
	stopping := o.engine.refuseBeginning(now) != nil
	serving := o.engine.isServing(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	if serving && o.recordOpened() {
		// Callers that wait for a configuration show that the other nodes have restarted too.
		o.engine.expectScarcity(now + restartScarcity)
	}
	for stopping || serving {
		caller := o.next(now, stopping)
		if caller == nil {
			break
		}
		close(caller.Value.begin)
	}
	o.running = o.callers.Len() > 0
	return o.running
}

// next removes and returns the caller whose wait ends now, or nil. The caller holds mu.
func (o *opening) next(now time.Duration, stopping bool) *admission.OpeningCaller[*openingSession] {
	if stopping {
		return o.callers.First()
	}
	caller := o.callers.Next(now, rand.Float64(), o.engine.urgency)
	if caller != nil {
		metricOpeningServed.Inc()
	}
	return caller
}

// markOpened records that the node has served a caller.
func (o *opening) markOpened() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordOpened()
}

// recordOpened records that the node has its configuration, and reports whether that is new. The caller holds mu.
func (o *opening) recordOpened() bool {
	if !o.callers.Opened() {
		return false
	}
	o.engine.log.WithFields(logrus.Fields{"event": "opened", "waiting": o.callers.Len()}).
		Info("the node has its configuration; waiting sessions begin")
	return true
}

// expectScarcity makes all pools keep few idle connections until a time.
func (e *Engine) expectScarcity(until time.Duration) {
	for _, g := range e.allGroups() {
		for _, p := range g.currentPools() {
			p.expectScarcity(until)
		}
	}
}

// isServing reports whether the node has a configuration that it may use.
func (e *Engine) isServing(now time.Duration) bool {
	return e.opts.Control.View().Catalog != nil && e.opts.Control.MayServe(now)
}

// urgency returns how urgent the requests of a session are.
func (e *Engine) urgency(s *openingSession) admission.Urgency {
	view := e.opts.Control.View()
	if view.Catalog == nil {
		return admission.Urgency{}
	}
	route := view.Catalog.Route(s.database)
	if route == nil {
		return admission.Urgency{}
	}
	return admission.Urgency{Priority: route.Priority, Objective: route.LatencyObjective}
}
