package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// drawCommand draws a command over few names, so that many commands concern the same
// object.
func drawCommand(t *rapid.T) *controlpb.Command {
	name := func(kind string) string {
		return kind + fmt.Sprint(rapid.IntRange(0, 2).Draw(t, kind))
	}
	term := rapid.Uint64Range(0, 6).Draw(t, "term")
	lsn := rapid.Uint64Range(0, 50).Draw(t, "lsn")
	c := &controlpb.Command{UnixMs: int64(lsn), Actor: name("actor")}
	switch rapid.IntRange(0, 16).Draw(t, "kind") {
	case 0:
		c.Change = &controlpb.Command_InitializeCluster{InitializeCluster: &controlpb.InitializeCluster{TokenKey: []byte("k")}}
	case 1:
		c.Change = &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: name("team"), Rate: float64(lsn), Burst: 1}}
	case 2:
		c.Change = &controlpb.Command_RemoveTeam{RemoveTeam: &controlpb.RemoveTeam{Name: name("team")}}
	case 3:
		key := &controlpb.Key{Id: name("key"), StoredKey: []byte("s"), ServerKey: []byte("v")}
		c.Change = &controlpb.Command_PutKey{PutKey: &controlpb.PutKey{Team: name("team"), Key: key}}
	case 4:
		c.Change = &controlpb.Command_WithdrawKey{WithdrawKey: &controlpb.WithdrawKey{Team: name("team"), KeyId: name("key")}}
	case 5:
		c.Change = &controlpb.Command_PutService{PutService: &controlpb.Service{Name: name("service"), SlotGroups: []string{name("group")}}}
	case 6:
		c.Change = &controlpb.Command_RemoveService{RemoveService: &controlpb.RemoveService{Name: name("service")}}
	case 7:
		c.Change = &controlpb.Command_PutRoute{PutRoute: &controlpb.Route{Name: name("route"), Service: name("service")}}
	case 8:
		c.Change = &controlpb.Command_RemoveRoute{RemoveRoute: &controlpb.RemoveRoute{Name: name("route")}}
	case 9:
		u := &controlpb.Upstream{Address: name("upstream"), Group: name("group"), State: controlpb.UpstreamState(term % 2)}
		c.Change = &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{Upstream: u, Service: name("service")}}
	case 10:
		c.Change = &controlpb.Command_RemoveUpstream{RemoveUpstream: &controlpb.RemoveUpstream{Address: name("upstream")}}
	case 11:
		c.Change = &controlpb.Command_RegisterProxy{RegisterProxy: &controlpb.ProxyMember{Name: name("proxy")}}
	case 12:
		c.Change = &controlpb.Command_RemoveProxy{RemoveProxy: &controlpb.RemoveProxy{Name: name("proxy")}}
	case 13:
		c.Change = &controlpb.Command_AdoptPrimary{AdoptPrimary: &controlpb.AdoptPrimary{Group: name("group"), Address: name("upstream"), StartLsn: lsn}}
	case 14:
		c.Change = &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{
			Group: name("group"), Term: term, Switchover: lsn%2 == 0}}
	case 15:
		c.Change = &controlpb.Command_BeginPromotion{BeginPromotion: &controlpb.BeginPromotion{
			Group: name("group"), Candidate: name("upstream"), Term: term, Switchover: lsn%3 > 0, CandidateLsn: lsn}}
	default:
		c.Change = &controlpb.Command_CompletePromotion{CompletePromotion: &controlpb.CompletePromotion{
			Group: name("group"), Primary: name("upstream"), Term: term, StartLsn: lsn, Timeline: uint32(term)}}
	}
	return c
}

// proxyCopy returns what a proxy holds of a state.
func proxyCopy(s *State) *controlpb.FleetState {
	copied := s.CopyForProxies()
	copied.AppliedIndex = 0
	return copied
}

