package main

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/connlimit"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/base/hedge"
	"github.com/jayloom/jayloom/base/httpsrv"
	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/coordinator"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/forward"
	"github.com/jayloom/jayloom/gateway/server"
	"github.com/jayloom/jayloom/gateway/sessionmem"
	"github.com/jayloom/jayloom/gateway/stop"
	"github.com/jayloom/jayloom/platform"
	"github.com/jayloom/jayloom/policy/throttle"
	"github.com/jayloom/jayloom/policy/warmup"
)

const (
	// leaseFraction is the duration of the serving lease as a fraction of the longest time
	// that a revocation may take. The rest covers clock drift.
	leaseFraction = 0.8
	// minDrainLease is the shortest time that the drain of a data centre limits the serving lease to. With a shorter
	// one, each change of leader would interrupt all nodes.
	minDrainLease = 3 * time.Second
	// memoryLimitFraction is the Go runtime's soft memory limit, at which the garbage
	// collector runs more often, as a fraction of the node's memory limit.
	memoryLimitFraction = 0.6
	// sessionMemoryFraction is what the values and prepared statements of all sessions may hold, as a fraction of
	// the node's memory limit. It is a third of what the collector keeps the heap below: garbage and the
	// messages on their way need the rest.
	sessionMemoryFraction = 0.2
	// messageMemoryFraction is what the long messages of all callers may hold, as a fraction of the node's memory limit.
	// While it is read and sent on, a message is held up to three times.
	messageMemoryFraction = 0.07
	// grpcBufferSize is the size in bytes of the read and write buffers of a connection
	// between nodes.
	grpcBufferSize = 8 << 10
	// grpcWindowSize is the flow-control window in bytes between nodes. A fixed size
	// disables gRPC's bandwidth estimation, which sends pings on each connection.
	grpcWindowSize = 1 << 20
	// linkBufferSize is the size in bytes of the buffers of a link on which statements are forwarded, and
	// linkWindowSize how much of one answer it holds while the caller does not read.
	linkBufferSize     = 4 << 10
	linkWindowSize     = 64 << 10
	linkConnWindowSize = 512 << 10
	// connectBackoff is the first delay between connection attempts to a node.
	// connectTimeout bounds one attempt and is also the longest delay.
	connectBackoff = 50 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	// connectAttemptInterval is the time after which the dialer starts another attempt in
	// parallel while a node does not answer.
	connectAttemptInterval = 100 * time.Millisecond
	// callDrainTimeout bounds the wait for the answers of accepted calls at a stop. It is above
	// the timeout of a call to the leader.
	callDrainTimeout = time.Second
)

// node is a running gateway node.
type node struct {
	settings     *platform.Settings
	settingsPath string
	log          *logrus.Entry
	// address is the address that other nodes dial. The node listens for them on
	// listenAddress, which differs from it behind a relay.
	address       string
	listenAddress string

	grpcServer      *grpc.Server
	replicaEndpoint replica.Endpoint
	leader          *coordinator.Leader
	service         *coordinator.Server
	controlClient   *controlclient.Client
	engine          *engine.Engine
	forwardClient   *forward.Client
	forwardServer   *forward.Server
	callerServer    *server.Server
	callerListener  net.Listener
	httpServers     []*http.Server
	draining        chan struct{}
	failures        chan error
	// terminations and reloads receive signals from the creation of the node on. Each holds one,
	// and they are separate so that no number of SIGHUPs displaces a SIGTERM.
	terminations, reloads chan os.Signal
	goroutines            sync.WaitGroup
}

func newNode(o options, s *platform.Settings, log *logrus.Entry) *node {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstInternalPort))
	n := &node{
		settings: s, settingsPath: o.Settings, log: log,
		address: address, listenAddress: cmp.Or(o.NodeListen, address),
		draining: make(chan struct{}), failures: make(chan error, 4),
		terminations: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1),
	}
	// A signal that arrives while the node starts is handled once it runs.
	signal.Notify(n.terminations, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(n.reloads, syscall.SIGHUP)
	return n
}

func run(o options, s *platform.Settings) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	useMessageBuffers()
	n := newNode(o, s, logging.NewRateLimited(os.Stdout, "jayloom-node", s.Node))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.start(ctx, o); err != nil {
		return err
	}
	n.log.WithFields(logrus.Fields{
		"event": "started", "place": s.Place, "first_start": s.Bootstrap, "voter": s.DataFolder != "",
	}).Info("node started")
	err := n.waitForStop()
	n.shutdown(ctx)
	cancel()
	n.close()
	n.log.WithField("event", "stopped").Info("node stopped")
	return err
}

