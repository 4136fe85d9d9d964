package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

var (
	survivalSeed  = flag.Uint64("survival.seed", 0, "first seed of TestConfirmedVersionSurvivesLostDisks")
	survivalSeeds = flag.Uint64("survival.seeds", 60, "number of seeds")
)

// readBound is how long after the VMs are back a confirmed version must be read: the users'
// bound for being in touch, twice, because most voters were lost.
const readBound = 10 * time.Second

func mustMarshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// count returns the number of VMs for which holds is true.
func (s *simulation) count(holds func(*simulatedVM) bool) int {
	count := 0
	for _, v := range s.vms {
		if holds(v) {
			count++
		}
	}
	return count
}

func (s *simulation) lostVMs() int {
	return s.count(func(v *simulatedVM) bool { return v.lostUntil > s.now })
}

func (s *simulation) lostDisks() int {
	return s.count(func(v *simulatedVM) bool { return v.diskLostUntil > s.now })
}

// pick returns a running VM that does not count as lost, or nil.
func (s *simulation) pick() *simulatedVM {
	for _, i := range s.random.Perm(len(s.vms)) {
		v := s.vms[i]
		if !v.gone && v.replica != nil && v.lostUntil <= s.now {
			return v
		}
	}
	return nil
}

// between returns a random duration.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// interrupt ends the process of a VM at a random moment of what it is doing.
func (s *simulation) interrupt(v *simulatedVM, startAt time.Duration) {
	if v.up() && s.random.IntN(2) == 0 {
		v.disk.FailAfter(1 + s.random.IntN(6))
		for _, d := range s.inFlight {
			if d.to == v && d.at < s.now+5*time.Millisecond && d.from.side == v.side {
				v.arrived = append(v.arrived, d)
			}
		}
		v.run()
		s.collectOutcomes()
	}
	v.stop(startAt)
}

func (s *simulation) kill(v *simulatedVM, startAt time.Duration) {
	s.interrupt(v, startAt)
	v.disk.Repair()
	v.markLost(startAt)
}

func (s *simulation) losePower(v *simulatedVM, startAt time.Duration) {
	s.interrupt(v, startAt)
	v.disk.LosePower()
	v.markLost(startAt)
}

func (s *simulation) loseDisk(v *simulatedVM, startAt time.Duration) {
	s.losePower(v, startAt)
	v.disk.Erase()
	v.diskLostUntil = startAt + catchUpTime
}

func (s *simulation) present() []*simulatedVM {
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *simulatedVM) bool { return v.gone })
}

// vmFaults are the faults of one VM, each for a time. The disk is lost more often than others.
var vmFaults = []func(s *simulation, v *simulatedVM, d time.Duration){
	powerFault, diskLossFault, diskLossFault, killFault, freezeFault, cutFault, goneFault, diskStallFault, diskErrorFault,
}

// fleetFaults are the faults of all VMs. They may lose one disk.
var fleetFaults = []func(s *simulation, d time.Duration){
	powerFaultOfAll, killFaultOfAll, splitFault, minorityFault, minorityFault,
}

// fault injects a random fault. A fault of one VM is left out if as many VMs are lost as must
// be tolerated.
func (s *simulation) fault() {
	kind := s.random.IntN(len(vmFaults) + len(fleetFaults))
	d := s.between(300*time.Millisecond, 5*time.Second)
	if kind >= len(vmFaults) {
		fleetFaults[kind-len(vmFaults)](s, d)
		return
	}
	if s.lostVMs() >= s.tolerated {
		return
	}
	if v := s.pick(); v != nil {
		vmFaults[kind](s, v, d)
	}
}

func powerFault(s *simulation, v *simulatedVM, d time.Duration) {
	s.tracef("%s loses power for %v", v.address, d)
	s.losePower(v, s.now+d)
}

func diskLossFault(s *simulation, v *simulatedVM, d time.Duration) {
	s.tracef("%s loses its disk, back in %v", v.address, d)
	s.loseDisk(v, s.now+d)
}

func killFault(s *simulation, v *simulatedVM, _ time.Duration) {
	s.tracef("%s is killed", v.address)
	s.kill(v, s.now+100*time.Millisecond)
}

func freezeFault(s *simulation, v *simulatedVM, d time.Duration) {
	s.tracef("%s freezes for %v", v.address, d)
	v.stalledUntil = s.now + d
	v.markLost(v.stalledUntil)
}

