package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/metadata"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Guards against an operator who overwrites the change of another one that was made
// since the expected revision.
func TestConcurrentChangeIsRefused(t *testing.T) {
	h := newHarness(t)
	// The leader's own first command takes a revision, which must not come between the changes.
	h.awaitTokenKey()
	base := h.propose(putTeam("t1")).Revision
	first := putTeam("t2")
	first.ExpectedRevision = base
	second := putTeam("t3")
	second.ExpectedRevision = base
	if result := h.propose(first); result.Code != 0 {
		t.Fatalf("the first change was refused: %v", result)
	}
	if result := h.propose(second); rescode.Code(result.Code) != rescode.RevisionConflict {
		t.Errorf("the second change got %v, want %s", result, rescode.RevisionConflict)
	}
	if _, ok := h.store.View().Teams["t3"]; ok {
		t.Error("the refused change was applied")
	}
}

// awaitTokenKey waits until the leader has initialized the cluster.
func (h *harness) awaitTokenKey() {
	h.t.Helper()
	for len(h.store.View().TokenKey) == 0 {
		select {
		case <-h.ctx.Done():
			h.t.Fatal("the leader has not initialized the cluster")
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against a change that is applied twice because its answer was lost.
func TestResentChangeReturnsFirstResult(t *testing.T) {
	h := newHarness(t)
	c := putTeam("t1")
	c.RequestId = "same"
	first := h.propose(c)
	h.propose(putTeam("t2"))
	again := h.propose(c)
	if again.Revision != first.Revision || again.Code != 0 {
		t.Errorf("the resent change got %v, want the first result %v", again, first)
	}
}

// Guards against operators' calls without a valid credential, and against operators'
// commands that only the leader may propose.
func TestProposalAuthorization(t *testing.T) {
	h := newHarness(t)
	fence := &controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: "g1", Term: 1}}}
	tests := []struct {
		name       string
		credential string
		command    *controlpb.Command
		want       rescode.Code
	}{
		{"none", "", putTeam("t1"), rescode.OperatorCredentialWrong},
		{"wrong", "operatoR", putTeam("t1"), rescode.OperatorCredentialWrong},
		{"announcement credential", announcementCredential, putTeam("t1"), rescode.OperatorCredentialWrong},
		{"reserved", operatorCredential, fence, rescode.InvalidCommand},
		{"right", operatorCredential, putTeam("t1"), rescode.OK},
	}
	for _, tt := range tests {
		ctx := metadata.AppendToOutgoingContext(h.ctx, authorizationKey, bearerPrefix+tt.credential)
		reply, err := h.client.Propose(ctx, &controlpb.ProposeRequest{Command: tt.command})
		if err != nil {
			t.Fatal(err)
		}
		if got := rescode.Code(reply.Result.Code); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// Guards against secrets in the answer of Show.
func TestShowReturnsNoSecret(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	h.propose(putTeam("t1"))
	key := &controlpb.Key{Id: "k", StoredKey: []byte("stored-key"), ServerKey: []byte("server-key")}
	h.propose(&controlpb.Command{Change: &controlpb.Command_PutKey{PutKey: &controlpb.PutKey{Team: "t1", Key: key}}})
	reply, err := h.client.Show(h.operatorContext(), &controlpb.ShowRequest{})
	if err != nil {
		t.Fatal(err)
	}
	text := reply.String()
	if strings.Contains(text, "stored-key") || strings.Contains(text, "server-key") || len(reply.State.TokenKey) > 0 {
		t.Errorf("Show returned a secret: %s", text)
	}
	if _, ok := reply.State.Teams["t1"].Keys["k"]; !ok {
		t.Error("Show does not name the key")
	}
}

func (h *harness) announce(address, state string) (int, announcementReply) {
	h.t.Helper()
	body := fmt.Sprintf(`{"service": "s", "group": "g1", "address": %q, "state": %q, "connection_limit": 25}`, address, state)
	return h.post(announcementCredential, body)
}

func (h *harness) post(credential, body string) (int, announcementReply) {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.ctx, http.MethodPost, h.http.URL+"/v1/upstreams", strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Header.Set("Authorization", bearerPrefix+credential)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	var reply announcementReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		h.t.Fatal(err)
	}
	return response.StatusCode, reply
}

// Guards against announcements that are lost, applied again on each repetition, or
// accepted without the credential.
func TestAnnouncements(t *testing.T) {
	h := newHarness(t)
	if status, reply := h.announce("127.0.0.1:1", "joining"); status != http.StatusOK {
		t.Fatalf("joining was answered with %d %v", status, reply)
	}
	before := h.store.Revision()
	h.announce("127.0.0.1:1", "joining")
	if got := h.store.View().Upstreams["127.0.0.1:1"]; got == nil || got.ConnectionLimit != 25 {
		t.Errorf("announced upstream: %v", got)
	}
	h.announce("127.0.0.1:1", "leaving")
	if got := h.store.View().Upstreams["127.0.0.1:1"].State; got != controlpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		t.Errorf("state after leaving: %s", got)
	}
	for _, e := range h.store.View().Events {
		if e.Subject == "127.0.0.1:1" && e.Revision > before && strings.Contains(e.Text, "joining") {
			t.Error("a repeated announcement was written to the log")
		}
	}
	if status, _ := h.post("wrong", `{}`); status != http.StatusForbidden {
		t.Errorf("wrong credential: status %d", status)
	}
	for _, bad := range []string{`{`, `{"x": 1}`, `{"address": "nowhere", "state": "joining"}`, `{"address": "127.0.0.1:1", "state": "sleeping"}`} {
		if status, _ := h.post(announcementCredential, bad); status != http.StatusBadRequest {
			t.Errorf("announcement %s: status %d", bad, status)
		}
	}
}

// Guards against revisions that grow although nothing changed: two control VMs that get
// the announcement of an upstream at the same time both propose it.
func TestRepeatedAnnouncementChangesNothing(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	h.announce("127.0.0.1:1", "joining")
	announced := &controlpb.AnnounceUpstream{Service: "s", Upstream: &controlpb.Upstream{
		Address: "127.0.0.1:1", Group: "g1", ConnectionLimit: 25,
	}}
	var results []*controlpb.CommandResult
	for range 2 {
		result, err := h.replica.Propose(h.ctx, &controlpb.Command{
			Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: announced},
		})
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, result)
	}
	events := 0
	for _, e := range h.store.View().Events {
		if e.Subject == "127.0.0.1:1" {
			events++
		}
	}
	if events != 1 || results[0].Code != 0 {
		t.Errorf("%d events about the upstream, want 1; result %v", events, results[0])
	}
}
