package rate

import (
	"testing"
	"time"
)

// lockstepSimulation runs an allocator with holders that report in turn, without delays.
type lockstepSimulation struct {
	allocator *Allocator
	holders   map[string]*Holder
	streams   map[string]uint64
	now       time.Duration
	used      int
}

const (
	lockstepRate  = 100.0
	lockstepBurst = 100.0
	reportPeriod  = 250 * time.Millisecond
)

func newLockstepSimulation(names ...string) *lockstepSimulation {
	sim := &lockstepSimulation{holders: map[string]*Holder{}, streams: map[string]uint64{}, now: time.Hour}
	for _, name := range names {
		sim.holders[name] = NewHolder(GatewayConfig())
	}
	sim.electLeader(nil)
	return sim
}

// electLeader starts a new allocator, to which all holders open a stream.
func (sim *lockstepSimulation) electLeader(registered []string) {
	sim.allocator = NewAllocator(GatewayConfig())
	sim.allocator.StartLeading(sim.now, registered)
	sim.allocator.SetTeam(sim.now, "melt", lockstepRate, lockstepBurst)
	for name, h := range sim.holders {
		sim.streams[name]++
		h.StartStream(sim.now)
	}
}

// step advances time by 250 ms, in which every holder tries to use demand tokens. The
// connected ones report, at the start and whenever a report is urgent.
func (sim *lockstepSimulation) step(demand int, connected ...string) {
	const slices = 10
	for i := range slices {
		sim.now += reportPeriod / slices
		sim.allocator.Expire(sim.now)
		for name, h := range sim.holders {
			for range demand / slices {
				if h.Take(sim.now, "melt") {
					sim.used++
				}
			}
			if (i == 0 || h.Urgent(sim.now)) && contains(connected, name) {
				sim.report(name, h)
			}
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (sim *lockstepSimulation) report(name string, h *Holder) {
	demands := h.Report(sim.now)
	h.RecordAnswer(sim.now)
	for _, g := range sim.allocator.HandleReport(sim.now, name, name, sim.streams[name], demands) {
		h.ApplyGrant(sim.now, sim.now, g)
	}
}

// Guards against callers that are refused for lack of an allocator: the leader is lost
// for 2 s while teams send as usual (paplate-riga trouble-1).
func TestUseContinuesWithoutLeader(t *testing.T) {
	sim := newLockstepSimulation("a", "b")
	for range 40 {
		sim.step(10, "a", "b")
	}
	sim.used = 0
	for range 8 {
		sim.step(10)
	}
	if wanted := 8 * 20; sim.used < wanted*9/10 {
		t.Errorf("%d of %d requests had a token", sim.used, wanted)
	}
}

// Guards against use beyond the rate by nodes that the allocator does not hear: it
// withholds their fallback rates from the others, and the fallback rates end.
func TestDisconnectedNodesStayWithinRate(t *testing.T) {
	sim := newLockstepSimulation("a", "b", "c", "d")
	for range 40 {
		sim.step(100, "a", "b", "c", "d")
	}
	sim.used = 0
	const window = 5 * time.Second
	for range int(window / reportPeriod) {
		sim.step(100, "a", "b")
	}
	if limit := 1.1*(lockstepRate*window.Seconds()+lockstepBurst) + 20; float64(sim.used) > limit {
		t.Errorf("%d tokens in %s, the bound is %.0f", sim.used, window, limit)
	}
	sim.used = 0
	sim.allocator = NewAllocator(GatewayConfig())
	for range 16 {
		sim.step(100)
	}
	sim.used = 0
	sim.step(100)
	if sim.used != 0 {
		t.Errorf("%d tokens after the fallback period", sim.used)
	}
}

// Guards against a new leader that grants nothing until all nodes have reported, and
// against one that grants a burst which nodes may still hold.
func TestNewLeaderGrantsRefillAtOnce(t *testing.T) {
	sim := newLockstepSimulation("a", "b")
	for range 40 {
		sim.step(100, "a", "b")
	}
	sim.electLeader([]string{"a", "b", "gone"})
	sim.used = 0
	for range 8 {
		sim.step(100, "a", "b")
	}
	if expected := lockstepRate * 2; float64(sim.used) < 0.8*expected || float64(sim.used) > 1.1*(expected+lockstepBurst)+20 {
		t.Errorf("%d tokens in 2 s", sim.used)
	}
}

// Guards against tokens that are lost with requests that were refused as not run.
func TestRefundedTokenIsUsedAgain(t *testing.T) {
	al, h := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig())
	start := time.Hour
	al.StartLeading(start, nil)
	al.SetTeam(start, "melt", 1, 1)
	h.StartStream(start)
	at := start + 5*time.Second
	al.Expire(at)
	if h.Take(at, "melt") {
		t.Fatal("took a token without a grant")
	}
	for _, g := range al.HandleReport(at, "a", "a", 1, h.Report(at)) {
		h.ApplyGrant(at, at, g)
	}
	if !h.Take(at, "melt") || h.Take(at, "melt") {
		t.Fatal("not exactly one token")
	}
	h.Refund(at, "melt")
	if !h.Take(at, "melt") || h.Take(at, "melt") {
		t.Error("the refunded token was not available exactly once")
	}
}
