package engine

import (
	"testing"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/policy/warmup"
)

// newWarmingNode returns a node whose upstreams p and r1 warm up, and the permits that it holds.
func newWarmingNode(t *testing.T, rate float64) (*testNode, *warmup.Permits) {
	s := newTestNode(t)
	seed := s.open("lots", "key")
	s.mustSucceed(seed, write("0"))
	for _, replica := range []string{"r1", "r2"} {
		s.servers[replica].update(func(f *fakeServer) { f.position = s.servers["p"].position })
	}
	c, err := catalog.New(&controlpb.Catalog{
		Version:  2,
		Services: []*controlpb.CatalogService{{Name: "wax", MaxConnections: 23, WarmupRate: rate}},
		Routes: []*controlpb.CatalogRoute{
			{Name: "a", Database: "intake", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200},
			{Name: "b", Database: "lots", Service: "wax", StatementTimeoutMs: 400, LatencyObjectiveMs: 200, MaxStalenessMs: 2500,
				Consistency: controlpb.Consistency_CONSISTENCY_READ_YOUR_WRITES},
		},
		Teams: []*controlpb.CatalogTeam{{Name: "melt", Keys: []string{"key"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.control.view.Catalog = c
	for _, u := range s.control.view.Topology.Upstreams[:2] {
		u.Warming = true
	}
	s.engine.Update(&s.control.view)
	return s, s.engine.opts.Permits.(*warmup.Permits)
}

// grant gives the node permits.
func grant(p *warmup.Permits, upstream string, requests uint32) {
	const lifetime = time.Minute
	p.Add(clock.Now(), []*controlpb.WarmupGrant{
		{Upstream: upstream, Requests: requests, LifetimeMs: uint32(lifetime.Milliseconds())},
	})
}

// Guards against statements that reach an upstream which warms up without a permit, against reads that fail or wait
// although another upstream can run them, and against a refusal that does not promise that nothing is kept.
func TestStatementsNeedPermitsForWarmingUpstreams(t *testing.T) {
	s, permits := newWarmingNode(t, 10)
	reads := s.open("lots", "key")
	begun := time.Now()
	for range 5 {
		s.mustSucceed(reads, read("1"))
	}
	if took := time.Since(begun); took >= minConnectionWait {
		t.Errorf("reads took %s", took)
	}
	s.expectRuns("r2", 5)
	s.expectRuns("r1", 0)
	s.expectRuns("p", 1)
	if len(permits.Demands(clock.Now())) == 0 {
		t.Error("the node wants no permits")
	}
	writes := s.open("intake", "key")
	s.expectCode(s.handle(writes, write("2")), rescode.QueueTimeout)
	s.expectRuns("p", 1)

	grant(permits, "p", 2)
	s.mustSucceed(writes, Statement{ID: "3", Kind: Begin})
	s.mustSucceed(writes, write("4"))
	s.mustSucceed(writes, write("5"))
	s.expectCode(s.handle(writes, Statement{ID: "6", Kind: Commit, Text: "COMMIT"}), rescode.TransactionAborted)
	s.expectRuns("p", 3)
	if info, _ := rescode.Lookup(rescode.QueueTimeout); info.Execution != rescode.NotRun {
		t.Error("the refusal does not promise that nothing has run")
	}
}

// Guards against a write that is refused although a permit arrives while it may wait.
func TestWriteWaitsForPermit(t *testing.T) {
	s, permits := newWarmingNode(t, 10)
	s.engine.opts.RequestReport = func() { grant(permits, "p", 1) }
	s.mustSucceed(s.open("intake", "key"), write("1"))
	s.expectRuns("p", 2)
}

// Guards against limits in a deployment whose services have no warm rate.
func TestNoPermitsWithoutWarmRate(t *testing.T) {
	s, _ := newWarmingNode(t, 0)
	s.mustSucceed(s.open("intake", "key"), write("1"))
	s.expectRuns("p", 2)
}

// Guards against a data centre that is used again at once with all load, because the end of its drain arrives before
// the topology that says that its upstreams are cold.
func TestUpstreamsAreColdAfterTheDrain(t *testing.T) {
	s, _ := newWarmingNode(t, 10)
	for _, u := range s.control.view.Topology.Upstreams {
		u.Warming = false
	}
	s.drainPlace("here", time.Minute)
	s.endPlaceDrains()
	s.expectCode(s.handle(s.open("intake", "key"), write("1")), rescode.QueueTimeout)
	p := s.engine.group("wax").pools["p"]
	if p.needsPermit(clock.Now() + afterDrainTime) {
		t.Error("the upstream counts as cold without end")
	}
}
