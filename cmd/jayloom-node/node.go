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
	// leaseShare is the part of the revocation bound for which a node serves without an
	// answer of the leader. The rest covers clock drift.
	leaseShare = 0.8
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// grpcBuffer is the size of the buffers of a connection between nodes.
	grpcBuffer = 8 << 10
	// grpcWindow is the flow-control window between nodes. A fixed one spares the pings
	// with which gRPC would measure each connection.
	grpcWindow = 1 << 20
	// connectBackoff and connectTimeout bound connections between nodes.
	connectBackoff = 50 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	// connectInterval is the time between two attempts to reach a node that does not answer.
	connectInterval = 100 * time.Millisecond
)

// node holds the parts of a process.
type node struct {
	settings *platform.Settings
	path     string
	log      *logrus.Entry
	// address is where other nodes reach the node, listenAddress where it listens for them.
	address       string
	listenAddress string

	grpc     *grpc.Server
	voter    replica.Endpoint
	leader   *coordinator.Leader
	client   *controlclient.Client
	engine   *engine.Engine
	front    *server.Server
	listener net.Listener
	servers  []*http.Server
	draining chan struct{}
	failed   chan error
	running  sync.WaitGroup
}

func newNode(o options, s *platform.Settings, log *logrus.Entry) *node {
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.FirstInternalPort))
	return &node{
		settings: s, path: o.Settings, log: log,
		address: address, listenAddress: cmp.Or(o.Listen, address),
		draining: make(chan struct{}), failed: make(chan error, 4),
	}
}

func run(o options, s *platform.Settings) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	n := newNode(o, s, logging.NewRateLimited(os.Stdout, "jayloom-node", s.Node))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.start(ctx, o); err != nil {
		return err
	}
	n.log.WithFields(logrus.Fields{
		"event": "started", "place": s.Place, "first_start": s.Bootstrap, "voter": s.DataFolder != "",
	}).Info("node started")
	err := n.wait()
	n.shutdown(ctx)
	cancel()
	n.stop()
	n.log.WithField("event", "stopped").Info("node stopped")
	return err
}

// stop ends what still runs. The context of start must have ended.
func (n *node) stop() {
	n.grpc.Stop()
	if n.listener != nil {
		_ = n.listener.Close()
		n.front.CloseAll()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.running.Wait()
}

func (n *node) start(ctx context.Context, o options) error {
	n.prepareLeader()
	n.startClient()
	if err := n.serveNodes(ctx); err != nil {
		return err
	}
	n.running.Go(func() { n.client.Run(ctx) })
	n.running.Go(func() { n.engine.Run(ctx) })
	if err := n.serveHTTP(); err != nil {
		return err
	}
	if o.Metrics != 0 {
		if _, err := metricsrv.Start(net.JoinHostPort(n.settings.IP, strconv.Itoa(o.Metrics))); err != nil {
			return err
		}
	}
	return n.serveCallers(ctx)
}

// prepareLeader makes what decides for the fleet on a VM with a disk.
func (n *node) prepareLeader() {
	s := n.settings
	if s.DataFolder == "" {
		return
	}
	n.leader = coordinator.NewLeader(coordinator.Config{
		Upstreams: platform.NewUpstreamClient(), Promoter: platform.NewPromoter(s.PromotionAddress, s.Node, n.log),
		Voters: 2*s.MaxLostVMs + 1, Log: n.log,
	})
}

func (n *node) seeds() []string {
	seeds := []string{}
	s := n.settings
	// The file may change without a signal.
	if current, err := platform.ReadSettings(n.path); err == nil {
		s = current
	} else {
		n.log.WithError(err).WithField("event", "settings_unreadable").Warn("settings file cannot be read; the earlier ones stay")
	}
	for _, ip := range s.SeedIPs {
		seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(n.settings.FirstInternalPort)))
	}
	return seeds
}

