package server

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/stop"
)

// drainPollInterval is how often sessions that have become idle are ended.
const drainPollInterval = 50 * time.Millisecond

// Shutdown keeps serving until the load balancer has noticed, then ends sessions as they
// become idle. Statements that have no answer near the end of the grace period are given up,
// and their callers are told. Shutdown returns when all sessions have ended, at plan.ClosesAt at
// the latest.
func (s *Server) Shutdown(ctx context.Context, l net.Listener, plan stop.Plan) {
	s.opts.Log.WithFields(logrus.Fields{
		"event": "draining", "callers": s.CallerCount(), "grace_ms": (plan.EndsAt - plan.BeganAt).Milliseconds(),
	}).Info("stop has begun")
	s.opts.Engine.BeginStop(plan)
	sleep(ctx, plan.ServesUntil-clock.Now())
	_ = l.Close()
	s.drainUntil(ctx, plan.AnswersUntil)
	givenUp := s.CallerCount()
	s.endSessions()
	s.drainUntil(ctx, plan.ClosesAt)
	cut := s.CallerCount()
	cutRequests := s.recordCuts(plan.BeganAt)
	s.CloseAll()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "drained", "given_up": givenUp, "cut": cut, "cut_requests": cutRequests,
		"took_ms": (clock.Now() - plan.BeganAt).Milliseconds(),
	}).Info("sessions ended")
}

// drainUntil ends sessions as they may end, until none is left, the time is end or ctx ends.
func (s *Server) drainUntil(ctx context.Context, end time.Duration) {
	for ctx.Err() == nil && clock.Now() < end && s.CallerCount() > 0 {
		s.Drain()
		sleep(ctx, min(drainPollInterval, end-clock.Now()))
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
