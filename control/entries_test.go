package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/control/probe"
)

const goodAddress = "127.0.0.1:1"

// goodAnnouncement returns the announcement of an upstream.
func goodAnnouncement() *controlpb.AnnounceUpstream {
	return &controlpb.AnnounceUpstream{Service: "s", Upstream: &controlpb.Upstream{
		Address: goodAddress, Group: "g1", ConnectionLimit: 25,
	}}
}

// announceOverHTTP sends a joining announcement as a script of the platform does.
func (h *harness) announceOverHTTP(a *controlpb.AnnounceUpstream) rescode.Code {
	h.t.Helper()
	body, err := json.Marshal(announcement{
		Service: a.Service, Group: a.Upstream.Group, Address: a.Upstream.Address, Place: a.Upstream.Place,
		State: "joining", ConnectionLimit: a.Upstream.ConnectionLimit,
	})
	if err != nil {
		h.t.Fatal(err)
	}
	_, reply := h.post(announcementCredential, string(body))
	return rescode.Code(reply.Code)
}

// announceOverGRPC proposes an announcement as a control VM does that does not lead.
func (h *harness) announceOverGRPC(a *controlpb.AnnounceUpstream) rescode.Code {
	h.t.Helper()
	ctx := metadata.AppendToOutgoingContext(h.ctx, authorizationKey, bearerPrefix+announcementCredential)
	command := &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: a}}
	reply, err := h.client.Propose(ctx, &controlpb.ProposeRequest{Command: command})
	if err != nil {
		h.t.Fatal(err)
	}
	return rescode.Code(reply.Result.Code)
}

// wantRefused fails the test unless an odd announcement is refused over HTTP and over gRPC and leaves the
// state as it is.
func (h *harness) wantRefused(name string, odd *controlpb.AnnounceUpstream) {
	h.t.Helper()
	before := h.store.View()
	if got := h.announceOverHTTP(odd); got != rescode.InvalidCommand {
		h.t.Errorf("%q over HTTP: %s, want %s", name, got, rescode.InvalidCommand)
	}
	if got := h.announceOverGRPC(odd); got != rescode.InvalidCommand {
		h.t.Errorf("%q over gRPC: %s, want %s", name, got, rescode.InvalidCommand)
	}
	if after := h.store.View(); !proto.Equal(&controlpb.FleetState{Upstreams: after.Upstreams, Groups: after.Groups},
		&controlpb.FleetState{Upstreams: before.Upstreams, Groups: before.Groups}) {
		h.t.Errorf("%q is in the state", name)
	}
}

// Guards against entries that nobody can dial or that stand for the control VM itself, and against text
// that ends a field of a message to an upstream or of an operator's terminal.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	for _, address := range []string{
		"", ":5432", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:postgresql", "10.0.0.1:05432",
		"10.0.0.01:5432", "0.0.0.0:5432", "[::]:5432", "224.0.0.1:5432", "[::ffff:10.0.0.1]:5432", "[::1%lo]:5432",
		"/var/run/postgresql:5432", "10.0.0.1,10.0.0.2:5432", "DB1.example:5432", "db1.example.:5432", "db\x001:5432", "db1\n:5432",
		"db1 sslmode=disable:5432", "db\ufffd:5432", strings.Repeat("x", 300) + ":5432",
	} {
		odd := goodAnnouncement()
		odd.Upstream.Address = address
		h.wantRefused("address "+address, odd)
	}
	for _, text := range []string{
		"", " ", "a\x00user\x00postgres", "a\r\nb", "a\x1b[2J", "a b", "a\ufffd", "a\u202e", strings.Repeat("x", 300),
	} {
		odd := goodAnnouncement()
		odd.Service = text
		h.wantRefused("service "+text, odd)
		odd = goodAnnouncement()
		odd.Upstream.Group = text
		h.wantRefused("group "+text, odd)
	}
	for _, text := range []string{"a\x00b", "a\r\nb", "a\x1b[2J", "a\ufffd", strings.Repeat("x", 300)} {
		odd := goodAnnouncement()
		odd.Upstream.Place = text
		h.wantRefused("place "+text, odd)
	}
	for _, address := range []string{goodAddress, "[::1]:5432", "db-1.kef_a.example:65535", "localhost:1", "10-0-0-1.example:1"} {
		good := goodAnnouncement()
		good.Upstream.Address, good.Upstream.Place = address, "hafnarfjörður 2"
		if got := h.announceOverHTTP(good); got != rescode.OK {
			t.Errorf("%s was refused: %s", address, got)
		}
	}
}

