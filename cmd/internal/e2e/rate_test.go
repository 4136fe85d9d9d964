package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	teamRate = 50
	// teamBurst is more than the rate allows during a change of leader, so that the test
	// detects a new leader that grants a second burst.
	teamBurst = 200
	// greedyWriters is the number of writers per proxy, which ask for far more than the rate.
	greedyWriters = 12
)

// startGreedyWriters starts writers that never pause between two writes.
func (h *history) startGreedyWriters(d *Deployment, proxies ...*Proxy) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, p := range proxies {
		for range greedyWriters {
			running.Go(func() {
				for pause(ctx, reconnectDelay) {
					conn, err := d.Connect(ctx, p)
					if err != nil {
						continue
					}
					for ctx.Err() == nil && !conn.IsClosed() {
						h.insert(ctx, conn, p.Name)
					}
					closeConn(conn)
				}
			})
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// execution holds the times at which a request was sent and at which a stand-in ran it. It
// was admitted in between.
type execution struct{ sent, ran time.Time }

// executionsOf returns the requests that any stand-in ran, successfully or not.
func executionsOf(d *Deployment, h *history) []execution {
	ranAt := map[int64]time.Time{}
	for _, s := range d.StandIns {
		for _, e := range d.Audit(s) {
			if id, ok := insertID(e); ok {
				ranAt[id] = e.At
			}
		}
	}
	var runs []execution
	for _, w := range h.recordedWrites() {
		if at, ok := ranAt[w.id]; ok {
			runs = append(runs, execution{w.started, at})
		}
	}
	return runs
}

// checkRate fails if more requests were admitted in any time window than rate and burst
// allow. A request was admitted after it was sent and before it ran, so all requests that
// were sent and ran within a window were admitted in it.
func checkRate(t *testing.T, runs []execution, rate, burst float64) {
	t.Helper()
	slices.SortFunc(runs, func(a, b execution) int { return a.sent.Compare(b.sent) })
	// maxUsage is the largest fraction of a window's allowance that was used.
	maxExcess, maxExcessWindow, maxUsage := 0.0, time.Duration(0), 0.0
	for i := range runs {
		ends := make([]time.Time, 0, len(runs)-i)
		for _, r := range runs[i:] {
			ends = append(ends, r.ran)
		}
		slices.SortFunc(ends, time.Time.Compare)
		for n, end := range ends {
			window := end.Sub(runs[i].sent)
			allowed := rate*window.Seconds() + burst
			maxUsage = max(maxUsage, float64(n+1)/allowed)
			if excess := float64(n+1) - allowed; excess > maxExcess {
				maxExcess, maxExcessWindow = excess, window
			}
		}
	}
	t.Logf("%d requests ran, at most %.3f of what a window allows", len(runs), maxUsage)
	if maxExcess > 0 {
		t.Errorf("%.1f requests above rate x window + burst in a window of %v", maxExcess, maxExcessWindow)
	}
}

// waitForMoreWrites waits until a proxy has acknowledged the given number of further writes.
func waitForMoreWrites(d *Deployment, h *history, p *Proxy, more int) {
	wanted := h.acknowledged(p.Name) + more
	d.WaitFor("admitted writes through "+p.Name, func() bool { return h.acknowledged(p.Name) >= wanted })
}

// Guards against a team that gets more than its rate and burst across the fleet: with all
// its load on one proxy, after the load has moved to the other, when the control leader is
// killed, and when a proxy is cut off while it holds a grant.
func TestRateHoldsOverTheFleet(t *testing.T) {
	d := Start(t, Options{StandIns: 1})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	d.Ctl("team", "set", Team, "--rate", fmt.Sprint(teamRate), "--burst", fmt.Sprint(teamBurst))
	waitForProxyRevision(d, d.Show().State.Revision)
	first, second := d.Proxies[0], d.Proxies[1]
	h := newHistory()

	stop := h.startGreedyWriters(d, first)
	waitForMoreWrites(d, h, first, teamBurst+teamRate)
	stop()
	stop = h.startGreedyWriters(d, second)
	waitForMoreWrites(d, h, second, 2*teamRate)
	stop()

	stop = h.startGreedyWriters(d, first, second)
	waitForMoreWrites(d, h, first, teamRate/2)
	leader := d.Leader()
	leader.Kill()
	waitForMoreWrites(d, h, first, 2*teamRate)
	leader.Start()

	for _, c := range d.Controls {
		d.Cut(first.Name, c.Name)
	}
	waitForMoreWrites(d, h, second, 3*teamRate)
	for _, c := range d.Controls {
		d.Heal(first.Name, c.Name)
	}
	waitForMoreWrites(d, h, first, teamRate)
	stop()

	checkRate(t, executionsOf(d, h), teamRate, teamBurst)
	checkAcknowledgedWrites(t, d, h)
}
