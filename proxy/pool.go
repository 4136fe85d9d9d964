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
	// demandMemory is how long a pool keeps asking for connections that it used.
	demandMemory = 5 * time.Second
	// dialPause keeps a pool from asking a full server again for each request.
	dialPause = 100 * time.Millisecond
)

// borrower is who asks for a connection.
type borrower struct {
	team    string
	session uint64
}

// pool lends the connections to one upstream, one borrower per transaction.
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
	// pinPermits counts permits for pins whose statements have not ended.
	pinPermits int
	// dialAfter is when another connection may be opened after one was refused, as
	// long as the pool has others to wait for.
	dialAfter time.Duration
	// retired says that the upstream gets no new work.
	retired bool
	// peak is the largest use since peakAt, and keeps the demand from following
	// every short pause.
	peak   int
	peakAt time.Duration
}

// waiter waits for a connection, or for the permission to open one.
type waiter struct {
	borrower borrower
	ready    chan handover
}

// handover is what a waiter gets: a connection, or the permission to open one.
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

// acquire lends a connection, waiting in the fair queue until ctx ends.
func (p *pool) acquire(ctx context.Context, b borrower) (*upstreamConn, *rescode.Error) {
	w, got, err := p.start(b)
	if err != nil {
		return nil, err
	}
	if w != nil {
		metricQueued.Inc()
		p.set.demandGrew()
		if got, err = p.await(ctx, w); err != nil {
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
	conn.cancel.bind(b.session)
	return conn, nil
}

// start takes an idle connection or the permission to open one, or queues.
func (p *pool) start(b borrower) (*waiter, handover, *rescode.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return nil, handover{}, rescode.New(rescode.NoUpstream, "upstream %s is leaving", p.address)
	}
	if p.queue.Len() == 0 {
		if len(p.idle) > 0 {
			return nil, handover{conn: p.takeIdle(b.session)}, nil
		}
		if p.permit() {
			p.notePeak()
			return nil, handover{}, nil
		}
	}
	if p.queue.TeamLen(b.team) >= p.set.queuePerTeam {
		return nil, handover{}, rescode.New(rescode.QueueFull, "team %q, upstream %s", b.team, p.address)
	}
	w := &waiter{borrower: b, ready: make(chan handover, 1)}
	p.queue.Push(b.team, w)
	p.notePeak()
	return w, handover{}, nil
}

// allowed is the share as it is now; it can lapse at any moment.
func (p *pool) allowed() int {
	return p.set.allowed(clock.Now(), p.address)
}

// permit counts a connection as open if the share allows it. It is counted before
// the share is read, so that no report can miss a connection that an earlier share
// allowed.
func (p *pool) permit() bool {
	if p.open > 0 && clock.Now() < p.dialAfter {
		return false
	}
	p.open++
	if p.open <= p.allowed() {
		return true
	}
	p.open--
	return false
}

// takeIdle takes one of the idle connections. Whether the upstream has closed it or
// left data behind is found by its first send.
func (p *pool) takeIdle(session uint64) *upstreamConn {
	at := p.bestIdle(session)
	conn := p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	p.busy[conn] = struct{}{}
	p.notePeak()
	return conn
}

// bestIdle prefers the connection that the session used last, which needs no reset,
// then one that nobody has used, then the one that was idle for longest: its last
// session is the least likely to come back for it.
func (p *pool) bestIdle(session uint64) int {
	best := 0
	for i, conn := range p.idle {
		if conn.lastSession == session {
			return i
		}
		if conn.lastSession == 0 {
			best = i
		}
	}
	return best
}

func (p *pool) await(ctx context.Context, w *waiter) (handover, *rescode.Error) {
	select {
	case got := <-w.ready:
		return got, got.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	left := p.abandon(w)
	p.mu.Unlock()
	if !left {
		// It was handed over at the same moment and goes to the next.
		if got := <-w.ready; got.conn != nil {
			p.release(got.conn)
		} else if got.err == nil {
			p.permitUnused()
		}
	}
	return handover{}, rescode.New(rescode.QueueTimeout, "upstream %s", p.address)
}

// abandon takes a waiter out of the queue, and reports false when it is served.
func (p *pool) abandon(w *waiter) bool {
	return p.queue.Remove(w.borrower.team, func(other *waiter) bool { return other == w })
}

// openConn opens a connection under a permission that start or rebalance gave.
func (p *pool) openConn(ctx context.Context) (*upstreamConn, *rescode.Error) {
	metricDials.Inc()
	conn, err := p.set.dialer.Dial(ctx, p.address, p.service)
	if err != nil {
		metricDialFailures.Inc()
		p.mu.Lock()
		p.dialAfter = clock.Now() + dialPause
		p.mu.Unlock()
		p.permitUnused()
		return nil, rescode.New(rescode.UpstreamConnectFailed, "upstream %s", p.address)
	}
	conn.pool = p
	p.set.learnParameters(p.service, conn.parameters)
	p.mu.Lock()
	p.busy[conn] = struct{}{}
	p.mu.Unlock()
	return conn, nil
}

func (p *pool) permitUnused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.serveWaiting()
}

// release takes a connection back. It is lent again only if nothing of its last
// borrower can reach the next one.
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
	if !reusable || p.retired || p.open > p.allowed() {
		p.drop(conn)
	} else {
		p.idle = append(p.idle, conn)
	}
	p.serveWaiting()
}

