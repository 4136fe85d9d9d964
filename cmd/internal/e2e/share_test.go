package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
)

const (
	// shareLimit is the connection limit of the stand-in, shareReserve the part of it that
	// control reserves for itself.
	shareLimit   = 8
	shareReserve = 2
	// busyCallers is the number of callers per proxy, more than there are connections.
	busyCallers = 10
)

// startBusyCallers starts callers that run transactions which hold their connection for a
// while.
func startBusyCallers(d *Deployment, h *history, p *Proxy) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range busyCallers {
		running.Go(func() {
			for pause(ctx, reconnectDelay) {
				conn, err := d.Connect(ctx, p)
				if err != nil {
					continue
				}
				for ctx.Err() == nil && !conn.IsClosed() {
					id := h.next.Add(1)
					_, err := conn.Exec(ctx, fmt.Sprintf("BEGIN; INSERT INTO lot VALUES (%d, 'busy'); SELECT pg_sleep(0.02); COMMIT", id))
					h.record(write{id: id, proxy: p.Name, err: err})
				}
				closeConn(conn)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Guards against more connections to an upstream than its limit less the reserve while the
// share of a proxy that was cut off is lent to another, and after its return.
func TestSharesOfCutOffProxyAreLentWithinTheLimit(t *testing.T) {
	d := Start(t, Options{StandIns: 1, ConnectionLimit: shareLimit})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	h := newHistory()
	first, second, primary := d.Proxies[0], d.Proxies[1], d.StandIns[0]
	stopFirst, stopSecond := startBusyCallers(d, h, first), startBusyCallers(d, h, second)
	defer stopFirst()
	defer stopSecond()
	waitForWrites(d, h, first, second)
	for range 2 {
		for _, c := range d.Controls {
			d.Cut(second.Name, c.Name)
		}
		d.WaitFor("the share of the cut-off proxy to be lent to the other", func() bool {
			return d.OpenConnections(first.Name, primary.Name) == shareLimit-shareReserve
		})
		waitForWrites(d, h, first)
		for _, c := range d.Controls {
			d.Heal(second.Name, c.Name)
		}
		waitForWrites(d, h, second, first)
	}
	if maxConnections := d.MaxConnections(primary.Name); maxConnections > shareLimit-shareReserve {
		t.Errorf("%d connections of proxies to a server that allows them %d", maxConnections, shareLimit-shareReserve)
	}
}
