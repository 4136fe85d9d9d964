// Package proxy serves callers over the PostgreSQL protocol and multiplexes them onto
// pooled upstream connections.
package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/proxy/admission"
	"github.com/jayloom/jayloom/proxy/view"
)

// Canceller forwards a cancel request to the proxy that issued its key.
type Canceller interface {
	Cancel(ctx context.Context, address string, processID uint32, secret []byte) error
}

// Options configure a Server.
type Options struct {
	Settings settings.Proxy
	Store    *view.Store
	Tokens   admission.TokenHolder
	Shares   ShareHolder
	// Dialer opens connections to upstreams; nil selects one that logs in with the
	// account of the settings.
	Dialer Dialer
	// TLS is offered to callers unless it is nil.
	TLS *tls.Config
	// Peers forwards cancel requests; nil drops requests whose key another
	// proxy issued.
	Peers Canceller
	Log   *logrus.Entry
}

// Server accepts callers and runs their requests on upstreams.
type Server struct {
	opts         Options
	settings     settings.Proxy
	view         view.View
	admission    *admission.Queue
	pools        *poolSet
	registry     *registry
	retries      *retryBudget
	groups       *activeGroups
	metrics      *metrics.Set
	urgentReport atomic.Pointer[func()]

	unauthenticated *unauthenticatedConns

	// queriesMu guards barriers and confirmers.
	queriesMu  sync.Mutex
	barriers   map[string]*barrier
	confirmers map[string]*replayConfirmer

	lags *lagTracker

	listenerMu sync.Mutex
	listeners  []net.Listener
	closed     bool
	stop       chan struct{}
	// window is set once the proxy drains with a deadline.
	window atomic.Pointer[drainWindow]
}

// shareCheckInterval is how often pools are checked against shares that have expired.
const shareCheckInterval = 100 * time.Millisecond

// New returns a server that applies each snapshot published by the store.
func New(opts Options) *Server {
	s := &Server{
		opts:       opts,
		settings:   opts.Settings,
		view:       opts.Store,
		registry:   newRegistry(),
		retries:    newRetryBudget(int(opts.Settings.RetryPercent)),
		metrics:    metrics.NewSet(),
		barriers:   map[string]*barrier{},
		confirmers: map[string]*replayConfirmer{},
		lags:       newLagTracker(),
		stop:       make(chan struct{}),

		unauthenticated: newUnauthenticatedConns(int(opts.Settings.MaxUnauthenticated)),
	}
	s.groups = &activeGroups{reportNow: s.requestReport}
	s.admission = admission.New(opts.Tokens, s.requestReport)
	s.pools = &poolSet{
		dialer:           opts.Dialer,
		queuePerTeam:     int(opts.Settings.QueuePerTeam),
		maxPinnedPercent: int(opts.Settings.MaxPinnedPercent),
		reportNow:        s.requestReport,
		pools:            map[string]*pool{},
		holder:           opts.Shares,
		parameters:       map[string]map[string]string{},
	}
	if s.pools.dialer == nil {
		s.pools.dialer = accountDialer{account: opts.Settings.Upstream}
	}
	s.pools.registerMetrics(s.metrics)
	s.metrics.NewGauge("jayloom_proxy_callers", func() float64 { return float64(s.registry.count()) })
	metrics.RegisterSet(s.metrics)
	opts.Store.OnPublish(s.pools.handleSnapshot)
	opts.Store.OnPublish(s.registry.handleSnapshot)
	go s.enforceShares()
	return s
}

// TokenReporter returns the queue through which the control client reports token
// demand and applies token grants.
func (s *Server) TokenReporter() *admission.Queue { return s.admission }

// GroupReporter returns the record of the groups in use, which the control client
// reports.
func (s *Server) GroupReporter() *activeGroups { return s.groups }

// ShareReporter returns the pools, through which the control client reports connection
// demand and applies shares.
func (s *Server) ShareReporter() *poolSet { return s.pools }

// OnUrgentReport sets the function that requests a report to control before the next
// regular one.
func (s *Server) OnUrgentReport(report func()) {
	s.urgentReport.Store(&report)
}

func (s *Server) requestReport() {
	if report := s.urgentReport.Load(); report != nil {
		(*report)()
	}
}

func (s *Server) enforceShares() {
	ticker := time.NewTicker(shareCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.pools.enforceAll()
		case <-s.stop:
			return
		}
	}
}

// Serve accepts caller connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.listenerMu.Lock()
	closed := s.closed
	s.listeners = append(s.listeners, listener)
	s.listenerMu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isTemporary(err) {
			// Without descriptors the callers that are connected are still served.
			s.opts.Log.WithError(err).Warn("accept failed")
			time.Sleep(acceptBackoff)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept callers")
		}
		go s.serveConn(conn)
	}
}

// acceptBackoff is the pause after a failure to accept a connection.
const acceptBackoff = 50 * time.Millisecond

// isTemporary reports whether a failure to accept a connection says nothing about the next one.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// serveConn authenticates one network connection and serves it until it ends.
func (s *Server) serveConn(conn net.Conn) {
	defer guard.Recover(s.opts.Log, "connection of a caller")
	defer func() { _ = conn.Close() }()
	authenticated := s.authenticate(conn)
	if authenticated == nil {
		return
	}
	metricCallers.Inc()
	authenticated.run()
}

// Close ends all callers and closes all upstream connections without waiting.
func (s *Server) Close() {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	s.Drain(expired)
	close(s.stop)
	for _, p := range s.pools.list() {
		p.closeAll()
	}
	metrics.UnregisterSet(s.metrics, true)
}

func (s *Server) barrierOf(group string) *barrier {
	s.queriesMu.Lock()
	defer s.queriesMu.Unlock()
	b, ok := s.barriers[group]
	if !ok {
		b = &barrier{server: s, group: group}
		s.barriers[group] = b
	}
	return b
}

func (s *Server) replayConfirmerOf(group string) *replayConfirmer {
	s.queriesMu.Lock()
	defer s.queriesMu.Unlock()
	c, ok := s.confirmers[group]
	if !ok {
		c = &replayConfirmer{server: s, group: group, waiting: map[*replayWaiter]struct{}{}}
		s.confirmers[group] = c
	}
	return c
}

// checkServingLease returns an error unless this proxy holds a valid serving lease.
func (s *Server) checkServingLease() *rescode.Error {
	if s.view.Current().MayServe(clock.Now()) {
		return nil
	}
	return rescode.New(rescode.ProxyDetached, "")
}
