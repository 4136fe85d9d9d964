package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// objects says how many of each a benchmark's state holds.
type objects struct {
	teams, keys, services, routes, groups, upstreams, proxies int
}

// inTwoYears is the state at the size of section 1.6 of the design: 1,600
// databases of 3 servers, 1,200 proxies; 2,000 teams of 2 keys, 400 services and
// 2,000 routes are assumed.
var inTwoYears = objects{teams: 2000, keys: 2, services: 400, routes: 2000, groups: 1600, upstreams: 4800, proxies: 1200}

// stateOf returns a state whose names and addresses have usual lengths.
func stateOf(n objects) *State {
	pb := &controlpb.FleetState{TokenKey: make([]byte, 32)}
	fillMaps(pb)
	for i := range n.teams {
		team := &controlpb.Team{Name: fmt.Sprintf("team-%05d", i), Rate: 100, Burst: 50, ScramSalt: make([]byte, 16), ScramIterations: 4096, Keys: map[string]*controlpb.Key{}}
		for k := range n.keys {
			id := fmt.Sprintf("key%08d", k)
			team.Keys[id] = &controlpb.Key{Id: id, StoredKey: make([]byte, 32), ServerKey: make([]byte, 32)}
		}
		pb.Teams[team.Name] = team
	}
	for i := range n.services {
		service := &controlpb.Service{Name: fmt.Sprintf("service-%04d", i)}
		for slot := range 9 {
			service.SlotGroups = append(service.SlotGroups, fmt.Sprintf("service-%04d-%d", i, slot/3))
		}
		pb.Services[service.Name] = service
	}
	for i := range n.routes {
		name := fmt.Sprintf("route-%05d", i)
		pb.Routes[name] = &controlpb.Route{Name: name, Service: "service-0001", Read: true, Idempotent: true, MaxAgeMs: 5000}
	}
	for i := range n.groups {
		name := fmt.Sprintf("service-%04d-0", i)
		group := &controlpb.Group{Name: name, Service: "service-0001", Term: 4, Primary: "10.20.30.40:5432"}
		for term := range 4 {
			group.History = append(group.History, &controlpb.TermStart{Term: uint64(term + 1), StartLsn: 1 << 40, Timeline: uint32(term + 1)})
		}
		pb.Groups[name] = group
	}
	for i := range n.upstreams {
		address := fmt.Sprintf("10.%d.%d.10:5432", i/200, i%200)
		pb.Upstreams[address] = &controlpb.Upstream{Address: address, Group: fmt.Sprintf("service-%04d-0", i/3), Place: "place-01", ConnectionLimit: 100}
	}
	for i := range n.proxies {
		name := fmt.Sprintf("proxy-%04d", i)
		pb.Proxies[name] = &controlpb.ProxyMember{Name: name, Number: uint32(i + 1), PeeringAddress: "10.20.30.40:7441", Place: "place-01"}
	}
	return FromProto(pb)
}

// kinds maps each kind of object to a state of 1,000 of them.
var kinds = map[string]struct{ with, without objects }{
	"team":     {objects{teams: 1000}, objects{}},
	"key":      {objects{teams: 1000, keys: 1}, objects{teams: 1000}},
	"service":  {objects{services: 1000}, objects{}},
	"route":    {objects{routes: 1000}, objects{}},
	"group":    {objects{groups: 1000}, objects{}},
	"upstream": {objects{upstreams: 1000}, objects{}},
	"proxy":    {objects{proxies: 1000}, objects{}},
}

func copyBytes(n objects) int { return proto.Size(stateOf(n).CopyForProxies()) }

func bytesOf(kind string) float64 {
	return float64(copyBytes(kinds[kind].with)-copyBytes(kinds[kind].without)) / 1000
}

// BenchmarkObjectBytes reports the bytes of each kind of object in a full copy.
// A snapshot holds the same plus results and events.
func BenchmarkObjectBytes(b *testing.B) {
	for kind := range kinds {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesOf(kind), "bytes/object")
			}
		})
	}
}

// Guards against objects that grow unnoticed, which every full copy and snapshot
// pays for. The largest object of all kinds is a service of 9 slots.
func TestObjectBytes(t *testing.T) {
	const most = 256
	for kind := range kinds {
		if got := bytesOf(kind); got > most {
			t.Errorf("a %s takes %.0f bytes of a full copy, at most %d are allowed", kind, got, most)
		}
	}
}

// BenchmarkFullCopy measures what a full copy costs the leader.
func BenchmarkFullCopy(b *testing.B) {
	s := stateOf(inTwoYears)
	var size int
	for b.Loop() {
		data, err := proto.Marshal(s.CopyForProxies())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/copy")
}

// BenchmarkReadFullCopy measures what a full copy costs a proxy.
func BenchmarkReadFullCopy(b *testing.B) {
	data, err := proto.Marshal(stateOf(inTwoYears).CopyForProxies())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var pb controlpb.FleetState
		if err := proto.Unmarshal(data, &pb); err != nil {
			b.Fatal(err)
		}
		FromProto(&pb)
	}
}

// BenchmarkClone measures the copy that the store takes of each new revision.
func BenchmarkClone(b *testing.B) {
	s := stateOf(inTwoYears)
	b.ReportAllocs()
	for b.Loop() {
		s.Clone()
	}
}

// BenchmarkApply measures one change of a large state, and the bytes that events
// and results of 4,096 commands add to a snapshot.
func BenchmarkApply(b *testing.B) {
	s := stateOf(inTwoYears)
	before := proto.Size(s.Proto())
	put := &controlpb.Command_PutTeam{PutTeam: &controlpb.Team{Name: "team-00001", Rate: 100, Burst: 50}}
	var index uint64
	apply := func() {
		index++
		s.Apply(index, &controlpb.Command{RequestId: fmt.Sprintf("request-%020d", index), Actor: "operator", UnixMs: 1_700_000_000_000, Change: put})
	}
	for range maxResults {
		apply()
	}
	after := proto.Size(s.Proto())
	for b.Loop() {
		apply()
	}
	b.ReportMetric(float64(after-before), "record-bytes")
}
