package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/policy/voters"
	"github.com/jayloom/jayloom/wal/simdisk"
)

const (
	simulationStep = time.Millisecond
	// repairInterval and changeTimeout are those of the leader of a fleet.
	repairInterval = 100 * time.Millisecond
	changeTimeout  = 2 * time.Second
	// connectDelay is the time from the start of a VM until the leader sees its node.
	connectDelay = 400 * time.Millisecond
	// diskReopenDelay is the time from an error of a disk until its folder is opened again.
	diskReopenDelay = time.Second
	// catchUpTime is how long a VM counts as lost after it is back.
	catchUpTime = 6 * time.Second
)

// versionRegister is an Applier that keeps the highest version, as a fleet keeps its
// configuration.
type versionRegister struct {
	version uint64
	leading bool
}

func (v *versionRegister) Apply(_ uint64, c *controlpb.Command) *controlpb.CommandResult {
	v.version = max(v.version, c.GetPutCatalog().GetVersion())
	return &controlpb.CommandResult{Revision: v.version}
}

func (v *versionRegister) Snapshot() ([]byte, error) {
	return binary.AppendUvarint(nil, v.version), nil
}

func (v *versionRegister) Restore(data []byte) error {
	v.version, _ = binary.Uvarint(data)
	return nil
}

func (v *versionRegister) LeadershipChanged(leading bool, _ uint64) {
	v.leading = leading
}

// simulatedVM is a VM with a disk, and its replica while it runs.
type simulatedVM struct {
	simulation *simulation
	address    string
	disk       *simdisk.Disk
	state      *versionRegister
	replica    *Replica
	startedAt  time.Duration
	// startAt is when the VM, or its replica, starts again; 0 if that is not planned.
	startAt time.Duration
	// stalledUntil is when the VM goes on after a freeze or a stalled disk.
	stalledUntil time.Duration
	// lostUntil is until when the VM counts as lost, and diskLostUntil its disk.
	lostUntil, diskLostUntil time.Duration
	// side is the side of a partition; VMs of different sides do not reach each other.
	side int
	gone bool
	// lacksRoom is true while the disk has a limited capacity.
	lacksRoom bool
	// arrived holds what has arrived while the VM is stalled.
	arrived []delivery

	repair        *voters.Repair
	repairTerm    uint64
	change        *membershipChange
	changeStarted time.Duration
	cancelChange  context.CancelFunc
}

type delivery struct {
	at       time.Duration
	from, to *simulatedVM
	message  *controlpb.ConsensusMessage
}

// simulation runs the voters of a fleet in simulated time, with simulated disks.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	vms       []*simulatedVM
	tolerated int
	inFlight  []delivery
	log       *logrus.Entry
	snapshots uint64
	// roomChanges draws the moments at which disks become full or get room again; nil if they never do.
	roomChanges *rand.Rand

	// sentVersion is the newest version sent, confirmed the newest one that was confirmed.
	sentVersion, confirmed uint64
	pending                []sentVersion
	trace                  []string
}

type sentVersion struct {
	version uint64
	outcome <-chan outcome
}

func newSimulation(t *testing.T, seed uint64, vms, tolerated int) *simulation {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	random := rand.New(rand.NewPCG(seed, 0))
	s := &simulation{
		t: t, random: random, now: time.Second, tolerated: tolerated, log: logrus.NewEntry(logger),
		snapshots: uint64(8 + random.IntN(60)),
	}
	for range vms {
		s.addVM()
	}
	first := consensus.Membership{}
	for _, v := range s.vms {
		v.open()
	}
	for _, v := range s.vms[:3] {
		first.Members = append(first.Members, consensus.Member{ID: v.replica.identity, Address: v.address})
	}
	if err := s.vms[0].replica.saveFirstMembership(first); err != nil {
		t.Fatal(err)
	}
	for _, v := range s.vms {
		v.createNode()
	}
	return s
}

func (s *simulation) addVM() *simulatedVM {
	v := &simulatedVM{simulation: s, address: fmt.Sprintf("vm-%d", len(s.vms)+1), disk: simdisk.New(s.random), startAt: s.now}
	s.vms = append(s.vms, v)
	return v
}

