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
	"github.com/jayloom/jayloom/base/hedge"
	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/gateway/controlclient"
	"github.com/jayloom/jayloom/gateway/coordinator"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/server"
	"github.com/jayloom/jayloom/platform"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/proxy/admission"
)

const (
	// leaseFraction is the part of the revocation bound for which a node serves without an
	// answer of the leader. The rest covers clock drift.
	leaseFraction = 0.8
	// memoryLimitFraction is the part of the memory limit at which the collector works harder.
	memoryLimitFraction = 0.6
	// grpcBufferSize is the size of the buffers of a connection between nodes.
	grpcBufferSize = 8 << 10
	// grpcWindowSize is the flow-control window between nodes. A fixed one spares the pings
	// with which gRPC would measure each connection.
	grpcWindowSize = 1 << 20
	// connectBackoff and connectTimeout bound connections between nodes.
	connectBackoff = 50 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	// connectAttemptInterval is the time between two attempts to reach a node that does not answer.
	connectAttemptInterval = 100 * time.Millisecond
)

// node holds the parts of a process.
type node struct {
	settings     *platform.Settings
	settingsPath string
	log          *logrus.Entry
	// address is where other nodes reach the node, listenAddress where it listens for them.
	address       string
	listenAddress string

	grpcServer      *grpc.Server
	replicaEndpoint replica.Endpoint
	leader          *coordinator.Leader
	controlClient   *controlclient.Client
	engine          *engine.Engine
	callerServer    *server.Server
	callerListener  net.Listener
	httpServers     []*http.Server
	draining        chan struct{}
	failures        chan error
	goroutines      sync.WaitGroup
}

func newNode(o options, s *platform.Settings, log *logrus.Entry) *node {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
	return &node{
		settings: s, settingsPath: o.Settings, log: log,
		address: address, listenAddress: cmp.Or(o.NodeListen, address),
		draining: make(chan struct{}), failures: make(chan error, 4),
	}
}

func run(o options, s *platform.Settings) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	n := newNode(o, s, logging.NewBounded(os.Stdout, "jayloom-node", s.Node))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.start(ctx, o); err != nil {
		return err
	}
	n.log.WithFields(logrus.Fields{
		"event": "started", "place": s.Place, "first_start": s.FirstStart, "voter": s.DataFolder != "",
	}).Info("node started")
	err := n.waitForStop()
	n.shutdown(ctx)
	cancel()
	n.close()
	n.log.WithField("event", "stopped").Info("node stopped")
	return err
}

// close ends what still runs. The context of start must have ended.
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
	if err := n.serveHTTP(); err != nil {
		return err
	}
	if o.MetricsPort != 0 {
		if _, err := metricsrv.Start(net.JoinHostPort(n.settings.IP, strconv.Itoa(o.MetricsPort))); err != nil {
			return err
		}
	}
	return n.serveCallers(ctx)
}

// createLeader makes what decides for the fleet on a VM with a disk.
func (n *node) createLeader() {
	s := n.settings
	if s.DataFolder == "" {
		return
	}
	n.leader = coordinator.NewLeader(coordinator.Config{
		Upstreams: platform.NewServers(), Promoter: platform.NewPromoter(s.PromoteAddress, s.Node, n.log),
		Voters: 2*s.LostMachines + 1, Log: n.log,
	})
}

func (n *node) seeds() []string {
	seeds := []string{}
	s := n.settings
	// The file may change without a signal.
	if current, err := platform.ReadSettings(n.settingsPath); err == nil {
		s = current
	} else {
		n.log.WithError(err).WithField("event", "settings_unreadable").Warn("settings file cannot be read; the earlier ones stay")
	}
	for _, ip := range s.SeedIPs {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(n.settings.FirstPort)))
	}
	return seeds
}

func dialOptions() []grpc.DialOption {
	dialer := hedge.Dialer{Interval: connectAttemptInterval, Most: int(connectTimeout / connectAttemptInterval)}
	return []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		}),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(grpcBufferSize), grpc.WithWriteBufferSize(grpcBufferSize),
		grpc.WithInitialWindowSize(grpcWindowSize), grpc.WithInitialConnWindowSize(grpcWindowSize),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

