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
		sim.holders[name] = NewHolder(DefaultConfig())
	}
	sim.electLeader(nil)
	return sim
}

// electLeader starts a new allocator, to which all holders open a stream.
func (sim *lockstepSimulation) electLeader(registered []string) {
	sim.allocator = NewAllocator(DefaultConfig())
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
	for _, g := range sim.allocator.HandleReport(sim.now, name, name, sim.streams[name], demands) {
		h.ApplyGrant(sim.now, sim.now, g)
	}
}

// Guards against reports that repeat all teams of which the node holds tokens, and against
// an allocator that forgets a node's demand because its reports do not repeat it. A node
// reports many times a second for one team.
func TestReportsContainChangesOnly(t *testing.T) {
	sim := newLockstepSimulation("a", "b")
	h := sim.holders["a"]
	for range 8 {
		sim.step(10, "a", "b")
	}
	sim.report("a", h)
	if d := h.Report(sim.now); len(d) != 0 {
		t.Errorf("nothing has changed, reported %v", d)
	}
	wanted := sim.allocator.teams["melt"].accounts["a"].wanted
	for range 2 * int(demandTimeout/reportPeriod) {
		sim.now += reportPeriod
		sim.allocator.HandleReport(sim.now, "a", "a", sim.streams["a"], nil)
		sim.allocator.Expire(sim.now)
	}
	if got := sim.allocator.teams["melt"].accounts["a"].wanted; got != wanted || wanted == 0 {
		t.Errorf("the allocator has a demand of %d tokens, reported were %d", got, wanted)
	}
}
