package server

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// balancerDelay is the time until the balancer sends no new callers: two misses of
	// its question each second.
	balancerDelay = 2300 * time.Millisecond
	// transactionGraceFraction is the part of the grace period that open transactions have.
	transactionGraceFraction = 0.5
	// exitReserve is kept of the grace period to end the process.
	exitReserve = 1200 * time.Millisecond
	// drainPollInterval is how often sessions that became idle are looked for.
	drainPollInterval = 50 * time.Millisecond
)

// Shutdown serves on until the balancer knows, then ends sessions as they become idle,
// and returns when all have ended or the grace period is nearly over.
func (s *Server) Shutdown(ctx context.Context, l net.Listener, grace time.Duration) {
	started := time.Now()
	sleep(ctx, min(balancerDelay, time.Duration(transactionGraceFraction*float64(grace))))
	_ = l.Close()
	end := started.Add(max(0, grace-exitReserve))
	for time.Now().Before(end) && s.CallerCount() > 0 {
		s.Drain()
		sleep(ctx, drainPollInterval)
	}
	cut := s.CallerCount()
	s.CloseAll()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "drained", "cut": cut, "took_ms": time.Since(started).Milliseconds(),
	}).Info("sessions ended")
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