// TestReplicatedStatesStayEqual guards against control VMs or proxies that differ after
// the same commands: through map order, a snapshot in between, or a field that
// CopyForProxies leaves out and a command depends on. It also checks that terms never
// decrease, that no primary has diverged, that a switchover ends with its term and that
// every change raises the revision.
func TestReplicatedStatesStayEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		proxy := FromProto(a.CopyForProxies())
		for i := range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := drawCommand(t)
			c.RequestId = rapid.SampledFrom([]string{"", "", fmt.Sprint(i), "resent"}).Draw(t, "request")
			c.ExpectedRevision = rapid.SampledFrom([]uint64{0, 0, 0, a.Revision(), a.Revision() + 1}).Draw(t, "expected")
			before := proto.Clone(a.Proto()).(*controlpb.FleetState)
			result := a.Apply(uint64(i+1), c)
			b.Apply(uint64(i+1), proto.Clone(c).(*controlpb.Command))
			switch rapid.IntRange(0, 9).Draw(t, "copy") {
			case 0:
				b = marshalAndReload(t, b)
			case 1:
				proxy = FromProto(before)
				proxy = FromProto(proxy.CopyForProxies())
			}
			if a.Revision() > before.Revision && !proxy.ApplyChange(&controlpb.Change{Revision: a.Revision(), Command: c}) {
				t.Fatalf("the proxy refused what the leader applied: %v", c)
			}
			if !proto.Equal(a.Proto(), b.Proto()) {
				t.Fatalf("states differ after %v", c)
			}
			if !proto.Equal(proxyCopy(a), proxyCopy(proxy)) {
				t.Fatalf("the proxy's state differs after %v", c)
			}
			checkInvariants(t, before, a.Proto(), result)
		}
	})
}

func marshalAndReload(t *rapid.T, s *State) *State {
	data, err := proto.Marshal(s.Proto())
	if err != nil {
		t.Fatal(err)
	}
	pb := &controlpb.FleetState{}
	if err := proto.Unmarshal(data, pb); err != nil {
		t.Fatal(err)
	}
	return FromProto(pb)
}

func checkInvariants(t *rapid.T, before, after *controlpb.FleetState, result *controlpb.CommandResult) {
	if after.Revision == before.Revision && !proto.Equal(withoutResults(before), withoutResults(after)) {
		t.Fatalf("the state changed without a revision: %v", result)
	}
	for name, g := range after.Groups {
		old := before.Groups[name]
		if g.Term < old.GetTerm() || (g.Term == old.GetTerm() && g.Primary != old.GetPrimary()) {
			t.Fatalf("group %s went from term %d of %s to term %d of %s", name, old.Term, old.Primary, g.Term, g.Primary)
		}
		if g.Switchover && g.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
			t.Fatalf("group %s is healthy and in a switchover", name)
		}
		u := after.Upstreams[g.Primary]
		if g.Primary != "" && (u.GetGroup() != name || u.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED) {
			t.Fatalf("the primary of %s is %v", name, u)
		}
	}
}

func withoutResults(pb *controlpb.FleetState) *controlpb.FleetState {
	copied := proto.Clone(pb).(*controlpb.FleetState)
	copied.Results, copied.AppliedIndex = nil, 0
	return copied
}

// TestResentCommandIsAppliedOnce guards against a command that is applied again when its
// sender repeats it, also after a snapshot.
func TestResentCommandIsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		c := &controlpb.Command{RequestId: "r", Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: "a", Rate: 1}}}
		first := proto.Clone(s.Apply(1, c)).(*controlpb.CommandResult)
		other := proto.Clone(c).(*controlpb.Command)
		other.RequestId, other.GetPutTeam().Rate = "s", 2
		s.Apply(2, other)
		if rapid.Bool().Draw(t, "snapshot") {
			s = marshalAndReload(t, s)
		}
		if again := s.Apply(3, c); !proto.Equal(first, again) || s.Revision() != 2 || s.Proto().Teams["a"].Rate != 2 {
			t.Fatalf("resent: %v, first: %v", again, first)
		}
	})
}

