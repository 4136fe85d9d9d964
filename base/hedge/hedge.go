// Package hedge dials hosts that may become reachable at any moment, with several overlapping
// attempts.
package hedge

import (
	"context"
	"net"
	"time"
)

// Dialer starts another connection attempt at intervals while earlier ones are pending. When all
// hosts lose power and start one after the other, the first SYN to a host that is still down is
// lost, and the kernel retransmits it only after 1 s.
type Dialer struct {
	// Interval is the time between attempts; MaxAttempts bounds their number.
	Interval    time.Duration
	MaxAttempts int
	// Dial makes one attempt. The default is that of a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialResult is the result of one attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// DialContext returns the result of the attempt that ends first. An error ends the dial too, since
// a host that refuses a connection is reachable.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dial := d.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, d.MaxAttempts)
	ticker := time.NewTicker(d.Interval)
	defer ticker.Stop()
	started := 0
	start := func() {
		started++
		go func() {
			conn, err := dial(ctx, network, address)
			results <- dialResult{conn, err}
		}()
	}
	for start(); ; {
		select {
		case first := <-results:
			cancel()
			go closeRemaining(results, started-1)
			return first.conn, first.err
		case <-ticker.C:
			if started < d.MaxAttempts {
				start()
			}
		}
	}
}

// closeRemaining closes the connections of the n attempts that are still pending.
func closeRemaining(results <-chan dialResult, n int) {
	for range n {
		if late := <-results; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
