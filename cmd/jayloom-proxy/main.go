// Command jayloom-proxy runs a proxy between callers and the database servers.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/graceful"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/cmd/internal/settingsflags"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy"
	"github.com/jayloom/jayloom/proxy/controlclient"
	"github.com/jayloom/jayloom/proxy/view"
)

const (
	// leaveTimeout bounds the report to control that the proxy leaves.
	leaveTimeout = time.Second
	// callsTimeout bounds the wait for accepted calls of peers and requests for metrics.
	callsTimeout = time.Second
)

func main() {
	settingsflags.Main("jayloom-proxy", settings.RoleProxy, run)
}

// process holds the servers and clients of a running proxy.
type process struct {
	settings       *settings.Settings
	log            *logrus.Entry
	proxyServer    *proxy.Server
	controlClient  *controlclient.Client
	peeringServer  *grpc.Server
	callerListener net.Listener
	// metricsServer is nil unless the settings name an address for it.
	metricsServer *http.Server
	// calls are those that peeringServer and metricsServer have accepted.
	calls *graceful.Calls
}

func run(s *settings.Settings, log *logrus.Entry) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failures := make(chan error, 2)
	controlCtx, stopControlClient := context.WithCancel(context.Background())
	defer stopControlClient()
	go p.controlClient.Run(controlCtx)
	go func() { failures <- p.proxyServer.Serve(p.callerListener) }()
	log.WithField("listen", p.callerListener.Addr().String()).Info("serving callers")
	select {
	case err := <-failures:
		return err
	case <-ctx.Done():
	}
	p.shutDown()
	return nil
}

// shutDown closes caller connections at transaction boundaries and leaves the fleet.
func (p *process) shutDown() {
	p.log.Info("draining")
	timeout := time.Duration(p.settings.Proxy.DrainTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.proxyServer.Drain(ctx)
	// The allocator lends the proxy's shares to other proxies as soon as it learns that the
	// proxy has left, so the upstream connections must be closed first.
	p.proxyServer.Close()
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	p.controlClient.Leave(leaveCtx)
	if err := p.calls.Stop(callsTimeout, p.peeringServer, p.metricsServer); err != nil {
		p.log.WithError(err).Warn("the stop has cut open calls")
	}
	p.log.Info("stopped")
}

func newProcess(s *settings.Settings, log *logrus.Entry) (*process, error) {
	transportCredentials, err := s.TLS.Identity.GRPCCredentials()
	if err != nil {
		return nil, err
	}
	callerTLS, err := callerTLS(s)
	if err != nil {
		return nil, err
	}
	dialOptions := []grpc.DialOption{grpc.WithTransportCredentials(transportCredentials)}
	store := view.NewStore()
	p := &process{settings: s, log: log, calls: graceful.NewCalls()}
	p.proxyServer = proxy.New(proxy.Options{
		Settings: s.Proxy,
		Store:    store,
		Tokens:   rate.NewHolder(rate.DefaultConfig()),
		Shares:   share.NewHolder(),
		TLS:      callerTLS,
		Peers:    &proxy.Peers{DialOptions: dialOptions},
		Log:      log,
	})
	p.controlClient = controlclient.New(store, controlclient.Options{
		Voters: s.Cluster.Voters,
		Member: &controlpb.ProxyMember{
			Name:           s.VM.Name,
			PeeringAddress: s.Proxy.AdvertisePeering,
			Place:          s.VM.Place,
		},
		DialOptions: dialOptions,
		Tokens:      p.proxyServer.TokenReporter(),
		Shares:      p.proxyServer.ShareReporter(),
		Groups:      p.proxyServer.GroupReporter(),

		AllGroupsUpTo: int(s.Proxy.AllGroupsUpTo),
		Log:           log,
	})
	p.proxyServer.OnUrgentReport(p.controlClient.ReportNow)
	return p, p.startListeners(transportCredentials)
}

func (p *process) startListeners(transportCredentials credentials.TransportCredentials) error {
	s := p.settings.Proxy
	peeringListener, err := listen(s.ListenPeering)
	if err != nil {
		return err
	}
	p.peeringServer = grpc.NewServer(grpc.Creds(transportCredentials), p.calls.ServerOption())
	controlpb.RegisterPeeringServer(p.peeringServer, &proxy.PeeringServer{Server: p.proxyServer})
	go func() { _ = p.peeringServer.Serve(peeringListener) }()
	if s.ListenHTTP != "" {
		if p.metricsServer, err = metricsrv.Start(s.ListenHTTP, p.log); err != nil {
			return errors.Join(rescode.New(rescode.AddressInUse, "%s", s.ListenHTTP), err)
		}
	}
	p.callerListener, err = listen(s.Listen)
	return err
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Join(rescode.New(rescode.AddressInUse, "%s", address), err)
	}
	return listener, nil
}

func callerTLS(s *settings.Settings) (*tls.Config, error) {
	if s.Proxy.CallerTLS.Empty() {
		return nil, nil
	}
	return s.Proxy.CallerTLS.ServerConfig()
}
