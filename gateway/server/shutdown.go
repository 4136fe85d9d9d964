package server

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
)

const (
	// balancerDelay is the time until the load balancer sends no new callers to this node: it
	// checks every second and stops after two failed checks.
	balancerDelay = 2300 * time.Millisecond
	// transactionGraceFraction is the fraction of the grace period that is left for open
	// transactions.
	transactionGraceFraction = 0.5
	// exitReserve is the part of the grace period that is left to end the process.
	exitReserve = 1200 * time.Millisecond
	// drainPollInterval is how often sessions that have become idle are ended.
	drainPollInterval = 50 * time.Millisecond
)

// Shutdown keeps serving until the load balancer has noticed, then ends sessions as they
// become idle. It returns when all have ended, or when the grace period is nearly over.
func (s *Server) Shutdown(ctx context.Context, l net.Listener, grace time.Duration) {
	started := time.Now()
	stoppedAt := clock.Now()
	s.opts.Log.WithFields(logrus.Fields{"event": "draining", "callers": s.CallerCount(), "grace_ms": grace.Milliseconds()}).
		Info("stop has begun")
	sleep(ctx, min(balancerDelay, time.Duration(transactionGraceFraction*float64(grace))))
	_ = l.Close()
	end := started.Add(max(0, grace-exitReserve))
	for time.Now().Before(end) && s.CallerCount() > 0 {
		s.Drain()
		sleep(ctx, drainPollInterval)
	}
	cut := s.CallerCount()
	cutRequests := s.recordCuts(stoppedAt)
	s.CloseAll()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "drained", "cut": cut, "cut_requests": cutRequests, "took_ms": time.Since(started).Milliseconds(),
	}).Info("sessions ended")
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