// close closes the servers and waits for all goroutines. The context passed to start must
// be done.
func (n *node) close() {
	n.grpcServer.Stop()
	if n.callerListener != nil {
		_ = n.callerListener.Close()
		n.callerServer.CloseAll()
	}
	for _, s := range n.httpServers {
		_ = s.Close()
	}
	n.goroutines.Wait()
}

func (n *node) start(ctx context.Context, o options) error {
	n.createLeader()
	n.createClientAndEngine()
	if err := n.serveNodes(ctx); err != nil {
		return err
	}
	n.goroutines.Go(func() { n.controlClient.Run(ctx) })
	n.goroutines.Go(func() { n.engine.Run(ctx) })
	n.goroutines.Go(func() { n.forwardClient.Run(ctx) })
	if err := n.serveHTTP(); err != nil {
		return err
	}
	if o.MetricsPort != 0 {
		if err := n.serveMetrics(o.MetricsPort); err != nil {
			return err
		}
	}
	return n.serveCallers(ctx)
}

// createLeader creates the coordinator that a VM with a disk runs while it is the leader.
func (n *node) createLeader() {
	s := n.settings
	if s.DataFolder == "" {
		return
	}
	n.leader = coordinator.NewLeader(coordinator.Config{
		Upstreams: platform.NewUpstreamClient(), Promoter: platform.NewPromoter(s.PromotionAddress, s.Node, n.log),
		Voters: 2*s.MaxLostVMs + 1, DrainTime: s.DrainTime, PlaceDrainTime: s.PlaceDrainTime, Places: s.Places(),
		WarmupExcess: s.WarmupExcess, WarmupSlack: s.WarmupSlack, Log: n.log,
	})
}

// currentSettings returns the settings as they are now: the file may have changed without a signal.
func (n *node) currentSettings() *platform.Settings {
	current, err := platform.ReadSettings(n.settingsPath)
	if err != nil {
		n.log.WithError(err).WithField("event", "settings_unreadable").Warn("settings file cannot be read; keeping those read at startup")
		return n.settings
	}
	return current
}

// places returns the data centres in the settings.
func (n *node) places() []string {
	return n.currentSettings().Places()
}

func (n *node) seeds() []string {
	seeds := []string{}
	for _, ip := range n.currentSettings().SeedIPs {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(n.settings.FirstInternalPort)))
	}
	return seeds
}

// dialNode connects to another node.
func dialNode(ctx context.Context, address string) (net.Conn, error) {
	dialer := hedge.Dialer{Interval: connectAttemptInterval, MaxAttempts: int(connectTimeout / connectAttemptInterval)}
	return dialer.DialContext(ctx, "tcp4", address)
}

func dialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithContextDialer(dialNode),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(grpcBufferSize), grpc.WithWriteBufferSize(grpcBufferSize),
		grpc.WithInitialWindowSize(grpcWindowSize), grpc.WithInitialConnWindowSize(grpcWindowSize),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// linkOptions are the options of the links on which statements are forwarded. There may be dozens of them.
func linkOptions() []grpc.DialOption {
	return append(dialOptions(),
		grpc.WithReadBufferSize(linkBufferSize), grpc.WithWriteBufferSize(linkBufferSize),
		grpc.WithInitialWindowSize(linkWindowSize), grpc.WithInitialConnWindowSize(linkConnWindowSize))
}

