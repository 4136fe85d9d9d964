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
	// transactionShare is the part of the grace period that open transactions have.
	transactionShare = 0.5
	// reserve is kept of the grace period to end the process.
	reserve = 1200 * time.Millisecond
	// drainPoll is how often sessions that became idle are looked for.
	drainPoll = 50 * time.Millisecond
)

// Shutdown serves on until the balancer knows, then ends sessions as they become idle,
// and returns when all have ended or the grace period is nearly over.
func (s *Server) Shutdown(ctx context.Context, l net.Listener, grace time.Duration) {
	started := time.Now()
	pause(ctx, min(balancerDelay, time.Duration(transactionShare*float64(grace))))
	_ = l.Close()
	end := started.Add(max(0, grace-reserve))
	for time.Now().Before(end) && s.CallerCount() > 0 {
		s.Drain()
		pause(ctx, drainPoll)
	}
	cut := s.CallerCount()
	s.CloseAll()
	s.opts.Log.WithFields(logrus.Fields{
		"event": "drained", "cut": cut, "took_ms": time.Since(started).Milliseconds(),
	}).Info("sessions ended")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