func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%7.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	for _, v := range s.vms {
		if v.replica == nil {
			s.tracef("%s: down", v.address)
			continue
		}
		status := v.replica.Status()
		s.tracef("%s: %.6s term %d leads %v committed %d applied %d version %d", v.address, status.Identity,
			status.Term, status.Leading, status.Committed, status.Applied, v.state.version)
		for _, m := range status.Members {
			s.tracef("    %.6s at %s learner %v active %v match %d", m.Identity, m.Address, m.Learner, m.Active, m.MatchIndex)
		}
	}
	for _, line := range s.trace[max(0, len(s.trace)-120):] {
		s.t.Log(line)
	}
	s.t.Fatalf(format, args...)
}

// open opens the folder of a VM that starts.
func (v *simulatedVM) open() {
	v.state = &versionRegister{}
	v.openWith(v.state)
}

// openWith opens the folder of a VM with a state of its own.
func (v *simulatedVM) openWith(state Applier) {
	s := v.simulation
	r, err := Open(Config{Folder: "/data", Files: v.disk, Address: v.address, SnapshotEntries: s.snapshots, Log: s.log}, state)
	if IsDiskFull(err) {
		s.tracef("%s cannot open its folder: %v", v.address, err)
		v.startAt = s.now + diskReopenDelay
		return
	}
	if err != nil {
		s.fail("%s cannot open its folder: %v", v.address, err)
	}
	r.now = func() time.Duration { return s.now }
	r.electionSeed = s.random.Uint64()
	r.transport = simulatedSender{v}
	v.replica, v.startedAt, v.startAt, v.arrived = r, s.now, 0, nil
}

func (v *simulatedVM) createNode() {
	if err := v.replica.createNode(); err != nil {
		v.simulation.fail("%s cannot create its node: %v", v.address, err)
	}
	v.simulation.tracef("%s started as %.6s, term %d, last entry %d, members %d", v.address, v.replica.identity,
		v.replica.node.Term(), v.replica.node.Status().LastIndex, len(v.replica.node.Membership().Members))
}

// stop ends the process. It starts again at startAt.
func (v *simulatedVM) stop(startAt time.Duration) {
	if v.replica != nil {
		v.replica.failPending("the process has ended")
	}
	v.replica, v.change, v.repair, v.repairTerm = nil, nil, nil, 0
	v.startAt, v.stalledUntil = startAt, 0
}

func (v *simulatedVM) up() bool {
	return v.replica != nil && v.simulation.now >= v.stalledUntil
}

// markLost lets a VM count as lost until it has caught up. So does its disk if the VM was
// rebuilding it.
func (v *simulatedVM) markLost(back time.Duration) {
	v.lostUntil = max(v.lostUntil, back+catchUpTime)
	if v.diskLostUntil > v.simulation.now {
		v.diskLostUntil = max(v.diskLostUntil, v.lostUntil)
	}
}

// simulatedSender puts messages on the simulated network.
type simulatedSender struct{ from *simulatedVM }

func (n simulatedSender) send(address string, m *controlpb.ConsensusMessage) {
	s := n.from.simulation
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
	for _, to := range s.vms {
		if to.address == address {
			s.inFlight = append(s.inFlight, delivery{s.now + delay, n.from, to, m})
		}
	}
}

func (n simulatedSender) closeOthers(map[string]bool) {}

// step advances the time by one step.
func (s *simulation) step() {
	s.now += simulationStep
	var due []delivery
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d delivery) bool {
		if d.at <= s.now {
			due = append(due, d)
		}
		return d.at <= s.now
	})
	for _, d := range due {
		if d.to.replica != nil && d.from.side == d.to.side {
			d.to.arrived = append(d.to.arrived, d)
		}
	}
	for _, v := range s.vms {
		if v.startAt > 0 && s.now >= v.startAt {
			v.open()
			if v.replica != nil {
				v.createNode()
			}
		}
		isTick := (s.now/simulationStep)%(tickInterval/simulationStep) == 0
		if v.up() && (isTick || len(v.arrived) > 0) {
			v.run()
		}
	}
	s.collectOutcomes()
	s.checkReads()
}