func cutFault(s *simulation, v *simulatedVM, d time.Duration) {
	s.tracef("%s is cut off for %v", v.address, d)
	v.side = 1
	v.markLost(s.now + d)
}

// goneFault removes a VM for good. Another one with an empty disk comes at another address.
func goneFault(s *simulation, v *simulatedVM, _ time.Duration) {
	s.tracef("%s is gone for good", v.address)
	s.loseDisk(v, 0)
	v.gone = true
	successor := s.addVM()
	successor.startAt = s.now + time.Second
	successor.markLost(successor.startAt)
	successor.diskLostUntil = successor.lostUntil
	v.lostUntil, v.diskLostUntil = 0, 0
}

// diskStallFault does not count as a loss.
func diskStallFault(s *simulation, v *simulatedVM, d time.Duration) {
	s.tracef("the disk of %s stalls for %v", v.address, d)
	v.stalledUntil = s.now + d
}

// diskErrorFault does not count as a loss either. The folder is opened again.
func diskErrorFault(s *simulation, v *simulatedVM, _ time.Duration) {
	s.tracef("the disk of %s is going to fail", v.address)
	v.disk.FailAfter(1 + s.random.IntN(10))
}

func powerFaultOfAll(s *simulation, d time.Duration) {
	s.tracef("all lose power for %v", d)
	for _, v := range s.present() {
		s.losePower(v, s.now+d+s.between(0, 300*time.Millisecond))
	}
}

func killFaultOfAll(s *simulation, _ time.Duration) {
	s.tracef("all are killed")
	for _, v := range s.present() {
		s.kill(v, s.now+s.between(50*time.Millisecond, time.Second))
	}
}

func splitFault(s *simulation, d time.Duration) {
	s.tracef("the VMs are split for %v", d)
	for i, v := range s.present() {
		v.side = i % 2
		v.markLost(s.now + d)
	}
}

// minorityFault cuts off as many VMs as must be tolerated while changes go on. Then
// one of the others loses its disk, the rest are without power for a while, and the minority
// returns first.
func minorityFault(s *simulation, d time.Duration) {
	if s.lostVMs() > 0 {
		return
	}
	vms := s.present()
	s.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, v := range vms[:s.tolerated] {
		s.tracef("%s is cut off beside changes", v.address)
		v.side = 1
		v.markLost(s.now + d)
	}
	for range 20 {
		s.runFor(s.between(0, d/10))
		s.put()
	}
	others := vms[s.tolerated:]
	s.tracef("%s loses its disk, the others lose power", others[0].address)
	s.loseDisk(others[0], s.now+s.between(0, d))
	for _, v := range others[1:] {
		s.losePower(v, s.now+s.between(d/2, d))
	}
	for _, v := range vms {
		v.side = 0
	}
}

// heal ends partitions whose VMs are due to return.
func (s *simulation) heal() {
	for _, v := range s.vms {
		if v.side != 0 && s.now >= v.lostUntil-catchUpTime {
			v.side = 0
		}
	}
}

// loseDisksAndPower is the last fault: as many disks as must be tolerated are lost, counted
// with what is lost already, and all other VMs lose power.
func (s *simulation) loseDisksAndPower() time.Duration {
	down := s.between(300*time.Millisecond, 3*time.Second)
	allowed := s.tolerated - s.lostDisks()
	back := s.now
	for _, i := range s.random.Perm(len(s.vms)) {
		v := s.vms[i]
		if v.gone {
			continue
		}
		startAt := s.now + down + s.between(0, 300*time.Millisecond)
		back = max(back, startAt)
		isLost := v.diskLostUntil > s.now
		if isLost || allowed > 0 && (v.lostUntil > s.now || s.lostVMs() < s.tolerated) {
			if !isLost {
				allowed--
			}
			s.tracef("%s loses its disk at the end", v.address)
			s.loseDisk(v, startAt)
			continue
		}
		s.interrupt(v, startAt)
		v.disk.LosePower()
	}
	for _, v := range s.vms {
		v.side = 0
	}
	return back
}

