package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/fairq"
	"github.com/jayloom/jayloom/policy/share"
)

const (
	// demandWindow is how long the peak use of a pool counts as its demand.
	demandWindow = 5 * time.Second
	// dialBackoff is the pause before the next dial after one failed, so that not every
	// request dials an upstream that is at its connection limit.
	dialBackoff = 100 * time.Millisecond
)

// connOwner identifies the session that a connection is acquired for, and the team whose
// queue it waits in.
type connOwner struct {
	team    string
	session uint64
}

// pool holds the connections to one upstream. A connection is acquired for one
// transaction at a time.
type pool struct {
	set     *poolSet
	address string
	service string

	mu sync.Mutex
	// open counts connections that are open or being opened.
	open   int
	idle   []*upstreamConn
	busy   map[*upstreamConn]struct{}
	queue  *fairq.Queue[*waiter]
	pinned int
	// pinPermits counts the permits of statements that may pin their connection and have
	// not ended.
	pinPermits int
	// dialAfter is the earliest time of the next dial after a failed one, unless the
	// pool has no connection at all.
	dialAfter time.Duration
	// retired is set while the upstream gets no new work.
	retired bool
	// peak is the largest use since peakAt; reporting it keeps the demand from following
	// every short pause.
	peak   int
	peakAt time.Duration
}

// waiter is a queued request for a connection, or for the permission to open one.
type waiter struct {
	owner connOwner
	ready chan handover
}

// handover is the result of waiting: a connection, permission to open one if conn and
// err are nil, or an error.
type handover struct {
	conn *upstreamConn
	err  *rescode.Error
}

func newPool(set *poolSet, address, service string) *pool {
	return &pool{
		set:     set,
		address: address,
		service: service,
		busy:    map[*upstreamConn]struct{}{},
		queue:   fairq.New[*waiter](),
	}
}

// acquire returns a connection for owner. It waits in the fair queue until ctx ends.
func (p *pool) acquire(ctx context.Context, owner connOwner) (*upstreamConn, *rescode.Error) {
	w, got, err := p.tryAcquire(owner)
	if err != nil {
		return nil, err
	}
	if w != nil {
		metricQueued.Inc()
		p.set.reportIfUrgent()
		if got, err = p.waitReady(ctx, w); err != nil {
			return nil, err
		}
	}
	conn := got.conn
	if conn == nil {
		if conn, err = p.openConn(ctx); err != nil {
			return nil, err
		}
	}
	conn.unused = true
	conn.cancel.bind(owner.session)
	return conn, nil
}

// tryAcquire takes an idle connection or reserves one to open, or else queues a waiter.
func (p *pool) tryAcquire(owner connOwner) (*waiter, handover, *rescode.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return nil, handover{}, rescode.New(rescode.NoUpstream, "upstream %s is leaving", p.address)
	}
	if p.queue.Len() == 0 {
		if len(p.idle) > 0 {
			return nil, handover{conn: p.takeIdle(owner.session)}, nil
		}
		if p.reserveConn() {
			p.updatePeak()
			return nil, handover{}, nil
		}
	}
	if p.queue.TeamLen(owner.team) >= p.set.queuePerTeam {
		return nil, handover{}, rescode.New(rescode.QueueFull, "team %q, upstream %s", owner.team, p.address)
	}
	w := &waiter{owner: owner, ready: make(chan handover, 1)}
	p.queue.Push(owner.team, w)
	p.updatePeak()
	return w, handover{}, nil
}

// allowedConns returns the current share of connections, which can expire at any moment.
func (p *pool) allowedConns() int {
	return p.set.allowed(clock.Now(), p.address)
}

// reserveConn counts a connection as open if the share allows it. It counts the
// connection before it reads the share, so that no report can miss a connection that an
// earlier share allowed.
func (p *pool) reserveConn() bool {
	if p.open > 0 && clock.Now() < p.dialAfter {
		return false
	}
	p.open++
	if p.open <= p.allowedConns() {
		return true
	}
	p.open--
	return false
}

// takeIdle takes one of the idle connections. Its first send detects whether the
// upstream has closed it or left data behind.
func (p *pool) takeIdle(session uint64) *upstreamConn {
	i := p.bestIdle(session)
	conn := p.idle[i]
	p.idle = append(p.idle[:i], p.idle[i+1:]...)
	p.busy[conn] = struct{}{}
	p.updatePeak()
	return conn
}

// bestIdle returns the index of the connection that the session used last, which needs
// no reset; else of one that no session has used; else of the one that has been idle
// longest, whose last session is the least likely to come back for it.
func (p *pool) bestIdle(session uint64) int {
	best := 0
	for i, conn := range p.idle {
		if conn.lastSession == session {
			return i
		}
		if conn.lastSession == noSession {
			best = i
		}
	}
	return best
}