// run handles what has arrived and what is due.
func (v *simulatedVM) run() {
	for _, d := range v.arrived {
		m, ok := fromWire(d.message)
		if !ok {
			v.simulation.fail("%s sent a malformed message: %v", d.from.address, d.message)
		}
		if m.To == v.replica.identity {
			v.replica.step(receivedMessage{message: m, fromAddress: d.message.FromAddress})
		}
	}
	v.arrived = nil
	if err := v.replica.advance(); err != nil {
		v.simulation.tracef("%s: the disk failed: %v", v.address, err)
		v.stop(v.simulation.now + diskReopenDelay)
		v.disk.Repair()
		return
	}
	if v.simulation.now%repairInterval == 0 || v.change != nil && len(v.change.done) > 0 {
		v.stepRepair()
	}
}

// stepRepair lets a leader repair the membership.
func (v *simulatedVM) stepRepair() {
	s, status := v.simulation, v.replica.Status()
	if !status.Leading {
		return
	}
	if v.repairTerm != status.Term {
		v.repairTerm, v.change = status.Term, nil
		v.repair = &voters.Repair{Self: status.Identity, Wanted: 2*s.tolerated + 1, InactiveAfter: MemberInactiveAfter}
	}
	if v.change != nil {
		select {
		case o := <-v.change.done:
			s.tracef("%s: change %d of %.6s: %v %v", v.address, v.change.Kind, v.change.ID, o.result.GetMessage(), o.err)
		default:
			if s.now < v.changeStarted+changeTimeout {
				return
			}
			v.cancelChange()
		}
		v.change = nil
	}
	request := v.repair.Next(s.now, status.Members, v.spares())
	if request == nil {
		return
	}
	change, refusal := parseChange(request)
	if refusal != nil {
		s.fail("the repair made an invalid change: %v", refusal)
	}
	change.ctx, v.cancelChange = context.WithCancel(context.Background())
	change.done = make(chan outcome, 1)
	v.change, v.changeStarted = change, s.now
	v.replica.appendChange(change)
}

// spares returns the VMs that are connected to a leader, in the order of their addresses.
func (v *simulatedVM) spares() []voters.Spare {
	var out []voters.Spare
	for _, other := range v.simulation.vms {
		if other.up() && other.side == v.side && v.simulation.now >= other.startedAt+connectDelay {
			out = append(out, voters.Spare{Identity: string(other.replica.identity), Address: other.address})
		}
	}
	return out
}

// leader returns a VM that answers as the leader, or nil.
func (s *simulation) leader() *simulatedVM {
	for _, v := range s.vms {
		if v.up() && v.replica.Status().Leading && v.replica.LeaseValid(s.now) {
			return v
		}
	}
	return nil
}

// put sends the next version to the leader, if there is one.
func (s *simulation) put() {
	leader := s.leader()
	if leader == nil {
		return
	}
	s.sentVersion++
	command := &controlpb.Command{Change: &controlpb.Command_PutCatalog{
		PutCatalog: &controlpb.Catalog{Version: s.sentVersion},
	}}
	p := &proposal{data: mustMarshal(s.t, command), done: make(chan outcome, 1)}
	leader.replica.appendProposal(p)
	s.pending = append(s.pending, sentVersion{s.sentVersion, p.done})
}

func (s *simulation) collectOutcomes() {
	s.pending = slices.DeleteFunc(s.pending, func(p sentVersion) bool {
		select {
		case o := <-p.outcome:
			if o.err == nil && o.result.Code == uint32(rescode.OK) {
				s.confirmed = max(s.confirmed, p.version)
			}
			return true
		default:
			return false
		}
	})
}

// checkReads fails if a leader would answer a read with an older version than was confirmed.
func (s *simulation) checkReads() {
	for _, v := range s.vms {
		if v.up() && v.replica.Status().Leading && v.replica.LeaseValid(s.now) && v.state.version < s.confirmed {
			s.fail("%s reads version %d after %d was confirmed", v.address, v.state.version, s.confirmed)
		}
	}
}

func (s *simulation) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}
