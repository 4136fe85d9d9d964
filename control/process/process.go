// Package process assembles and runs a control process.
package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/graceful"
	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
)

// stopTimeout bounds the wait for accepted calls when the process stops.
const stopTimeout = 2 * time.Second

// process holds what run needs to assemble a control process.
type process struct {
	config      *settings.Settings
	log         *logrus.Entry
	credentials credentials.TransportCredentials
	grpc        net.Listener
	http        net.Listener
}

// Run runs a control process until ctx ends or a part of it fails, for example because
// its log cannot be written.
func Run(ctx context.Context, config *settings.Settings, log *logrus.Entry) error {
	p := &process{config: config, log: log}
	if err := p.openListeners(); err != nil {
		return err
	}
	return p.run(ctx)
}

func (p *process) openListeners() error {
	var err error
	if p.credentials, err = p.config.TLS.Identity.GRPCCredentials(); err != nil {
		return err
	}
	if p.grpc, err = listen(p.config.Control.ListenGRPC); err != nil {
		return err
	}
	p.http, err = listen(p.config.Control.ListenHTTP)
	return err
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, rescode.New(rescode.AddressInUse, "listen on %s: %s", address, err.Error())
	}
	return listener, nil
}

func (p *process) run(ctx context.Context) error {
	leader := control.NewLeader(control.LeaderConfig{
		Settings: p.config.Control,
		Dialer:   probe.Postgres{Account: p.config.Control.Upstream},
		Log:      p.log,
	})
	store := control.NewStore(leader.Notify)
	size, err := diskBytes(p.config.Control.DataFolder)
	if err != nil {
		p.log.WithError(err).Warn("size of the disk is not known; it is taken for a small one")
	}
	member, err := replica.Open(replica.Config{
		Folder:          p.config.Control.DataFolder,
		Address:         p.config.Control.AdvertiseGRPC,
		Voters:          p.config.Cluster.Voters,
		SnapshotEntries: p.config.Control.SnapshotEntries,
		DiskBytes:       size,
		DialOptions:     []grpc.DialOption{grpc.WithTransportCredentials(p.credentials)},
		Log:             p.log,
	}, store)
	if err != nil {
		return err
	}
	server := control.NewServer(control.ServerConfig{
		Settings:    p.config.Control,
		Replicator:  member,
		Store:       store,
		Leader:      leader,
		Credentials: p.credentials,
		Log:         p.log,
	})
	defer server.Close()

	calls := graceful.NewCalls()
	options := append(replica.ServerOptions(), guard.ServerOptions(p.log)...)
	options = append(options, calls.ServerOption())
	grpcServer := grpc.NewServer(append(options, grpc.Creds(p.credentials))...)
	controlpb.RegisterControlServer(grpcServer, server)
	member.Register(grpcServer)
	mux := http.NewServeMux()
	metricsrv.Handle(mux)
	server.HandleAnnouncements(mux)
	httpServer := metricsrv.Serve(p.http, calls.Handler(mux), p.log)

	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return member.Run(groupCtx) })
	group.Go(func() error { leader.Run(groupCtx, member, store); return nil })
	group.Go(func() error { return errors.Wrap(grpcServer.Serve(p.grpc), "serve gRPC") })
	group.Go(func() error {
		<-groupCtx.Done()
		// The control streams of proxies end when Leader.Run returns.
		if err := calls.Stop(stopTimeout, grpcServer, httpServer); err != nil {
			p.log.WithError(err).Warn("the stop has cut open calls")
		}
		return nil
	})
	p.log.WithField("grpc", p.grpc.Addr()).WithField("http", p.http.Addr()).Info("control process started")
	err = group.Wait()
	p.log.Info("control process stopped")
	return err
}
