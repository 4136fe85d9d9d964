// Package process wires the parts of one control process.
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
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
)

// stopTimeout bounds the goodbye to callers that are still connected.
const stopTimeout = 2 * time.Second

// process is a control process under construction.
type process struct {
	all         *settings.Settings
	log         *logrus.Entry
	credentials credentials.TransportCredentials
	grpc        net.Listener
	http        net.Listener
}

// Run runs the control process until ctx ends or its log cannot be written.
func Run(ctx context.Context, all *settings.Settings, log *logrus.Entry) error {
	p := &process{all: all, log: log}
	if err := p.open(); err != nil {
		return err
	}
	return p.run(ctx)
}

func (p *process) open() error {
	var err error
	if p.credentials, err = p.all.TLS.Identity.GRPC(); err != nil {
		return err
	}
	if p.grpc, err = listen(p.all.Control.ListenGRPC); err != nil {
		return err
	}
	p.http, err = listen(p.all.Control.ListenHTTP)
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
		Settings: p.all.Control,
		Dialer:   probe.Postgres{Account: p.all.Control.Upstream},
		Log:      p.log,
	})
	store := control.NewStore(leader.Notify)
	member, err := replica.Open(replica.Config{
		Folder:          p.all.Control.DataFolder,
		Address:         p.all.Control.AdvertiseGRPC,
		Voters:          p.all.Cluster.Voters,
		SnapshotEntries: p.all.Control.SnapshotEntries,
		DialOptions:     []grpc.DialOption{grpc.WithTransportCredentials(p.credentials)},
		Log:             p.log,
	}, store)
	if err != nil {
		return err
	}
	server := control.NewServer(control.ServerConfig{
		Settings:    p.all.Control,
		Replicator:  member,
		Store:       store,
		Leader:      leader,
		Credentials: p.credentials,
		Log:         p.log,
	})
	defer server.Close()

	grpcServer := grpc.NewServer(append(replica.ServerOptions(), grpc.Creds(p.credentials))...)
	controlpb.RegisterControlServer(grpcServer, server)
	member.Register(grpcServer)
	mux := http.NewServeMux()
	metricsrv.Handle(mux)
	server.HandleAnnouncements(mux)
	httpServer := metricsrv.Serve(p.http, mux)

	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return member.Run(groupCtx) })
	group.Go(func() error { leader.Run(groupCtx, member, store); return nil })
	group.Go(func() error { return errors.Wrap(grpcServer.Serve(p.grpc), "serve gRPC") })
	group.Go(func() error {
		<-groupCtx.Done()
		stop(grpcServer, httpServer)
		return nil
	})
	p.log.WithField("grpc", p.grpc.Addr()).WithField("http", p.http.Addr()).Info("control process started")
	err = group.Wait()
	p.log.Info("control process stopped")
	return err
}

// stop ends the servers; streams that proxies hold open end with the leader, and
// whatever is left is cut after stopTimeout.
func stop(grpcServer *grpc.Server, httpServer *http.Server) {
	timer := time.AfterFunc(stopTimeout, grpcServer.Stop)
	defer timer.Stop()
	// The error says only that a connection was cut.
	_ = httpServer.Close()
	grpcServer.GracefulStop()
}
