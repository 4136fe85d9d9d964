// Command jayloom-proxy serves callers between them and the database servers.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/cmd/internal/settingsflags"
	"github.com/jayloom/jayloom/policy/rate"
	"github.com/jayloom/jayloom/policy/share"
	"github.com/jayloom/jayloom/proxy"
	"github.com/jayloom/jayloom/proxy/controlclient"
	"github.com/jayloom/jayloom/proxy/view"
)

func main() {
	settingsflags.Main("jayloom-proxy", settings.RoleProxy, run)
}

// process is what run starts and stops.
type process struct {
	settings *settings.Settings
	log      *logrus.Entry
	server   *proxy.Server
	attend   *controlclient.Client
	peering  *grpc.Server
	callers  net.Listener
}

func run(s *settings.Settings, log *logrus.Entry) error {
	p, err := newProcess(s, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failed := make(chan error, 2)
	attending, stopAttending := context.WithCancel(context.Background())
	defer stopAttending()
	go p.attend.Run(attending)
	go func() { failed <- p.server.Serve(p.callers) }()
	log.WithField("listen", p.callers.Addr().String()).Info("serving callers")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.shutDown()
	return nil
}

// shutDown ends callers at their transaction boundaries and leaves the fleet.
func (p *process) shutDown() {
	p.log.Info("draining")
	limit := time.Duration(p.settings.Proxy.DrainTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p.server.Drain(ctx)
	// Control lends the shares again as soon as it hears that the proxy leaves, so the
	// connections are closed before.
	p.server.Close()
	leaving, cancelLeaving := context.WithTimeout(context.Background(), time.Second)
	defer cancelLeaving()
	p.attend.Leave(leaving)
	p.peering.Stop()
	p.log.Info("stopped")
}

func newProcess(s *settings.Settings, log *logrus.Entry) (*process, error) {
	transport, err := s.TLS.Identity.GRPCCredentials()
	if err != nil {
		return nil, err
	}
	callerTLS, err := callerTLS(s)
	if err != nil {
		return nil, err
	}
	dial := []grpc.DialOption{grpc.WithTransportCredentials(transport)}
	store := view.NewStore()
	p := &process{settings: s, log: log}
	p.server = proxy.New(proxy.Options{
		Settings: s.Proxy,
		Store:    store,
		Tokens:   rate.NewHolder(rate.DefaultConfig()),
		Shares:   share.NewHolder(),
		TLS:      callerTLS,
		Peers:    &proxy.Peers{DialOptions: dial},
		Log:      log,
	})
	p.attend = controlclient.New(store, controlclient.Options{
		Voters: s.Cluster.Voters,
		Member: &controlpb.ProxyMember{
			Name:           s.VM.Name,
			PeeringAddress: s.Proxy.AdvertisePeering,
			Place:          s.VM.Place,
		},
		DialOptions: dial,
		Tokens:      p.server.TokenReporter(),
		Shares:      p.server.ShareReporter(),
		Groups:      p.server.GroupReporter(),

		AllGroupsUpTo: int(s.Proxy.AllGroupsUpTo),
		Log:           log,
	})
	p.server.OnUrgentReport(p.attend.ReportNow)
	return p, p.listen(transport)
}

func (p *process) listen(transport credentials.TransportCredentials) error {
	s := p.settings.Proxy
	peering, err := listen(s.ListenPeering)
	if err != nil {
		return err
	}
	p.peering = grpc.NewServer(grpc.Creds(transport))
	controlpb.RegisterPeeringServer(p.peering, &proxy.PeeringServer{Server: p.server})
	go func() { _ = p.peering.Serve(peering) }()
	if s.ListenHTTP != "" {
		if _, err := metricsrv.Start(s.ListenHTTP); err != nil {
			return errors.Join(rescode.New(rescode.AddressInUse, "%s", s.ListenHTTP), err)
		}
	}
	p.callers, err = listen(s.Listen)
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
