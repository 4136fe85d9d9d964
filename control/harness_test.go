package control

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/control/replica"
)

const (
	operatorCredential     = "operator"
	announcementCredential = "announcement"
	// testTimeout bounds every wait of a test.
	testTimeout = 30 * time.Second
)

// harness is a control process with a single in-memory voter and fake upstreams.
type harness struct {
	t         *testing.T
	ctx       context.Context
	replica   *replica.Fake
	store     *Store
	upstreams *probe.Fake
	client    controlpb.ControlClient
	target    string // gRPC address
	http      *httptest.Server
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	config := settings.Default().Control
	config.OperatorCredentialHash = HashCredential([]byte("salt"), operatorCredential)
	config.AnnouncementCredentialHash = HashCredential([]byte("salt"), announcementCredential)
	config.AdvertiseGRPC = "fake"
	logger := logrus.New()
	logger.SetOutput(t.Output())
	h := &harness{t: t, ctx: ctx, upstreams: probe.NewFake()}
	leader := NewLeader(LeaderConfig{Settings: config, Dialer: h.upstreams, Log: logrus.NewEntry(logger)})
	h.store = NewStore(leader.Notify)
	h.replica = replica.NewFake(h.store)
	done := make(chan struct{})
	go func() { leader.Run(ctx, h.replica, h.store); close(done) }()
	server := NewServer(ServerConfig{
		Settings: config, Replicator: h.replica, Store: h.store, Leader: leader,
		Credentials: insecure.NewCredentials(), Log: logrus.NewEntry(logger),
	})
	h.client, h.target = serveGRPC(t, server)
	mux := http.NewServeMux()
	server.HandleAnnouncements(mux)
	h.http = httptest.NewServer(mux)
	t.Cleanup(func() {
		h.http.Close()
		cancel()
		<-done
	})
	return h
}

func serveGRPC(t *testing.T, server *Server) (client controlpb.ControlClient, target string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(replica.ServerOptions()...)
	controlpb.RegisterControlServer(s, server)
	go func() { _ = s.Serve(listener) }()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		s.Stop()
	})
	return controlpb.NewControlClient(conn), listener.Addr().String()
}

func (h *harness) operatorContext() context.Context {
	return metadata.AppendToOutgoingContext(h.ctx, authorizationKey, bearerPrefix+operatorCredential)
}

// propose sends a command as an operator and returns its result.
func (h *harness) propose(c *controlpb.Command) *controlpb.CommandResult {
	h.t.Helper()
	reply, err := h.client.Propose(h.operatorContext(), &controlpb.ProposeRequest{Command: c})
	if err != nil {
		h.t.Fatal(err)
	}
	return reply.Result
}

// connectProxy opens the control stream of a proxy and retries until the VM leads.
func (h *harness) connectProxy(name string) *fakeProxy {
	h.t.Helper()
	for h.ctx.Err() == nil {
		stream, err := h.client.Attend(h.ctx)
		if err != nil {
			continue
		}
		p := &fakeProxy{h: h, name: name, stream: stream}
		p.report()
		first, err := stream.Recv()
		if err != nil {
			continue
		}
		p.applyUpdate(first)
		p.first = first
		return p
	}
	h.t.Fatal("no stream was accepted")
	return nil
}

// fakeProxy is the proxy's end of a control stream.
type fakeProxy struct {
	h        *harness
	name     string
	stream   controlpb.Control_AttendClient
	sequence uint64
	applied  uint64
	first    *controlpb.Update
	fences   []*controlpb.GroupTerm
}

func (p *fakeProxy) report() {
	p.h.t.Helper()
	p.sequence++
	err := p.stream.Send(&controlpb.Report{
		Sequence:           p.sequence,
		Proxy:              &controlpb.ProxyMember{Name: p.name},
		Incarnation:        "1",
		AppliedRevision:    p.applied,
		FencesAcknowledged: p.fences,
	})
	if err != nil {
		p.h.t.Fatal(err)
	}
}

func (p *fakeProxy) applyUpdate(u *controlpb.Update) {
	if u.Full != nil {
		p.applied = u.Full.Revision
	}
	for _, c := range u.Changes {
		p.applied = c.Revision
	}
}

// receive waits for the next update.
func (p *fakeProxy) receive() *controlpb.Update {
	p.h.t.Helper()
	u, err := p.stream.Recv()
	if err != nil {
		p.h.t.Fatal(err)
	}
	p.applyUpdate(u)
	return u
}

// reportUntil sends reports and receives updates until one satisfies ok.
func (p *fakeProxy) reportUntil(ok func(*controlpb.Update) bool) *controlpb.Update {
	p.h.t.Helper()
	for {
		p.report()
		for {
			u := p.receive()
			if ok(u) {
				return u
			}
			if u.Sequence == p.sequence {
				break
			}
		}
	}
}

func putTeam(name string) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: name, Rate: 10, Burst: 5}}}
}