// Guards against a group without a primary for good, because one server is in the list twice and so seems
// to be two primaries.
func TestOtherSpellingOfAddressDoesNotHideThePrimary(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	spellings := []string{"127.0.0.1:01", goodAddress}
	for _, address := range spellings {
		h.upstreams.Update(address, func(s *probe.FakeServer) { s.Down = true })
		announced := goodAnnouncement()
		announced.Upstream.Address = address
		h.announceOverHTTP(announced)
	}
	// The next leader probes both before it adopts a primary.
	h.replica.SetLeading(false)
	for _, address := range spellings {
		h.upstreams.Update(address, func(s *probe.FakeServer) { s.Down = false })
	}
	h.replica.SetLeading(true)
	h.awaitPrimary()
}

// awaitPrimary fails the test unless the good upstream becomes the primary of its group.
func (h *harness) awaitPrimary() {
	h.t.Helper()
	const wait = 5 * time.Second
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if h.store.View().Groups["g1"].GetPrimary() == goodAddress {
			return
		}
	}
	h.t.Errorf("no primary within %s: %v", wait, h.store.View().Groups["g1"])
}

// Guards against a group whose upstreams are refused for good, because an odd announcement came first and
// gave the group another service.
func TestOddServiceDoesNotKeepTheGroup(t *testing.T) {
	h := newHarness(t)
	odd := goodAnnouncement()
	odd.Service, odd.Upstream.Address = "s\x00", "127.0.0.1:2"
	h.announceOverHTTP(odd)
	if status, reply := h.announce(goodAddress, "joining"); status != http.StatusOK {
		t.Errorf("the good upstream got %d %q", status, reply.Message)
	}
}

// Guards against an upstream that an earlier version took in and that can no longer be changed or leave.
func TestKnownUpstreamMayLeave(t *testing.T) {
	h := newHarness(t)
	known := goodAnnouncement()
	known.Upstream.Address = "DB1.example:5432"
	command := &controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: known}}
	if result, err := h.replica.Propose(h.ctx, command); err != nil || result.Code != 0 {
		t.Fatal(result, err)
	}
	if status, reply := h.announce(known.Upstream.Address, "leaving"); status != http.StatusOK {
		t.Errorf("leaving got %d %q", status, reply.Message)
	}
	if got := h.store.View().Upstreams[known.Upstream.Address].State; got != controlpb.UpstreamState_UPSTREAM_STATE_LEAVING {
		t.Errorf("state after leaving: %s", got)
	}
}

// Guards against an upstream that gets no connections at all, or more than any server has, because its
// announcement lacks the number of connections or has a wrong one.
func TestOddConnectionLimitsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	if status, reply := h.announce(goodAddress, "joining"); status != http.StatusOK {
		t.Fatal(status, reply)
	}
	for _, limit := range []uint32{0, maxConnectionLimit + 1, math.MaxUint32} {
		odd := goodAnnouncement()
		odd.Upstream.ConnectionLimit = limit
		h.wantRefused(fmt.Sprintf("limit %d", limit), odd)
	}
	for _, limit := range []string{"", "null", "-1", "4294967296", "1e30", "2.5", `"25"`, "[[25]]", strings.Repeat("[", 4000)} {
		body := `{"service": "s", "group": "g1", "address": "` + goodAddress + `", "state": "joining"`
		if limit != "" {
			body += `, "connection_limit": ` + limit
		}
		if status, _ := h.post(announcementCredential, body+"}"); status != http.StatusBadRequest {
			t.Errorf("limit %.20q: status %d, want %d", limit, status, http.StatusBadRequest)
		}
	}
	if got := h.store.View().Upstreams[goodAddress].ConnectionLimit; got != 25 {
		t.Errorf("the upstream's limit is %d, want 25", got)
	}
	good := goodAnnouncement()
	good.Upstream.ConnectionLimit = maxConnectionLimit
	if got := h.announceOverHTTP(good); got != rescode.OK {
		t.Errorf("limit %d: %s", maxConnectionLimit, got)
	}
}

// Guards against a primary that is shut out for good by an announcement of a state that only the leader may
// set: a diverged upstream serves nothing and cannot announce itself back.
func TestAnnouncedStateIsJoiningOrLeaving(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	h.announceOverHTTP(goodAnnouncement())
	for _, state := range []controlpb.UpstreamState{controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED, 99, -1} {
		odd := goodAnnouncement()
		odd.Upstream.State = state
		if got := h.announceOverGRPC(odd); got != rescode.InvalidCommand {
			t.Errorf("state %s: %s, want %s", state, got, rescode.InvalidCommand)
		}
		if got := h.announceOverGRPC(goodAnnouncement()); got != rescode.OK {
			t.Errorf("the good announcement after state %s: %s", state, got)
		}
	}
	h.announceOverHTTP(goodAnnouncement())
	if got := h.store.View().Upstreams[goodAddress].State; got != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
		t.Errorf("the upstream is %s", got)
	}
}

