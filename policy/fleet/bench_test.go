package fleet

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
)

// objectCounts is the number of objects of each kind in a benchmark's state.
type objectCounts struct {
	teams, keys, services, routes, groups, upstreams, proxies int
}

// plannedSize is the size given in section 1.6 of the design: 1,600 databases of 3
// servers and 1,200 proxies; 2,000 teams of 2 keys, 400 services and 2,000 routes are
// assumed.
var plannedSize = objectCounts{teams: 2000, keys: 2, services: 400, routes: 2000, groups: 1600, upstreams: 4800, proxies: 1200}

// newStateOfSize returns a state whose names and addresses have usual lengths.
func newStateOfSize(n objectCounts) *State {
	pb := &controlpb.FleetState{TokenKey: make([]byte, 32)}
	initMaps(pb)
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

// objectKinds maps each kind of object to a state with 1,000 of them and one without.
var objectKinds = map[string]struct{ with, without objectCounts }{
	"team":     {objectCounts{teams: 1000}, objectCounts{}},
	"key":      {objectCounts{teams: 1000, keys: 1}, objectCounts{teams: 1000}},
	"service":  {objectCounts{services: 1000}, objectCounts{}},
	"route":    {objectCounts{routes: 1000}, objectCounts{}},
	"group":    {objectCounts{groups: 1000}, objectCounts{}},
	"upstream": {objectCounts{upstreams: 1000}, objectCounts{}},
	"proxy":    {objectCounts{proxies: 1000}, objectCounts{}},
}

func fullCopyBytes(n objectCounts) int { return proto.Size(newStateOfSize(n).CopyForProxies()) }

func bytesPerObject(kind string) float64 {
	return float64(fullCopyBytes(objectKinds[kind].with)-fullCopyBytes(objectKinds[kind].without)) / 1000
}

// BenchmarkObjectBytes reports the size of each kind of object in a full copy.
// A snapshot holds the same plus results and events.
func BenchmarkObjectBytes(b *testing.B) {
	for kind := range objectKinds {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(bytesPerObject(kind), "bytes/object")
			}
		})
	}
}

// TestObjectBytes guards against growth of objects, which increases every full copy and
// snapshot. The largest of all kinds is a service of 9 slots.
func TestObjectBytes(t *testing.T) {
	const maxBytes = 256
	for kind := range objectKinds {
		if got := bytesPerObject(kind); got > maxBytes {
			t.Errorf("a %s takes %.0f bytes of a full copy, at most %d are allowed", kind, got, maxBytes)
		}
	}
}

// BenchmarkFullCopy measures the cost of a full copy for the leader.
func BenchmarkFullCopy(b *testing.B) {
	s := newStateOfSize(plannedSize)
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

// BenchmarkReadFullCopy measures the cost of a full copy for a proxy.
func BenchmarkReadFullCopy(b *testing.B) {
	data, err := proto.Marshal(newStateOfSize(plannedSize).CopyForProxies())
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
	s := newStateOfSize(plannedSize)
	b.ReportAllocs()
	for b.Loop() {
		s.Clone()
	}
}

// BenchmarkApply measures one change of a large state, and the bytes that events
// and results of 4,096 commands add to a snapshot.
func BenchmarkApply(b *testing.B) {
	s := newStateOfSize(plannedSize)
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
