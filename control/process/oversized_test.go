package process

import (
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

const (
	announcementCredential = "secret"
	// oversizedBytes is more than a gRPC client receives in one message by default.
	oversizedBytes = 5 << 20
	testTimeout    = 30 * time.Second
	goodAddress    = "127.0.0.1:1"
)

// Guards against one large announcement that is committed and then ends the control stream of every
// proxy, again and again, because no proxy can receive it.
func TestOversizedCommandIsRefused(t *testing.T) {
	for name, change := range map[string]func(*controlpb.Command){
		"place": func(c *controlpb.Command) {
			c.GetAnnounceUpstream().Upstream.Place = strings.Repeat("x", oversizedBytes)
		},
		"request ID": func(c *controlpb.Command) { c.RequestId = strings.Repeat("x", oversizedBytes) },
		"actor":      func(c *controlpb.Command) { c.Actor = strings.Repeat("x", oversizedBytes) },
	} {
		t.Run(name, func(t *testing.T) {
			p, stop := startProcess(t, announcementCredential)
			defer stop()
			client := dialControl(t, p)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			first, err := announceOverGRPC(ctx, client, announceCommand("127.0.0.1:3"))
			if err != nil || first.Code != 0 {
				t.Fatal(first, err)
			}
			command := announceCommand("127.0.0.1:2")
			change(command)
			result, err := announceOverGRPC(ctx, client, command)
			if got := rescode.Code(result.GetCode()); err != nil || got != rescode.InvalidCommand {
				t.Errorf("%d bytes: %s %.80q, %v, want %s", oversizedBytes, got, result.GetMessage(), err, rescode.InvalidCommand)
			}
			if result, err := announceOverGRPC(ctx, client, announceCommand(goodAddress)); err != nil || result.Code != 0 {
				t.Errorf("a good announcement after it: %.80q, %v", result.GetMessage(), err)
			}
			awaitChanges(ctx, t, client, first.Revision)
		})
	}
}

func announceCommand(address string) *controlpb.Command {
	upstream := &controlpb.Upstream{Address: address, Group: "wax-1", ConnectionLimit: 5}
	return &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{
		AnnounceUpstream: &controlpb.AnnounceUpstream{Service: "wax", Upstream: upstream},
	}}
}

func dialControl(t *testing.T, p *process) controlpb.ControlClient {
	t.Helper()
	conn, err := grpc.NewClient(p.grpc.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return controlpb.NewControlClient(conn)
}

// announceOverGRPC proposes an announcement, again until the process leads.
func announceOverGRPC(ctx context.Context, client controlpb.ControlClient, c *controlpb.Command) (*controlpb.CommandResult, error) {
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+announcementCredential)
	for {
		reply, err := client.Propose(ctx, &controlpb.ProposeRequest{Command: c})
		if err != nil || rescode.Code(reply.Result.Code) != rescode.NotLeader {
			return reply.GetResult(), err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitChanges fails the test unless a proxy that has a revision gets the changes after it.
func awaitChanges(ctx context.Context, t *testing.T, client controlpb.ControlClient, revision uint64) {
	t.Helper()
	stream, err := client.Attend(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report := &controlpb.Report{Sequence: 1, Proxy: &controlpb.ProxyMember{Name: "p1"}, Incarnation: "1", AppliedRevision: revision}
	if err := stream.Send(report); err != nil {
		t.Fatal(err)
	}
	update, err := stream.Recv()
	if err != nil {
		t.Fatalf("the control stream of a proxy ended: %v", err)
	}
	for _, change := range update.Changes {
		if change.Command.GetAnnounceUpstream().GetUpstream().GetAddress() == goodAddress {
			return
		}
	}
	t.Errorf("the changes sent to a proxy lack the good upstream: %.200s", update.String())
}