// Guards against an announcement of which readers understand different things: the text behind it is ignored,
// or one of two values holds. The last value of a name, whatever its case, used to hold.
func TestAmbiguousAnnouncementsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	const good = `{"service": "s", "group": "g1", "address": "127.0.0.1:1", "state": "joining", "connection_limit": 25}`
	for _, body := range []string{
		good + good, good + "]", good + " x", strings.Replace(good, "{", `{"address": "127.0.0.1:2", `, 1),
		strings.Replace(good, "}", `, "connection_limit": 1}`, 1), strings.Replace(good, "}", `, "ADDRESS": "127.0.0.1:2"}`, 1),
		strings.Replace(good, "}", `, "\u017ftate": "leaving"}`, 1), strings.Replace(good, "service", "Service", 1),
		strings.Replace(good, "}", `, "slots": 1}`, 1), "", "null", "[" + good + "]", good[:len(good)-1], strings.Repeat("[", 4000),
		`{"service": ` + strings.Repeat(`{"a": `, 500), good + strings.Repeat(" ", maxAnnouncementBytes),
		strings.Replace(good, "s", "\xff", 1), strings.Replace(good, `"s"`, `"\ud800"`, 1), strings.Replace(good, `"s"`, "null", 1),
	} {
		if status, _ := h.post(announcementCredential, body); status != http.StatusBadRequest {
			t.Errorf("%.150q: status %d, want %d", body, status, http.StatusBadRequest)
		}
	}
	if got := h.store.View().Upstreams; len(got) != 0 {
		t.Errorf("the state has %v", got)
	}
	if status, reply := h.post(announcementCredential, " "+good+"\r\n"); status != http.StatusOK {
		t.Errorf("a good announcement got %d %q", status, reply.Message)
	}
}

// Guards against an operator's call with odd names, numbers or fields that ends the process, stops the changes
// to proxies or the snapshot, or hides the teams and upstreams that are right.
func TestOddOperatorCommandsStopNothing(t *testing.T) {
	h := newHarness(t)
	proxy := h.connectProxy("p1")
	h.propose(putTeam("good"))
	large := strings.Repeat("x", maxCommandBytes)
	for name, odd := range map[string]*controlpb.Command{
		"nothing":           nil,
		"no change":         {},
		"empty team":        {Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{}}},
		"large team":        putTeam(large),
		"empty key":         {Change: &controlpb.Command_PutKey{PutKey: &controlpb.PutKey{Team: "good"}}},
		"empty service":     {Change: &controlpb.Command_PutService{PutService: &controlpb.Service{}}},
		"large service":     {Change: &controlpb.Command_PutService{PutService: &controlpb.Service{Name: "s", SlotGroups: []string{large}}}},
		"empty route":       {Change: &controlpb.Command_PutRoute{PutRoute: &controlpb.Route{}}},
		"empty upstream":    {Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{}}},
		"removal of nobody": {Change: &controlpb.Command_RemoveTeam{RemoveTeam: &controlpb.RemoveTeam{Name: "a\x00b"}}},
		"negative rate":     putLimits("odd", -1, 1),
		"no number":         putLimits("odd", 1, math.NaN()),
		"infinite rate":     putLimits("odd", math.Inf(1), 1),
		"large rate":        putLimits("odd", math.MaxFloat64, 1),
	} {
		if result := h.propose(odd); result.GetCode() == 0 {
			t.Errorf("%s was accepted", name)
		}
	}
	// These are names all the same, and no other caller can have them.
	for _, name := range []string{"a\x00b", "a\r\nb", "\x1b[2J", " ", strings.Repeat("x", 4096)} {
		h.propose(putTeam(name))
		h.propose(&controlpb.Command{Change: &controlpb.Command_PutService{PutService: &controlpb.Service{Name: name, SlotGroups: []string{name, ""}}}})
		h.propose(&controlpb.Command{Change: &controlpb.Command_PutRoute{PutRoute: &controlpb.Route{
			Name: name, Service: name, DeadlineMs: math.MaxUint32, Read: true, MaxAgeMs: math.MaxUint32}}})
	}
	h.propose(putTeam("last"))
	proxy.reportUntil(func(u *controlpb.Update) bool {
		return slices.ContainsFunc(u.Changes, func(c *controlpb.Change) bool { return c.Command.GetPutTeam().GetName() == "last" })
	})
	state, err := h.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewStore(func(StoreEvent) {})
	if err := restored.Restore(state); err != nil || !proto.Equal(restored.View(), h.store.View()) {
		t.Errorf("the snapshot cannot be restored: %v", err)
	}
}