func (n *node) createClientAndEngine() {
	gate := throttle.NewGate(func() { n.controlClient.ReportNow() })
	permits := warmup.NewPermits()
	n.service = coordinator.NewServer(directory{n}, n.leader)
	n.controlClient = controlclient.New(controlclient.Options{
		Node: n.settings.Node, Address: n.address, Seeds: n.seeds, Place: n.settings.Place, ForwardAddress: n.address,
		LinkMbps: n.settings.LinkMbps, Lease: leaseDuration(n.settings),
		Gate: gate, Warmup: permits, Voter: n.voterIdentity, Local: n.service, Dial: dialNode, DialOptions: dialOptions(), Log: n.log,
		Primaries: func(now time.Duration) []*controlpb.PrimaryView { return n.engine.Primaries(now) },
	}, func(v *controlclient.View) { n.engine.Update(v) }, func(p controlclient.PrimaryPosition) { n.engine.RecordPosition(p) })
	n.forwardClient = forward.NewClient(forward.Options{Dial: dialNode, DialOptions: linkOptions(), Log: n.log})
	n.engine = engine.New(engine.Options{
		Forwarder: n.forwardClient, Address: n.address,
		Control: n.controlClient, Dialer: platform.Dialer{LongRows: longRows(n.settings)}, Gate: gate,
		Permits: permits, RequestReport: n.controlClient.ReportNow,
		Place: n.settings.Place, Regions: n.settings.Regions, Log: n.log,
		SessionMemory: sessionMemory(n.settings),
	})
	n.forwardServer = forward.NewServer(n.engine, n.log)
}

// leaseDuration returns how long a node serves without contact to the leader. It then neither accepts a withdrawn key
// nor sends statements to a drained upstream or data centre.
func leaseDuration(s *platform.Settings) time.Duration {
	longest := s.MaxRevocationDelay
	for _, drainTime := range []time.Duration{s.DrainTime, s.PlaceDrainTime} {
		if drainTime > 0 {
			longest = min(longest, max(drainTime, minDrainLease))
		}
	}
	return time.Duration(leaseFraction * float64(longest))
}

// sessionMemory returns the budget for the state of the sessions that the settings allow.
func sessionMemory(s *platform.Settings) *sessionmem.Budget {
	bytes := int64(sessionMemoryFraction * float64(s.MemoryMB) * (1 << 20))
	return sessionmem.New(bytes, server.MaxCallers(s.MaxFileDescriptors))
}

// serveNodes starts the gRPC server for the other nodes and, on a VM with a disk, the
// leader and the replica.
func (n *node) serveNodes(ctx context.Context) error {
	inner, err := listen(ctx, n.listenAddress, setNodeTimeout, n.log)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	listener := connlimit.NewListener(inner, "nodes", maxNodeConnections(n.settings.MaxFileDescriptors), n.log)
	options := append(replica.ServerOptions(), guard.ServerOptions(n.log)...)
	options = append(options, listener.ServerOptions()...)
	n.grpcServer = grpc.NewServer(append(options,
		grpc.ReadBufferSize(grpcBufferSize), grpc.WriteBufferSize(grpcBufferSize),
		grpc.InitialWindowSize(grpcWindowSize), grpc.InitialConnWindowSize(grpcWindowSize))...)
	n.service.Register(n.grpcServer)
	n.forwardServer.Register(n.grpcServer)
	if n.leader != nil {
		n.replicaEndpoint.Register(n.grpcServer)
		n.goroutines.Go(func() { n.leader.Run(ctx) })
		n.goroutines.Go(func() { n.runReplica(ctx) })
		n.goroutines.Go(func() { n.voterAnnouncer().Run(ctx) })
	}
	n.goroutines.Go(func() {
		if err := n.grpcServer.Serve(listener); err != nil {
			n.failures <- errors.Wrap(err, "serve other nodes")
		}
	})
	return nil
}

// directory looks up the current leader. It prefers the local replica, which learns of a
// new leader before the control client does.
type directory struct{ n *node }

// Leader implements coordinator.Directory.
func (d directory) Leader() (string, *controlpb.VoterSet) {
	leader, voters := d.n.controlClient.Leader()
	if r := d.n.replicaEndpoint.Replica(); r != nil {
		leader = r.Status().LeaderAddress
		voters = cmp.Or(r.Status().VoterSet(), voters)
	}
	return leader, voters
}

// LearnVoters implements coordinator.Directory.
func (d directory) LearnVoters(voters *controlpb.VoterSet) bool {
	return d.n.controlClient.LearnVoters(voters)
}

func (n *node) serveHTTP() error {
	s := n.settings
	if s.ReadyAddress != "" {
		if err := n.listenHTTP(s.ReadyAddress, "ready", platform.NewReadinessHandler(n.isReady)); err != nil {
			return err
		}
	}
	if s.ControlAddress != "" {
		return n.listenHTTP(s.ControlAddress, controlListener, platform.NewAPI(n.controlClient, s.ControlAddress, n.places, maxBodyMemory(s), n.log))
	}
	return nil
}