// discard closes a lent connection.
func (p *pool) discard(conn *upstreamConn) {
	conn.unsafe = true
	p.release(conn)
}

// drop closes a connection that is in neither list. The caller serves who waits.
func (p *pool) drop(conn *upstreamConn) {
	metricClosedConns.Inc()
	_ = conn.net.Close()
	p.open--
}

// serveWaiting hands idle connections and free shares to who waits.
func (p *pool) serveWaiting() {
	for p.queue.Len() > 0 {
		got := handover{}
		switch {
		case p.retired:
			got.err = rescode.New(rescode.NoUpstream, "upstream %s is leaving", p.address)
		case len(p.idle) > 0:
			got.conn = p.takeIdle(0)
		case p.permit():
		default:
			return
		}
		w, _ := p.queue.Pop()
		w.ready <- got
	}
}

// pin marks a connection as kept by its caller beyond a transaction. It uses up the
// caller's permit if there is one.
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

// permitPin reserves a pin if another one is allowed. The reservation counts from
// before the statement runs, because its answer reaches the caller, who may send the
// next one elsewhere, before the connection is marked.
func (p *pool) permitPin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.pinned + p.pinPermits
	if taken > 0 && (taken+1)*100 > p.allowed()*p.set.maxPinnedPercent {
		return false
	}
	p.pinPermits++
	return true
}

// returnPinPermit gives back a permit that was not used.
func (p *pool) returnPinPermit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pinPermits--
}

// adjust follows a change of the share or of the upstream's state. Connections above
// a share that has lapsed are closed even if they are lent, because control lends
// them to others soon after.
func (p *pool) adjust(retired bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = retired
	allowed := p.allowed()
	for len(p.idle) > 0 && (p.open > allowed || retired) {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(conn)
	}
	if allowed == 0 && !retired {
		p.cutBusy()
	}
	p.serveWaiting()
}

// cutBusy closes the network connections that are lent; their borrowers see it as
// the loss of the upstream.
func (p *pool) cutBusy() {
	for conn := range p.busy {
		_ = conn.net.Close()
	}
}

// cut closes all connections, for an upstream that was replaced or removed.
func (p *pool) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutBusy()
	for len(p.idle) > 0 {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(conn)
	}
	p.serveWaiting()
}

// cutUnlessReachable closes all connections unless the upstream answers a login from
// here. One that refuses the login, as when it has its limit of connections, is alive.
func (p *pool) cutUnlessReachable() {
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
	p.cut()
}

func (p *pool) notePeak() {
	p.peak = max(p.peak, len(p.busy)+p.queue.Len())
}

// demand returns what the share owner is told.
func (p *pool) demand(now time.Duration) share.PoolDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.open - len(p.idle) + p.queue.Len()
	p.peak = max(p.peak, used)
	wanted := p.peak
	if now-p.peakAt > demandMemory {
		p.peak, p.peakAt = used, now
	}
	return share.PoolDemand{Upstream: p.address, Open: p.open, Wanted: wanted}
}

// load is the use of the share, to choose between replicas.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(len(p.busy)+p.queue.Len()) / float64(max(p.allowed(), 1))
}