func putLimits(name string, rate, burst float64) *controlpb.Command {
	team := &controlpb.Team{Name: name, Rate: rate, Burst: burst}
	return &controlpb.Command{Change: &controlpb.Command_PutTeam{PutTeam: team}}
}

// Guards against text that is not UTF-8 on its way into the log: protobuf refuses to encode it there, in the
// snapshot and in the changes to proxies. Only a writer in another language sends it.
func TestTextThatIsNotUTF8IsRefused(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	conn, err := grpc.NewClient(h.target, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodecV2(rawCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request, err := proto.Marshal(&controlpb.ProposeRequest{Command: putTeam("name")})
	if err != nil {
		t.Fatal(err)
	}
	request = bytes.Replace(request, []byte("name"), []byte("nam\xff"), 1)
	if err := conn.Invoke(h.operatorContext(), controlpb.Control_Propose_FullMethodName, request, new([]byte)); err == nil {
		t.Error("the command was accepted")
	}
	if got := h.store.View().Teams; len(got) != 0 {
		t.Errorf("the state has %v", got)
	}
	if result := h.propose(putTeam("good")); result.Code != 0 {
		t.Errorf("the next command got %v", result)
	}
}

// rawCodec sends and receives encoded messages.
type rawCodec struct{}

func (rawCodec) Name() string { return "proto" }

func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	return mem.BufferSlice{mem.SliceBuffer(v.([]byte))}, nil
}

func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	*v.(*[]byte) = data.Materialize()
	return nil
}

// Guards against odd entries that an earlier version has committed: applying them must stop neither the changes
// to proxies nor the snapshot, and the primary of their group must be found.
func TestCommittedOddEntriesStopNothing(t *testing.T) {
	h := newHarness(t)
	proxy := h.connectProxy("p1")
	h.upstreams.Update(goodAddress, func(s *probe.FakeServer) { s.LSN = 100 })
	for _, address := range []string{":1", "10.0.0.1:65536", "10.0.0.1:-1", "a\x00b:1", "\x1b[2J:1", "nowhere", strings.Repeat("x", 4096)} {
		h.upstreams.Update(address, func(s *probe.FakeServer) { s.Down = true })
		odd := goodAnnouncement()
		odd.Upstream.Address, odd.Upstream.Place, odd.Upstream.State = address, "a\x00b\n", 99
		odd.Upstream.ConnectionLimit = math.MaxUint32
		h.apply(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: odd}})
	}
	h.apply(&controlpb.Command{})
	h.apply(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{}}})
	if got := h.announceOverHTTP(goodAnnouncement()); got != rescode.OK {
		t.Errorf("the good announcement: %s", got)
	}
	h.awaitPrimary()
	proxy.reportUntil(func(u *controlpb.Update) bool { return len(u.PrimaryLeases) == 1 })
	state, err := h.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := NewStore(func(StoreEvent) {}).Restore(state); err != nil {
		t.Errorf("the snapshot cannot be restored: %v", err)
	}
}

// apply puts a command into the log without the check of calls.
func (h *harness) apply(c *controlpb.Command) {
	h.t.Helper()
	if _, err := h.replica.Propose(h.ctx, c); err != nil {
		h.t.Fatal(err)
	}
}

// Guards against a new group whose upstreams are refused for good, because an announcement with the name of
// another service came first. Nothing removes a group.
func TestGroupBelongsToTheServiceThatUsesIt(t *testing.T) {
	h := newHarness(t)
	h.connectProxy("p1")
	for _, service := range []*controlpb.Service{
		{Name: "s", SlotGroups: []string{"g0", "g1"}},
		{Name: "r", SlotGroups: []string{"g1"}},
		{Name: "other", SlotGroups: []string{"g0"}},
	} {
		if result := h.propose(&controlpb.Command{Change: &controlpb.Command_PutService{PutService: service}}); result.Code != 0 {
			t.Fatal(result)
		}
	}
	for _, name := range []string{"S", "other"} {
		odd := goodAnnouncement()
		odd.Service, odd.Upstream.Address = name, "127.0.0.1:2"
		h.wantRefused("service "+name, odd)
	}
	if status, reply := h.announce(goodAddress, "joining"); status != http.StatusOK {
		t.Errorf("the good upstream got %d %q", status, reply.Message)
	}
}