func (n *node) createClientAndEngine() {
	tokens := admission.New(rate.NewHolder(rate.GatewayConfig()), func() { n.controlClient.ReportNow() })
	n.controlClient = controlclient.New(controlclient.Options{
		Node: n.settings.Node, Seeds: n.seeds,
		Lease:  time.Duration(leaseFraction * float64(n.settings.RevocationBound)),
		Tokens: tokens, Voter: n.voterIdentity, DialOptions: dialOptions(), Log: n.log,
		Primaries: func(now time.Duration) []*controlpb.PrimaryView { return n.engine.Primaries(now) },
	}, func(v *controlclient.View) { n.engine.Update(v) }, func(p controlclient.PrimaryPosition) { n.engine.RecordPosition(p) })
	n.engine = engine.New(engine.Options{
		Control: n.controlClient, Dialer: platform.Dialer{}, Tokens: tokens, Place: n.settings.Place, Log: n.log,
	})
}

// serveNodes answers the other nodes.
func (n *node) serveNodes(ctx context.Context) error {
	listener, err := net.Listen("tcp4", n.listenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	n.grpcServer = grpc.NewServer(append(replica.ServerOptions(),
		grpc.ReadBufferSize(grpcBufferSize), grpc.WriteBufferSize(grpcBufferSize),
		grpc.InitialWindowSize(grpcWindowSize), grpc.InitialConnWindowSize(grpcWindowSize))...)
	coordinator.NewServer(directory{n}, n.leader).Register(n.grpcServer)
	if n.leader != nil {
		n.replicaEndpoint.Register(n.grpcServer)
		n.goroutines.Go(func() { n.leader.Run(ctx) })
		n.goroutines.Go(func() { n.runReplica(ctx) })
	}
	n.goroutines.Go(func() {
		if err := n.grpcServer.Serve(listener); err != nil {
			n.failures <- errors.Wrap(err, "serve other nodes")
		}
	})
	return nil
}

// directory names the leader: a voter knows it first.
type directory struct{ n *node }

// Leader implements coordinator.Directory.
func (d directory) Leader() (string, []string) {
	leader, voters := d.n.controlClient.Leader()
	r := d.n.replicaEndpoint.Replica()
	if r == nil {
		return leader, voters
	}
	status := r.Status()
	members := []string{}
	for _, m := range status.Members {
		members = append(members, m.Address)
	}
	if len(members) == 0 {
		members = voters
	}
	return status.LeaderAddress, members
}

func (n *node) serveHTTP() error {
	s := n.settings
	if s.ReadyAddress != "" {
		if err := n.listenHTTP(s.ReadyAddress, platform.NewReady(n.isReady)); err != nil {
			return err
		}
	}
	if s.ControlAddress != "" {
		return n.listenHTTP(s.ControlAddress, platform.NewAPI(n.controlClient, n.log))
	}
	return nil
}

func (n *node) listenHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := platform.NewHTTPServer(handler)
	n.httpServers = append(n.httpServers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			n.failures <- errors.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// isReady tells the balancer whether to send new callers.
func (n *node) isReady() bool {
	select {
	case <-n.draining:
		return false
	default:
		return n.controlClient.View().Catalog != nil && n.controlClient.MayServe(clock.Now())
	}
}

func (n *node) serveCallers(ctx context.Context) error {
	if n.settings.FrontAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp4", n.settings.FrontAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.callerListener = listener
	n.callerServer = server.New(server.Options{
		Engine: n.engine, Codec: platform.NewCallerCodec,
		MaxCallers: server.MaxCallers(n.settings.MaxDescriptors), Log: n.log,
	})
	n.goroutines.Go(func() { n.callerServer.Serve(ctx, listener) })
	return nil
}

// waitForStop returns when the process has to stop.
func (n *node) waitForStop() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-n.failures:
			n.log.WithError(err).WithField("event", "failed").Error("node stops")
			return err
		case sig := <-signals:
			n.log.WithFields(logrus.Fields{"event": "signal", "signal": sig.String()}).Info("signal received")
			if sig != syscall.SIGHUP {
				return nil
			}
			// Seeds are read from the file whenever they are needed.
		}
	}
}

// shutdown ends callers without cutting what runs.
func (n *node) shutdown(ctx context.Context) {
	close(n.draining)
	if n.callerServer != nil {
		n.callerServer.Shutdown(ctx, n.callerListener, n.settings.ShutdownGrace)
	}
	for _, s := range n.httpServers {
		_ = s.Close()
	}
	leaveCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	n.controlClient.Leave(leaveCtx)
}