func (n *node) serveMetrics(port int) error {
	mux := http.NewServeMux()
	metricsrv.Handle(mux)
	return n.listenHTTP(net.JoinHostPort(n.settings.IP, strconv.Itoa(port)), "metrics", mux)
}

// listenHTTP serves a handler on an address. name tells the node's listeners apart.
func (n *node) listenHTTP(address, name string, handler http.Handler) error {
	inner, err := listen(context.Background(), address, setReceiveBuffer(httpReceiveBuffer), n.log)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server, listener := httpsrv.New(inner, handler, httpsrv.Options{
		Name: name, MaxConnections: maxHTTPConnections(name, n.settings.MaxFileDescriptors), Log: n.log,
	})
	n.httpServers = append(n.httpServers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.failures <- errors.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// isReady reports to the load balancer whether the node accepts new callers.
func (n *node) isReady() bool {
	select {
	case <-n.draining:
		return false
	default:
		return n.controlClient.View().Catalog != nil && n.controlClient.MayServe(clock.Now())
	}
}

func (n *node) serveCallers(ctx context.Context) error {
	if n.settings.CallerAddress == "" {
		return nil
	}
	listener, err := listen(ctx, n.settings.CallerAddress, setReceiveBuffer(callerReceiveBuffer(n.settings)), n.log)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.callerListener = listener
	messageBytes := int64(messageMemoryFraction * float64(n.settings.MemoryMB) * (1 << 20))
	messages := platform.NewMessageMemory(messageBytes)
	messages.RegisterGauge(messageBytes)
	messages.LimitProcess(int64(maxInUseFraction*float64(n.settings.MemoryMB)*(1<<20)), memoryInUse)
	n.callerServer = server.New(server.Options{
		Engine: n.engine, Codec: func(c net.Conn) server.Codec { return platform.NewCallerCodec(c, messages) },
		MaxCallers: server.MaxCallers(n.settings.MaxFileDescriptors), Log: n.log,
	})
	n.goroutines.Go(func() { n.callerServer.Serve(ctx, listener) })
	return nil
}

// waitForStop blocks until a server fails or a termination signal arrives.
func (n *node) waitForStop() error {
	for {
		select {
		case err := <-n.failures:
			n.log.WithError(err).WithField("event", "failed").Error("node failed, stopping")
			return err
		case sig := <-n.terminations:
			n.logSignal(sig)
			return nil
		case sig := <-n.reloads:
			// No action is needed: the seeds are read from the file on each use.
			n.logSignal(sig)
		}
	}
}

func (n *node) logSignal(sig os.Signal) {
	n.log.WithFields(logrus.Fields{"event": "signal", "signal": sig.String()}).Info("signal received")
}

// shutdown stops accepting callers, waits up to the grace period for running work and
// leaves the fleet.
func (n *node) shutdown(ctx context.Context) {
	plan := stop.NewPlan(clock.Now(), n.settings.ShutdownGrace)
	close(n.draining)
	n.engine.BeginStop(plan)
	n.controlClient.BeginStop()
	var drained sync.WaitGroup
	drained.Go(func() { n.forwardServer.Shutdown(ctx, plan) })
	drained.Go(func() { n.drainCalls(ctx, plan) })
	if n.callerServer != nil {
		n.callerServer.Shutdown(ctx, n.callerListener, plan)
	}
	drained.Wait()
	// The last quarter of the time behind the callers is left to end the process itself.
	left := (plan.EndsAt - clock.Now()) * 3 / 4
	leaveCtx, cancel := context.WithTimeout(ctx, min(connectTimeout, left))
	defer cancel()
	n.controlClient.Leave(leaveCtx)
}

// drainCalls accepts no calls of operators, upstreams and the load balancer once the latter sends no
// callers, and waits until those that were accepted are answered.
func (n *node) drainCalls(ctx context.Context, plan stop.Plan) {
	select {
	case <-ctx.Done():
	case <-time.After(plan.ServesUntil - clock.Now()):
	}
	ctx, cancel := context.WithTimeout(ctx, min(callDrainTimeout, plan.ClosesAt-clock.Now()))
	defer cancel()
	var all sync.WaitGroup
	for _, s := range n.httpServers {
		all.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				n.log.WithError(err).WithField("event", "calls_cut").Warn("calls were not answered in time")
			}
		})
	}
	all.Wait()
}
