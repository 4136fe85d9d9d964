// Package hedge connects to hosts that may come back at any moment.
package hedge

import (
	"context"
	"net"
	"time"
)

// Dialer starts another attempt to connect while the earlier ones have no answer. Load
// pattern: all hosts lose power and start one after the other. The first packet to a host that
// is still dark is lost, and the kernel repeats it after a second only.
type Dialer struct {
	// Interval is the time between two attempts, Most how many are made.
	Interval    time.Duration
	MaxAttempts int
	// Dial makes one attempt; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// attempt is the outcome of one attempt.
type attempt struct {
	conn net.Conn
	err  error
}

// DialContext returns the first connection, or the first error: a host that refuses is there.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(ctx)
	outcomes := make(chan attempt, d.MaxAttempts)
	ticker := time.NewTicker(d.Interval)
	defer ticker.Stop()
	started := 0
	start := func() {
		started++
		go func() {
			conn, err := dial(ctx, network, address)
			outcomes <- attempt{conn, err}
		}()
	}
	for start(); ; {
		select {
		case first := <-outcomes:
			cancel()
			go closeRest(outcomes, started-1)
			return first.conn, first.err
		case <-ticker.C:
			if started < d.MaxAttempts {
				start()
			}
		}
	}
}

// closeRest closes what other attempts still bring.
func closeRest(outcomes <-chan attempt, n int) {
	for range n {
		if late := <-outcomes; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
