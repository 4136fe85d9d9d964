package e2e

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/standin/relay"
)

// minWrites is the number of acknowledgements that show that a proxy serves writes.
const minWrites = 30

// waitForWrites waits until each proxy has acknowledged minWrites further writes.
func waitForWrites(d *Deployment, h *history, proxies ...*Proxy) {
	for _, p := range proxies {
		wanted := h.acknowledged(p.Name) + minWrites
		d.WaitFor("writes through "+p.Name, func() bool { return h.acknowledged(p.Name) >= wanted })
	}
}

// heldTransactions is the number of transactions that a test keeps open during a promotion.
const heldTransactions = 5

// openTransactions opens transactions with one write each and returns a function that
// commits them and fails for each commit that is acknowledged.
func openTransactions(t *testing.T, d *Deployment, h *history, p *Proxy) (commit func()) {
	t.Helper()
	conns := make([]*pgx.Conn, heldTransactions)
	ids := make([]int64, heldTransactions)
	for i := range conns {
		conns[i] = connect(t, d, p)
		ids[i] = h.beginInsert(t, conns[i], p.Name)
	}
	return func() {
		t.Helper()
		for i, conn := range conns {
			if w := h.commit(t.Context(), conn, p.Name, ids[i]); w.err == nil {
				t.Errorf("%s acknowledged transaction %d of a replaced primary", p.Name, w.id)
			}
		}
	}
}

// Guards against acknowledged writes on a primary that is cut off from control and from its
// replicas and that one proxy still reaches: first a proxy that control reaches, then a
// proxy that is cut off from control as well. Transactions that were open before the cut
// are committed after the promotion, because a proxy that is cut off from control has few
// tokens for new ones.
func TestCutPrimaryAcknowledgesNothingAfterReplacement(t *testing.T) {
	d := Start(t, Options{SelectGroups: true})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	h := newHistory()
	stop := h.startWriters(d, 4, d.Proxies[0])
	stopCutOff := h.startWriters(d, 4, d.Proxies[1])
	waitForWrites(d, h, d.Proxies...)

	first := d.Primary()
	term := d.Group().Term
	commitOld := openTransactions(t, d, h, d.Proxies[0])
	d.Isolate(first.Name, d.Proxies[0].Name)
	second := d.WaitForTerm(term + 1)
	commitOld()
	waitForWrites(d, h, d.Proxies...)
	began := []time.Time{termStartTime(t, d, term+1)}

	// The second proxy keeps its link with the primary and is cut off from control.
	cutOff := d.Proxies[1]
	stopCutOff()
	commitOld = openTransactions(t, d, h, cutOff)
	for _, c := range d.Controls {
		d.Cut(cutOff.Name, c.Name)
	}
	d.Isolate(second.Name, cutOff.Name)
	d.WaitForTerm(term + 2)
	commitOld()
	waitForWrites(d, h, d.Proxies[0])
	began = append(began, termStartTime(t, d, term+2))
	for _, c := range d.Controls {
		d.Heal(cutOff.Name, c.Name)
	}
	stopCutOff = h.startWriters(d, 4, cutOff)
	waitForWrites(d, h, cutOff)
	stopCutOff()
	stop()

	checkNoAcknowledgementAfter(t, d, h, first, began[0])
	checkNoAcknowledgementAfter(t, d, h, second, began[1])
	checkAcknowledgedWrites(t, d, h)
}

// freezeBeforeAnswer freezes a proxy after the primary has committed a write and before the
// proxy has read the answer. The returned channel delivers the outcome of the write.
func freezeBeforeAnswer(t *testing.T, d *Deployment, h *history, p *Proxy, primary *StandIn) <-chan write {
	t.Helper()
	conn := connect(t, d, p)
	// An open transaction keeps its upstream connection: a new one could not be established
	// while the answers of the primary are held back.
	id := h.beginInsert(t, conn, p.Name)
	d.CutDirection(p.Name, primary.Name, relay.Down)
	ended := make(chan write, 1)
	go func() { ended <- h.commit(t.Context(), conn, p.Name, id) }()
	d.WaitFor("the commit of the last write", func() bool { return committedOn(d, primary)[id] == 1 })
	p.Freeze()
	// The answer now waits in the proxy's socket.
	d.Heal(p.Name, primary.Name)
	return ended
}

// checkLateAnswer fails if a proxy passed on the answer that arrived while it was frozen as
// an acknowledgement, or refused the write as not run. AnswerLost is allowed: the proxy's
// connection share has expired as well, and if its timer runs first, the pool closes the
// connection before the answer is read.
func checkLateAnswer(t *testing.T, w write) {
	t.Helper()
	switch code := rescode.Code(resultCode(w.err)); code {
	case rescode.WriteWithoutLease, rescode.PrimaryReplaced, rescode.AnswerLost:
	default:
		t.Errorf("write %d on the replaced primary ended with code %d, error %v", w.id, code, w.err)
	}
}

// Guards against acknowledgements by a proxy that was stopped for longer than its lease,
// with the answer of a committed write waiting in its socket, and that continues after
// another server was promoted. Runs twice in a row.
func TestFrozenProxyAcknowledgesNothingAfterReplacement(t *testing.T) {
	d := Start(t, Options{})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	h := newHistory()
	frozen, other := d.Proxies[0], d.Proxies[1]
	for range 2 {
		primary, term := d.Primary(), d.Group().Term
		ended := freezeBeforeAnswer(t, d, h, frozen, primary)
		stop := h.startWriters(d, 2, other)
		primary.Kill()
		d.WaitForTerm(term + 1)
		waitForWrites(d, h, other)
		frozen.Continue()
		checkLateAnswer(t, <-ended)
		stop()
		checkNoAcknowledgementAfter(t, d, h, primary, termStartTime(t, d, term+1))
		d.WaitFor("writes through the proxy that was frozen", func() bool {
			conn := connect(t, d, frozen)
			return h.insert(t.Context(), conn, frozen.Name).err == nil
		})
	}
	checkAcknowledgedWrites(t, d, h)
}

// Guards against acknowledgements when both faults occur together: the primary is cut off
// from control and its replicas, and the one proxy that reaches it is stopped and continues
// after the promotion, with callers that keep writing. Runs twice in a row.
func TestFrozenProxyOfCutPrimaryAcknowledgesNothing(t *testing.T) {
	d := Start(t, Options{})
	exec(t, connect(t, d, d.Proxies[0]), createTable)
	h := newHistory()
	stop := h.startWriters(d, 4, d.Proxies...)
	waitForWrites(d, h, d.Proxies...)
	for i := range 2 {
		frozen, other := d.Proxies[i], d.Proxies[1-i]
		primary, term := d.Primary(), d.Group().Term
		ended := freezeBeforeAnswer(t, d, h, frozen, primary)
		d.Isolate(primary.Name, frozen.Name)
		d.WaitForTerm(term + 1)
		waitForWrites(d, h, other)
		frozen.Continue()
		checkLateAnswer(t, <-ended)
		waitForWrites(d, h, frozen)
		checkNoAcknowledgementAfter(t, d, h, primary, termStartTime(t, d, term+1))
	}
	stop()
	checkAcknowledgedWrites(t, d, h)
}