// waitReady waits until w is served or ctx ends.
func (p *pool) waitReady(ctx context.Context, w *waiter) (handover, *rescode.Error) {
	select {
	case got := <-w.ready:
		return got, got.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.removeWaiter(w)
	p.mu.Unlock()
	if !removed {
		// The waiter was served as ctx ended: pass on what it got.
		if got := <-w.ready; got.conn != nil {
			p.release(got.conn)
		} else if got.err == nil {
			p.cancelReservation()
		}
	}
	return handover{}, rescode.New(rescode.QueueTimeout, "upstream %s", p.address)
}

// removeWaiter takes a waiter out of the queue. It returns false if the waiter has been
// served.
func (p *pool) removeWaiter(w *waiter) bool {
	return p.queue.Remove(w.owner.team, func(other *waiter) bool { return other == w })
}

// openConn opens a connection that tryAcquire or serveWaiters has reserved.
func (p *pool) openConn(ctx context.Context) (*upstreamConn, *rescode.Error) {
	metricDials.Inc()
	conn, err := p.set.dialer.Dial(ctx, p.address, p.service)
	if err != nil {
		metricDialFailures.Inc()
		p.mu.Lock()
		p.dialAfter = clock.Now() + dialBackoff
		p.mu.Unlock()
		p.cancelReservation()
		return nil, rescode.New(rescode.UpstreamConnectFailed, "upstream %s", p.address)
	}
	conn.pool = p
	p.set.storeParameters(p.service, conn.parameters)
	p.mu.Lock()
	p.busy[conn] = struct{}{}
	p.mu.Unlock()
	return conn, nil
}

// cancelReservation returns a reservation whose connection was not opened.
func (p *pool) cancelReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.serveWaiters()
}

// release returns a connection to the pool. The connection is reused only if nothing of
// its last session can reach the next one.
func (p *pool) release(conn *upstreamConn) {
	conn.rd.Release()
	// A cancel request may still be on its way to the upstream.
	hit := conn.cancel.unbind()
	reusable := !hit && !conn.unsafe && conn.out.Pending() == 0 && conn.rd.Buffered() == 0
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpinLocked(conn)
	if _, ok := p.busy[conn]; !ok {
		return
	}
	delete(p.busy, conn)
	if !reusable || p.retired || p.open > p.allowedConns() {
		p.closeConn(conn)
	} else {
		p.idle = append(p.idle, conn)
	}
	p.serveWaiters()
}

// discard closes an acquired connection.
func (p *pool) discard(conn *upstreamConn) {
	conn.unsafe = true
	p.release(conn)
}

// closeConn closes a connection that is in neither list. The caller then calls
// serveWaiters.
func (p *pool) closeConn(conn *upstreamConn) {
	metricClosedConns.Inc()
	_ = conn.net.Close()
	p.open--
}

// serveWaiters hands idle connections and the unused part of the share to the waiters.
func (p *pool) serveWaiters() {
	for p.queue.Len() > 0 {
		got := handover{}
		switch {
		case p.retired:
			got.err = rescode.New(rescode.NoUpstream, "upstream %s is leaving", p.address)
		case len(p.idle) > 0:
			got.conn = p.takeIdle(0)
		case p.reserveConn():
		default:
			return
		}
		w, _ := p.queue.Pop()
		w.ready <- got
	}
}

// pin marks a connection as held by its session beyond a transaction. If permitted, it
// uses up a permit from acquirePinPermit.
func (p *pool) pin(conn *upstreamConn, permitted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if permitted {
		p.pinPermits--
	}
	if !conn.pinned {
		conn.pinned = true
		conn.tainted = true
		p.pinned++
		metricPins.Inc()
	}
}

// unpin undoes pin.
func (p *pool) unpin(conn *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unpinLocked(conn)
}

func (p *pool) unpinLocked(conn *upstreamConn) {
	if conn.pinned {
		conn.pinned = false
		p.pinned--
	}
}

// acquirePinPermit reserves a pin if the limit allows another one. The permit counts
// before the statement runs: the caller may have the answer, and send its next statement
// on another connection, before this one is marked.
func (p *pool) acquirePinPermit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.pinned + p.pinPermits
	if taken > 0 && (taken+1)*100 > p.allowedConns()*p.set.maxPinnedPercent {
		return false
	}
	p.pinPermits++
	return true
}

// releasePinPermit returns a permit that was not used.
func (p *pool) releasePinPermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinPermits--
}

// enforceLimits applies a change of the share or of the upstream's state. After a share
// has expired, connections in use are closed as well, because control grants them to
// other proxies soon after.
func (p *pool) enforceLimits(retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = retired
	allowed := p.allowedConns()
	for len(p.idle) > 0 && (p.open > allowed || retired) {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		p.closeConn(conn)
	}
	if allowed == 0 && !retired {
		p.closeBusy()
	}
	p.serveWaiters()
}

// closeBusy closes the network connections in use; their sessions see the upstream as
// lost.
func (p *pool) closeBusy() {
	for conn := range p.busy {
		_ = conn.net.Close()
	}
}

// closeAll closes all connections to an upstream that was replaced or removed.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeBusy()
	for len(p.idle) > 0 {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		p.closeConn(conn)
	}
	p.serveWaiters()
}

// closeUnlessReachable closes all connections unless the upstream answers a login from
// this proxy. An upstream that refuses the login, such as one at its connection limit,
// is alive.
func (p *pool) closeUnlessReachable() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.set.dialer.Dial(ctx, p.address, p.service)
	if err == nil {
		_ = conn.net.Close()
		metricReachable.Inc()
		return
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		metricReachable.Inc()
		return
	}
	p.closeAll()
}

func (p *pool) updatePeak() {
	p.peak = max(p.peak, len(p.busy)+p.queue.Len())
}

// demand returns the demand that is reported to the allocator of shares.
func (p *pool) demand(now time.Duration) share.PoolDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.open - len(p.idle) + p.queue.Len()
	p.peak = max(p.peak, used)
	wanted := p.peak
	if now-p.peakAt > demandWindow {
		p.peak, p.peakAt = used, now
	}
	return share.PoolDemand{Upstream: p.address, Open: p.open, Wanted: wanted}
}

// load returns the used part of the share, for the choice between replicas.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(len(p.busy)+p.queue.Len()) / float64(max(p.allowedConns(), 1))
}
