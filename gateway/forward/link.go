package forward

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
)

// link is the connection to one node.
type link struct {
	address string
	options Options
	log     *logrus.Entry
	// receivedAt is when bytes last arrived.
	receivedAt atomic.Int64
	// closing ends the probes of a silent node.
	closing context.Context
	cancel  context.CancelFunc

	mu sync.Mutex
	// conn carries new units. It is replaced when it goes silent: an open connection may stay silent for good.
	conn *grpc.ClientConn
	// units counts those that are open.
	units int
	// waiting holds the units that wait for an answer; waitingSince is when the first of them began to.
	waiting      map[*unitConn]bool
	waitingSince time.Duration
	// silent is set while the node does not answer, pinging while it is asked whether it runs.
	silent, pinging bool
	// refusedAt holds when the node last refused a unit, by upstream.
	refusedAt map[string]time.Duration
}

func newLink(address string, o Options) (*link, error) {
	l := &link{address: address, options: o, log: o.Log, waiting: map[*unitConn]bool{}, refusedAt: map[string]time.Duration{}}
	l.closing, l.cancel = context.WithCancel(context.Background())
	conn, err := l.newConn()
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return l, nil
}

func (l *link) newConn() (*grpc.ClientConn, error) {
	dialer := grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := l.options.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return receivingConn{conn, &l.receivedAt}, nil
	})
	// A statement must not be sent twice by gRPC.
	options := append(slices.Clone(l.options.DialOptions), dialer, grpc.WithDisableRetry(), grpc.WithDisableServiceConfig())
	conn, err := grpc.NewClient("passthrough:///"+l.address, options...)
	return conn, errors.Wrapf(err, "create link to node %s", l.address)
}

// currentConn returns the connection for new units.
func (l *link) currentConn() *grpc.ClientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// replaceConn replaces a silent connection. The old one stays open for the answers that may still come on it, but no
// longer than any statement waits. The caller holds mu.
func (l *link) replaceConn() {
	next, err := l.newConn()
	if err != nil {
		// The options are those of the silent connection.
		return
	}
	old := l.conn
	l.conn = next
	time.AfterFunc(silentConnRetention, func() { _ = old.Close() })
}

// receivingConn records when bytes arrive on a network connection.
type receivingConn struct {
	net.Conn
	receivedAt *atomic.Int64
}

// Read implements net.Conn.
func (c receivingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.receivedAt.Store(int64(clock.Now()))
	}
	return n, err
}

func (l *link) client() controlpb.ForwardClient {
	return controlpb.NewForwardClient(l.currentConn())
}

func (l *link) close() {
	l.cancel()
	_ = l.currentConn().Close()
}

// unusable returns why no unit for an upstream can be sent now, or nothing. A caller waits at most connectWait for a
// new link; the link counts as silent after that, so that no caller waits for it twice.
func (l *link) unusable(ctx context.Context, now time.Duration, upstream string) fallbackReason {
	l.mu.Lock()
	refusedAt, refused := l.refusedAt[upstream]
	l.mu.Unlock()
	switch {
	case l.isSilent():
		return fallbackAvoided
	case refused && now-refusedAt < refusalPeriod:
		return fallbackRefusedNow
	case l.awaitReady(ctx):
		return ""
	}
	l.markSilent("the link could not be opened")
	return fallbackNoLink
}

// awaitReady waits until the link is open, but no longer than connectWait.
func (l *link) awaitReady(ctx context.Context) bool {
	conn := l.currentConn()
	state := conn.GetState()
	if state == connectivity.Ready {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, connectWait)
	defer cancel()
	for state != connectivity.Ready {
		if state == connectivity.Idle {
			conn.Connect()
		}
		if state == connectivity.TransientFailure || !conn.WaitForStateChange(ctx, state) {
			return false
		}
		state = conn.GetState()
	}
	return true
}

// refuse records that the node refused a unit for an upstream.
func (l *link) refuse(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedAt[upstream] = clock.Now()
}

// startWait records that a unit waits for an answer.
func (l *link) startWait(c *unitConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.waitingSince = clock.Now()
	}
	l.waiting[c] = true
}

// endWait records that a unit does not wait any more.
func (l *link) endWait(c *unitConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, c)
}

// addUnit counts a unit that is opened.
func (l *link) addUnit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.units++
}

// removeUnit counts a unit that has ended.
func (l *link) removeUnit(c *unitConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.units--
	delete(l.waiting, c)
}

// isSilent reports whether the node does not answer.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// isIdle reports whether no unit is open.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.units == 0
}

// watch asks the node whether it runs if units have waited for a while and no byte has come.
func (l *link) watch(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heardAt := max(l.waitingSince, time.Duration(l.receivedAt.Load()))
	if len(l.waiting) == 0 || l.pinging || l.silent || now-heardAt < silenceTimeout {
		return
	}
	l.pinging = true
	go l.ping()
}

// ping marks the link as silent if the node does not answer and no byte arrives either.
func (l *link) ping() {
	startedAt := clock.Now()
	err := l.pingOnce()
	l.mu.Lock()
	l.pinging = false
	l.mu.Unlock()
	if err != nil && time.Duration(l.receivedAt.Load()) < startedAt {
		l.markSilent(err.Error())
	}
}

func (l *link) pingOnce() error {
	ctx, cancel := context.WithTimeout(l.closing, pingTimeout)
	defer cancel()
	_, err := l.client().Ping(ctx, &controlpb.PingRequest{}, grpc.WaitForReady(true))
	return err
}

// markSilent keeps new units from the node until it answers, and ends the waits of units that may run elsewhere.
func (l *link) markSilent(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent || l.closing.Err() != nil {
		return
	}
	l.silent = true
	metricSilentLinks.Inc()
	l.log.WithFields(logrus.Fields{"event": "holder_silent", "address": l.address, "cause": cause, "waiting": len(l.waiting)}).
		Info("node that holds connections does not answer; using own connections")
	for c := range l.waiting {
		c.abandon()
	}
	l.replaceConn()
	go l.probe()
}

// probe ends the silence of the link when the node answers.
func (l *link) probe() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for l.pingOnce() != nil {
		select {
		case <-l.closing.Done():
			return
		case <-ticker.C:
		}
	}
	l.mu.Lock()
	l.silent = false
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"event": "holder_answers", "address": l.address}).Info("node that holds connections answers again")
}
