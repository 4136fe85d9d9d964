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
	// testLimit bounds every wait of a test.
	testLimit = 30 * time.Second
)

// harness is a control process with a single in-memory voter and fake upstreams.
type harness struct {
	t        *testing.T
	ctx      context.Context
	replica  *replica.Fake
	store    *Store
	upstream *probe.Fake
	client   controlpb.ControlClient
	http     *httptest.Server
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	config := settings.Default().Control
	config.OperatorCredentialHash = HashCredential([]byte("salt"), operatorCredential)
	config.AnnouncementCredentialHash = HashCredential([]byte("salt"), announcementCredential)
	config.AdvertiseGRPC = "fake"
	logger := logrus.New()
	logger.SetOutput(t.Output())
	h := &harness{t: t, ctx: ctx, upstream: probe.NewFake()}
	leader := NewLeader(LeaderConfig{Settings: config, Dialer: h.upstream, Log: logrus.NewEntry(logger)})
	h.store = NewStore(leader.Notify)
	h.replica = replica.NewFake(h.store)
	ended := make(chan struct{})
	go func() { leader.Run(ctx, h.replica, h.store); close(ended) }()
	server := NewServer(ServerConfig{
		Settings: config, Replicator: h.replica, Store: h.store, Leader: leader,
		Credentials: insecure.NewCredentials(), Log: logrus.NewEntry(logger),
	})
	h.client = serveGRPC(t, server)
	mux := http.NewServeMux()
	server.HandleAnnouncements(mux)
	h.http = httptest.NewServer(mux)
	t.Cleanup(func() {
		h.http.Close()
		cancel()
		<-ended
	})
	return h
}

func serveGRPC(t *testing.T, server *Server) controlpb.ControlClient {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
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
	return controlpb.NewControlClient(conn)
}

func (h *harness) operator() context.Context {
	return metadata.AppendToOutgoingContext(h.ctx, authorizationKey, bearerPrefix+operatorCredential)
}

// propose sends a command as operator and returns its result.
func (h *harness) propose(c *controlpb.Command) *controlpb.CommandResult {
	h.t.Helper()
	reply, err := h.client.Propose(h.operator(), &controlpb.ProposeRequest{Command: c})
	if err != nil {
		h.t.Fatal(err)
	}
	return reply.Result
}

// attend opens a stream whose reports carry name; it retries until the VM leads.
func (h *harness) attend(name string) *attendee {
	h.t.Helper()
	for h.ctx.Err() == nil {
		stream, err := h.client.Attend(h.ctx)
		if err != nil {
			continue
		}
		a := &attendee{h: h, name: name, stream: stream}
		a.report()
		first, err := stream.Recv()
		if err != nil {
			continue
		}
		a.take(first)
		a.first = first
		return a
	}
	h.t.Fatal("no stream was accepted")
	return nil
}

// attendee is a proxy as control sees it.
type attendee struct {
	h        *harness
	name     string
	stream   controlpb.Control_AttendClient
	sequence uint64
	applied  uint64
	first    *controlpb.Update
	fences   []*controlpb.GroupTerm
}

func (a *attendee) report() {
	a.h.t.Helper()
	a.sequence++
	err := a.stream.Send(&controlpb.Report{
		Sequence:           a.sequence,
		Proxy:              &controlpb.ProxyMember{Name: a.name},
		Incarnation:        "1",
		AppliedRevision:    a.applied,
		FencesAcknowledged: a.fences,
	})
	if err != nil {
		a.h.t.Fatal(err)
	}
}

func (a *attendee) take(u *controlpb.Update) {
	if u.Full != nil {
		a.applied = u.Full.Revision
	}
	for _, c := range u.Changes {
		a.applied = c.Revision
	}
}

// next returns the next update.
func (a *attendee) next() *controlpb.Update {
	a.h.t.Helper()
	u, err := a.stream.Recv()
	if err != nil {
		a.h.t.Fatal(err)
	}
	a.take(u)
	return u
}

// until reports and reads updates until one satisfies ok.
func (a *attendee) until(ok func(*controlpb.Update) bool) *controlpb.Update {
	a.h.t.Helper()
	for {
		a.report()
		for {
			u := a.next()
			if ok(u) {
				return u
			}
			if u.Sequence == a.sequence {
				break
			}
		}
	}
}

func putTeam(name string) *controlpb.Command {
	return &controlpb.Command{Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: name, Rate: 10, Burst: 5}}}
}