// TestConflictingExpectedRevisions guards against two operators who both change the state
// that they read at the same revision.
func TestConflictingExpectedRevisions(t *testing.T) {
	s := New()
	put := func(request string, rate float64) *controlpb.CommandResult {
		return s.Apply(1, &controlpb.Command{RequestId: request, ExpectedRevision: 1,
			Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: "a", Rate: rate}}})
	}
	s.Apply(1, &controlpb.Command{Change: &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: "a"}}})
	first, second := put("x", 1), put("y", 2)
	if first.Code != 0 || second.Code != uint32(rescode.RevisionConflict) || s.Proto().Teams["a"].Rate != 1 {
		t.Fatalf("first %v, second %v", first, second)
	}
}

// TestReadmissionOfDivergedUpstream guards against a replaced primary, or an abandoned
// candidate, that is used again because it announces itself or because of an old probe.
func TestReadmissionOfDivergedUpstream(t *testing.T) {
	s := New()
	apply := func(c *controlpb.Command) uint32 { return s.Apply(1, c).Code }
	announce := func(address string) uint32 {
		return apply(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
			Service: "v", Upstream: &controlpb.Upstream{Address: address, Group: "g"}}}})
	}
	begin := func(address string, term uint64) {
		apply(&controlpb.Command{Change: &controlpb.Command_BeginPromotion{BeginPromotion: &controlpb.BeginPromotion{
			Group: "g", Candidate: address, Term: term}}})
	}
	readmit := func(address string, term uint64) uint32 {
		return apply(&controlpb.Command{Change: &controlpb.Command_ReadmitUpstream{ReadmitUpstream: &controlpb.ReadmitUpstream{
			Address: address, Term: term}}})
	}
	for _, address := range []string{"a", "b", "c"} {
		announce(address)
	}
	apply(&controlpb.Command{Change: &controlpb.Command_AdoptPrimary{AdoptPrimary: &controlpb.AdoptPrimary{Group: "g", Address: "a"}}})
	apply(&controlpb.Command{Change: &controlpb.Command_FenceGroup{FenceGroup: &controlpb.FenceGroup{Group: "g", Term: 1}}})
	begin("b", 2)
	begin("c", 3)
	if readmit("b", 1) == 0 {
		t.Error("b was readmitted during a promotion")
	}
	apply(&controlpb.Command{Change: &controlpb.Command_CompletePromotion{CompletePromotion: &controlpb.CompletePromotion{
		Group: "g", Primary: "c", Term: 3}}})
	for _, address := range []string{"a", "b"} {
		if announce(address) == 0 || readmit(address, 1) == 0 {
			t.Errorf("%s was readmitted by an announcement or for term 1", address)
		}
		if got := s.Proto().Upstreams[address].State; got != controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
			t.Errorf("%s is %v", address, got)
		}
		if readmit(address, 3) != 0 || s.Proto().Upstreams[address].State != controlpb.UpstreamState_UPSTREAM_STATE_JOINING {
			t.Errorf("%s was not readmitted in term 3", address)
		}
	}
}

// FuzzApply guards against a panic on any command that can be decoded, and against
// a refused command that changes the state.
func FuzzApply(f *testing.F) {
	for i := range 40 {
		seed := rapid.Custom(drawCommand).Example(i)
		if data, err := proto.Marshal(seed); err == nil {
			f.Add(data, data)
		}
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := New()
		for i, data := range [][]byte{first, second} {
			c := &controlpb.Command{}
			if proto.Unmarshal(data, c) != nil {
				return
			}
			before := withoutResults(s.Proto())
			if s.Apply(uint64(i+1), c).Code != 0 && !proto.Equal(before, withoutResults(s.Proto())) {
				t.Fatalf("a refused command changed the state: %v", c)
			}
			New().ApplyChange(&controlpb.Change{Revision: 1, Command: c})
			New().ApplyChange(&controlpb.Change{Revision: 1})
		}
	})
}
