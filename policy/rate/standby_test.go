package rate

import (
	"testing"
	"time"
)

// fleet is an owner with holders that report in turn, in virtual time.
type fleet struct {
	owner   *Allocator
	holders map[string]*Holder
	streams map[string]uint64
	now     time.Duration
	used    int
}

const (
	fleetRate  = 100.0
	fleetBurst = 100.0
	reportStep = 250 * time.Millisecond
)

func newFleet(names ...string) *fleet {
	f := &fleet{holders: map[string]*Holder{}, streams: map[string]uint64{}, now: time.Hour}
	for _, name := range names {
		f.holders[name] = NewHolder(GatewayConfig())
	}
	f.lead(nil)
	return f
}

// lead starts a new owner, to which all holders open a stream.
func (f *fleet) lead(registered []string) {
	f.owner = NewAllocator(GatewayConfig())
	f.owner.StartLeading(f.now, registered)
	f.owner.SetTeam(f.now, "melt", fleetRate, fleetBurst)
	for name, h := range f.holders {
		f.streams[name]++
		h.StartStream(f.now)
	}
}

// step lets 250 ms pass, in which every holder tries to use want tokens. Those that
// are heard report, at the start and whenever that is urgent.
func (f *fleet) step(want int, heard ...string) {
	const slices = 10
	for i := range slices {
		f.now += reportStep / slices
		f.owner.Expire(f.now)
		for name, h := range f.holders {
			for range want / slices {
				if h.Take(f.now, "melt") {
					f.used++
				}
			}
			if (i == 0 || h.Urgent(f.now)) && contains(heard, name) {
				f.report(name, h)
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

func (f *fleet) report(name string, h *Holder) {
	demands := h.Report(f.now)
	h.RecordAnswer(f.now)
	for _, g := range f.owner.HandleReport(f.now, name, name, f.streams[name], demands) {
		h.ApplyGrant(f.now, f.now, g)
	}
}

// Load pattern: the leader is lost for 2 s while teams send as usual. Guards against
// callers that are refused for want of an owner (paplate-riga trouble-1).
func TestUseGoesOnWithoutOwner(t *testing.T) {
	f := newFleet("a", "b")
	for range 40 {
		f.step(10, "a", "b")
	}
	f.used = 0
	for range 8 {
		f.step(10)
	}
	if wanted := 8 * 20; f.used < wanted*9/10 {
		t.Errorf("%d of %d requests had a token", f.used, wanted)
	}
}

// Guards against use beyond the rate by nodes that the owner does not hear: it withholds
// their parts from the others, and their parts end.
func TestSilentNodesDoNotExceedTheRate(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	for range 40 {
		f.step(100, "a", "b", "c", "d")
	}
	f.used = 0
	const window = 5 * time.Second
	for range int(window / reportStep) {
		f.step(100, "a", "b")
	}
	if limit := 1.1*(fleetRate*window.Seconds()+fleetBurst) + 20; float64(f.used) > limit {
		t.Errorf("%d tokens in %s, the bound is %.0f", f.used, window, limit)
	}
	f.used = 0
	f.owner = NewAllocator(GatewayConfig())
	for range 16 {
		f.step(100)
	}
	f.used = 0
	f.step(100)
	if f.used != 0 {
		t.Errorf("%d tokens after the nodes' own time is over", f.used)
	}
}

// Guards against a new owner that grants nothing until all nodes have reported, and
// against one that grants a burst which nodes may still hold.
func TestNewOwnerGrantsTheRefillAtOnce(t *testing.T) {
	f := newFleet("a", "b")
	for range 40 {
		f.step(100, "a", "b")
	}
	f.lead([]string{"a", "b", "gone"})
	f.used = 0
	for range 8 {
		f.step(100, "a", "b")
	}
	if expected := fleetRate * 2; float64(f.used) < 0.8*expected || float64(f.used) > 1.1*(expected+fleetBurst)+20 {
		t.Errorf("%d tokens in 2 s", f.used)
	}
}

// Guards against tokens that are lost with requests which were refused as not run.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	o, h := NewAllocator(DefaultConfig()), NewHolder(DefaultConfig())
	start := time.Hour
	o.StartLeading(start, nil)
	o.SetTeam(start, "melt", 1, 1)
	h.StartStream(start)
	at := start + 5*time.Second
	o.Expire(at)
	if h.Take(at, "melt") {
		t.Fatal("a token without a grant")
	}
	for _, g := range o.HandleReport(at, "a", "a", 1, h.Report(at)) {
		h.ApplyGrant(at, at, g)
	}
	if !h.Take(at, "melt") || h.Take(at, "melt") {
		t.Fatal("not exactly one token")
	}
	h.Refund(at, "melt")
	if !h.Take(at, "melt") || h.Take(at, "melt") {
		t.Error("the returned token was not there exactly once")
	}
}