func dialOptions() []grpc.DialOption {
	hedged := hedge.Dialer{Interval: connectInterval, MaxAttempts: int(connectTimeout / connectInterval)}
	return []grpc.DialOption{
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return hedged.DialContext(ctx, "tcp4", address)
		}),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(grpcBuffer), grpc.WithWriteBufferSize(grpcBuffer),
		grpc.WithInitialWindowSize(grpcWindow), grpc.WithInitialConnWindowSize(grpcWindow),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: connectBackoff, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

func (n *node) startClient() {
	tokens := admission.New(rate.NewHolder(rate.GatewayConfig()), func() { n.client.ReportNow() })
	n.client = controlclient.New(controlclient.Options{
		Node: n.settings.Node, Seeds: n.seeds,
		Lease:  time.Duration(leaseShare * float64(n.settings.MaxRevocationDelay)),
		Tokens: tokens, Voter: n.voterIdentity, DialOptions: dialOptions(), Log: n.log,
		Primaries: func(now time.Duration) []*controlpb.PrimaryView { return n.engine.Primaries(now) },
	}, func(v *controlclient.View) { n.engine.Update(v) }, func(o controlclient.PrimaryPosition) { n.engine.RecordPosition(o) })
	n.engine = engine.New(engine.Options{
		Control: n.client, Dialer: platform.Dialer{}, Tokens: tokens, Place: n.settings.Place, Log: n.log,
	})
}

// serveNodes answers the other nodes.
func (n *node) serveNodes(ctx context.Context) error {
	l, err := net.Listen("tcp4", n.listenAddress)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes")
	}
	n.grpc = grpc.NewServer(append(replica.ServerOptions(),
		grpc.ReadBufferSize(grpcBuffer), grpc.WriteBufferSize(grpcBuffer),
		grpc.InitialWindowSize(grpcWindow), grpc.InitialConnWindowSize(grpcWindow))...)
	coordinator.NewServer(directory{n}, n.leader).Register(n.grpc)
	if n.leader != nil {
		n.voter.Register(n.grpc)
		n.running.Go(func() { n.leader.Run(ctx) })
		n.running.Go(func() { n.runVoter(ctx) })
	}
	n.running.Go(func() {
		if err := n.grpc.Serve(l); err != nil {
			n.failed <- errors.Wrap(err, "serve other nodes")
		}
	})
	return nil
}

// directory names the leader: a voter knows it first.
type directory struct{ n *node }

// Leader implements coordinator.Directory.
func (d directory) Leader() (string, []string) {
	leader, voters := d.n.client.Leader()
	r := d.n.voter.Replica()
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
		if err := n.listenHTTP(s.ReadyAddress, platform.NewReadinessHandler(n.ready)); err != nil {
			return err
		}
	}
	if s.ControlAddress != "" {
		return n.listenHTTP(s.ControlAddress, platform.NewAPI(n.client, n.log))
	}
	return nil
}

func (n *node) listenHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := platform.NewHTTPServer(h)
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.failed <- errors.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// ready tells the balancer whether to send new callers.
func (n *node) ready() bool {
	select {
	case <-n.draining:
		return false
	default:
		return n.client.View().Catalog != nil && n.client.MayServe(clock.Now())
	}
}

func (n *node) serveCallers(ctx context.Context) error {
	if n.settings.CallerAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp4", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	n.listener = l
	n.front = server.New(server.Options{
		Engine: n.engine, Codec: platform.NewCallerCodec,
		MaxCallers: server.MaxCallers(n.settings.MaxFileDescriptors), Log: n.log,
	})
	n.running.Go(func() { n.front.Serve(ctx, l) })
	return nil
}

// wait returns when the process has to stop.
func (n *node) wait() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case err := <-n.failed:
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
	if n.front != nil {
		n.front.Shutdown(ctx, n.listener, n.settings.ShutdownGrace)
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	leaveCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	n.client.Leave(leaveCtx)
}
