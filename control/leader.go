package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/policy/failover"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/policy/share"
)

const (
	// eventQueueSize is the number of events that may wait for the leader's goroutine.
	eventQueueSize = 1024
	// tickInterval is the resolution of the policies' timers.
	tickInterval = 50 * time.Millisecond
	// servingLease is how long a proxy may serve without hearing from control.
	servingLease = 5000 * time.Millisecond
	// primaryLease is how long a proxy may acknowledge writes without hearing from
	// control.
	primaryLease = 2500 * time.Millisecond
)

// event is an input to the leader's goroutine.
type event interface{}

type (
	reportReceived struct {
		stream *proxyStream
		report *controlpb.Report
		at     time.Duration
	}
	streamEnded struct{ stream *proxyStream }
	probeDone   struct{ result probe.Result }
	// inspectRequest runs a function on the leader's goroutine, for handlers that need
	// a consistent view of its state.
	inspectRequest struct {
		run  func()
		done chan struct{}
	}
)

// LeaderConfig configures a Leader.
type LeaderConfig struct {
	Settings settings.Control
	Dialer   probe.Dialer
	Log      *logrus.Entry
}

// Leader owns the state that only the leading control VM keeps and that is not
// replicated: control streams of proxies, request tokens, connection shares, upstream
// health and the progress of failovers. The fields from term on belong to the
// goroutine of Run.
type Leader struct {
	settings   settings.Control
	log        *logrus.Entry
	dialer     probe.Dialer
	replicator replica.Replicator
	store      *Store

	events  chan event
	stopped chan struct{}
	// storeChanged wakes the goroutine after a change of the store.
	storeChanged chan struct{}
	leading      atomic.Bool

	mu struct {
		sync.Mutex
		// pendingLeadership are the leadership changes not handled yet.
		pendingLeadership []StoreEvent
	}

	term            uint64
	streams         map[string]*proxyStream // by proxy name
	lastReportAt    map[string]time.Duration
	lastStreamID    uint64
	view            *controlpb.FleetState // newest state passed to the policies
	tokenAllocator  *rate.Allocator
	shareAllocator  *share.Allocator
	failoverMachine *failover.Machine
	prober          *probe.Prober
	decisions       []*controlpb.Event // recent decisions that are not replicated
}

// NewLeader returns a Leader; it does nothing until Run is called.
func NewLeader(c LeaderConfig) *Leader {
	return &Leader{
		settings:     c.Settings,
		log:          c.Log,
		dialer:       c.Dialer,
		events:       make(chan event, eventQueueSize),
		stopped:      make(chan struct{}),
		storeChanged: make(chan struct{}, 1),
		streams:      map[string]*proxyStream{},
		lastReportAt: map[string]time.Duration{},
	}
}

// Notify is the callback for events of the store. It never blocks.
func (l *Leader) Notify(e StoreEvent) {
	if e.LeadershipChanged {
		l.mu.Lock()
		l.mu.pendingLeadership = append(l.mu.pendingLeadership, e)
		l.mu.Unlock()
		if !e.Leading {
			// Handlers stop answering at once, before the goroutine handles the event.
			l.leading.Store(false)
		}
	}
	select {
	case l.storeChanged <- struct{}{}:
	default:
	}
}

// Run handles events until ctx ends.
func (l *Leader) Run(ctx context.Context, replicator replica.Replicator, store *Store) {
	l.replicator = replicator
	l.store = store
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.stopLeading()
			return
		case <-l.storeChanged:
			l.handleStoreEvents(ctx)
		case <-ticker.C:
			l.handleTick(ctx)
		case e := <-l.events:
			l.handle(ctx, e)
		}
	}
}

// post passes an event to the goroutine. It returns false if Run has returned.
func (l *Leader) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.stopped:
		return false
	}
}

// inspect runs a function on the goroutine of Run and waits until it has returned.
// If Run or ctx ends first, the function may not have run.
func (l *Leader) inspect(ctx context.Context, run func()) {
	request := inspectRequest{run: run, done: make(chan struct{})}
	if !l.post(request) {
		return
	}
	select {
	case <-request.done:
	case <-l.stopped:
	case <-ctx.Done():
	}
}

func (l *Leader) isLeading() bool {
	return l.leading.Load()
}

func (l *Leader) handle(ctx context.Context, e event) {
	switch typed := e.(type) {
	case reportReceived:
		l.handleReport(ctx, typed)
	case streamEnded:
		l.handleStreamEnded(typed.stream)
	case probeDone:
		l.handleProbe(ctx, typed.result)
	case proposalDone:
		l.handleProposalDone(ctx, typed)
	case callDone:
		l.stepFailover(ctx, clock.Now(), typed.event)
	case inspectRequest:
		typed.run()
		close(typed.done)
	}
}

func (l *Leader) handleTick(ctx context.Context) {
	if !l.isLeading() {
		return
	}
	now := clock.Now()
	l.tokenAllocator.Expire(now)
	l.shareAllocator.Expire(now)
	l.stepFailover(ctx, now, failover.Tick{})
	l.pushReductions(now)
}

func (l *Leader) handleStoreEvents(ctx context.Context) {
	l.mu.Lock()
	pending := l.mu.pendingLeadership
	l.mu.pendingLeadership = nil
	l.mu.Unlock()
	for _, e := range pending {
		l.handleLeadershipChange(ctx, e)
	}
	if l.isLeading() {
		l.propagateChanges(ctx)
	}
}

func (l *Leader) handleLeadershipChange(ctx context.Context, e StoreEvent) {
	if l.prober != nil {
		l.stopLeading()
	}
	if e.Leading {
		l.startLeading(ctx, e.Term)
	}
}

// startLeading assumes the worst case: everything that an earlier leader may have
// granted counts as granted until its holder reports it or it has expired.
func (l *Leader) startLeading(ctx context.Context, term uint64) {
	now := clock.Now()
	view := l.store.View()
	proxies := sortedKeys(view.Proxies)
	l.term = term
	l.view = nil
	l.tokenAllocator = rate.NewAllocator(rate.DefaultConfig())
	l.tokenAllocator.StartLeading(now, proxies)
	l.shareAllocator = share.NewAllocator(shareConfig(l.settings))
	l.shareAllocator.StartLeading(now, proxies)
	l.failoverMachine = failover.New(failoverConfig(l.settings))
	l.prober = probe.New(l.dialer, milliseconds(l.settings.ProbeIntervalMs),
		milliseconds(l.settings.ProbeTimeoutMs), func(r probe.Result) { l.post(probeDone{r}) })
	leadershipGained.Inc()
	l.log.WithField("term", term).Info("leadership gained")
	l.leading.Store(true)
	l.stepFailover(ctx, now, failover.Elected{State: view})
	l.initializeCluster(ctx, view)
	l.propagateChanges(ctx)
}

// stopLeading stops the probes and closes all control streams.
func (l *Leader) stopLeading() {
	l.leading.Store(false)
	if l.prober == nil {
		return
	}
	// Probes post to this goroutine, so waiting for them here could deadlock.
	go l.prober.Stop()
	l.prober = nil
	for _, ps := range l.streams {
		ps.cancel()
	}
	clear(l.streams)
	clear(l.lastReportAt)
	leadershipLost.Inc()
	l.log.WithField("term", l.term).Info("leadership lost")
}

func failoverConfig(s settings.Control) failover.Config {
	config := failover.DefaultConfig()
	config.SuspectAfter = milliseconds(s.SuspectAfterMs)
	return config
}

func shareConfig(s settings.Control) share.Config {
	config := share.DefaultConfig()
	config.ReservedConnections = s.ReservedConnections
	return config
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