// course runs random faults beside confirmed versions, and ends with lost disks and power.
func (s *simulation) course() {
	s.runFor(4 * time.Second)
	nextFault := s.now
	faults := s.random.IntN(9)
	for end := s.now + s.between(2*time.Second, 25*time.Second); s.now < end; {
		s.step()
		s.heal()
		s.changeRoom()
		if s.random.IntN(200) == 0 {
			s.put()
		}
		if faults > 0 && s.now >= nextFault {
			faults--
			s.fault()
			nextFault = s.now + s.between(0, 6*time.Second)
		}
	}
	s.put()
	s.runFor(s.between(0, 30*time.Millisecond))
	back := s.loseDisksAndPower()
	for _, v := range s.vms {
		v.disk.SetCapacity(-1)
	}
	s.checkReadBack(back)
}

// changeRoom fills a disk or gives it room again, at random moments.
func (s *simulation) changeRoom() {
	const stepsBetweenChanges = 400
	s.extendLosses()
	if s.roomChanges == nil || s.roomChanges.IntN(stepsBetweenChanges) > 0 {
		return
	}
	v := s.vms[s.roomChanges.IntN(len(s.vms))]
	capacity := int64(-1)
	if s.roomChanges.IntN(2) == 0 {
		capacity = v.disk.Used() + s.roomChanges.Int64N(500)
	}
	s.tracef("the disk of %s has %d bytes and holds %d", v.address, capacity, v.disk.Used())
	v.disk.SetCapacity(capacity)
	v.lacksRoom = capacity >= 0
}

// extendLosses lets the VMs and disks that are lost count as lost while any disk is full, because the membership
// cannot be repaired meanwhile.
func (s *simulation) extendLosses() {
	if s.count(func(v *simulatedVM) bool { return v.lacksRoom }) == 0 {
		return
	}
	for _, v := range s.vms {
		if v.lostUntil > s.now {
			v.lostUntil = max(v.lostUntil, s.now+catchUpTime)
		}
		if v.diskLostUntil > s.now {
			v.diskLostUntil = max(v.diskLostUntil, v.lostUntil)
		}
	}
}

// checkReadBack fails unless a leader reads the newest confirmed version within the bound
// after the VMs are back.
func (s *simulation) checkReadBack(back time.Duration) {
	for s.now < back+readBound {
		s.step()
		if s.now > back && s.leader() != nil {
			return
		}
	}
	s.fail("no configuration is read %v after the VMs are back; version %d was confirmed", readBound, s.confirmed)
}

// deployment is a number of VMs with disks, of which some may be lost at once.
type deployment struct{ vms, tolerated int }

// failedCourses left no quorum when the repair made the set of voters smaller before it added
// others, the last one when it took a voter that had returned for the successor of another.
var failedCourses = []struct {
	deployment
	seed uint64
}{
	{deployment{6, 2}, 79}, {deployment{6, 2}, 185}, {deployment{6, 2}, 423}, {deployment{6, 2}, 580},
	{deployment{6, 2}, 1055}, {deployment{4, 1}, 685}, {deployment{4, 1}, 1389},
	{deployment{4, 1}, 102639},
}

func testCourse(t *testing.T, d deployment, seed uint64) {
	t.Run(fmt.Sprintf("%d VMs, seed %d", d.vms, seed), func(t *testing.T) {
		t.Parallel()
		newSimulation(t, seed, d.vms, d.tolerated).course()
	})
}

// Guards against a confirmed configuration that is not read back after as many disks as must
// be tolerated were lost and all other VMs have lost power.
func TestConfirmedVersionSurvivesLostDisks(t *testing.T) {
	for _, c := range failedCourses {
		testCourse(t, c.deployment, c.seed)
	}
	for _, d := range []deployment{{8, 2}, {6, 2}, {5, 2}, {4, 1}, {3, 1}} {
		for i := range *survivalSeeds {
			testCourse(t, d, *survivalSeed+i)
		}
	}
}

// Guards against a confirmed configuration that is lost, read in an older state or not read back because disks were
// full meanwhile: what had no room is dropped and received again, terms and votes are not.
func TestConfirmedVersionSurvivesFullDisks(t *testing.T) {
	for _, d := range []deployment{{6, 2}, {4, 1}, {3, 1}} {
		for i := range *survivalSeeds / 3 {
			seed := *survivalSeed + i
			t.Run(fmt.Sprintf("%d VMs, seed %d", d.vms, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, seed, d.vms, d.tolerated)
				s.roomChanges = rand.New(rand.NewPCG(seed, 1))
				s.course()
			})
		}
	}
}
