package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// testingT is the part of testing.T and rapid.T that the simulation uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// vm is one simulated process with its disk and clock. A VM that lost its disk is
// replaced by another vm with a new ID.
type vm struct {
	id   ID
	node *Node
	// rate and offset convert simulated time to this VM's clock.
	rate   float64
	offset time.Duration

	up, frozen bool
	// passive VMs start no election.
	passive bool
	// diskPercent is the chance in percent, in each step, that a pending write becomes
	// durable.
	diskPercent int
	room        diskRoom

	hardState HardState
	snapshot  SnapshotMeta
	entries   []Entry

	ready     *Ready
	lastRole  Role
	committed Index
}

// diskRoom says for what a VM's disk has room.
type diskRoom int

const (
	roomForAll diskRoom = iota
	// roomForHardState is a disk on which entries and snapshots do not fit.
	roomForHardState
	roomForNothing
)

type inFlightMessage struct {
	deliverAt time.Duration
	message   Message
}

type entryRecord struct {
	term     Term
	data     string
	prevTerm Term
}

// simulation runs VMs over a network that loses, duplicates, delays and reorders
// messages.
type simulation struct {
	t        testingT
	random   *rand.Rand
	now      time.Duration
	vms      []*vm
	inFlight []inFlightMessage
	// lossPercent, duplicatePercent and slowPercent are chances that apply to each
	// message.
	lossPercent, duplicatePercent, slowPercent int
	// cutLinks holds the links, by sender and receiver, that drop all messages.
	cutLinks      map[[2]ID]bool
	maxEntries    int
	proposalCount int

	leaderByTerm     map[Term]ID
	writtenEntries   map[string]entryRecord
	committedEntries map[Index]entryRecord
}

// giveWayPercent is the chance in percent that a leader without room gives way after a write.
const giveWayPercent = 5

const simulationStep = 5 * time.Millisecond

func newSimulation(t testingT, seed uint64, voters int) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second,
		cutLinks: map[[2]ID]bool{}, leaderByTerm: map[Term]ID{}, writtenEntries: map[string]entryRecord{}, committedEntries: map[Index]entryRecord{},
	}
	m := Membership{}
	for i := range voters {
		m.Members = append(m.Members, Member{ID: ID(fmt.Sprint(i + 1))})
	}
	for _, member := range m.Members {
		s.add(member.ID, SnapshotMeta{Index: 1, Term: 1, Membership: m})
	}
	return s
}

func (s *simulation) add(id ID, snapshot SnapshotMeta) *vm {
	v := &vm{id: id, rate: 0.95 + 0.1*s.random.Float64(), diskPercent: 100, offset: time.Duration(s.random.IntN(5)) * time.Second}
	v.snapshot = snapshot
	v.hardState = HardState{Term: snapshot.Term}
	s.vms = append(s.vms, v)
	s.start(v)
	return v
}

func (s *simulation) vm(id ID) *vm {
	i := slices.IndexFunc(s.vms, func(v *vm) bool { return v.id == id })
	if i < 0 {
		return nil
	}
	return s.vms[i]
}

func (v *vm) clock(now time.Duration) time.Duration {
	return v.offset + time.Duration(float64(now)*v.rate)
}

func (s *simulation) start(v *vm) {
	node, err := New(v.clock(s.now), Config{
		ID: v.id, Seed: s.random.Uint64(), HardState: v.hardState, Snapshot: v.snapshot, Entries: slices.Clone(v.entries),
		MaxEntriesPerMessage: s.maxEntries,
	})
	if err != nil {
		s.t.Fatalf("start of %s: %v", v.id, err)
	}
	v.node, v.up, v.ready, v.committed, v.lastRole = node, true, nil, 0, Follower
}

// crash stops a VM, which loses everything that was not persisted.
func (s *simulation) crash(v *vm) {
	v.up, v.node, v.ready = false, nil, nil
}

// loseDisk stops a VM and removes it permanently.
func (s *simulation) loseDisk(v *vm) {
	s.crash(v)
	s.vms = slices.DeleteFunc(s.vms, func(other *vm) bool { return other == v })
}

// step advances the time, delivers the messages that are due and checks the invariants.
func (s *simulation) step() {
	s.now += simulationStep
	var due []inFlightMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		v := s.vm(f.message.To)
		if f.deliverAt > s.now || v != nil && v.frozen {
			return false
		}
		due = append(due, f)
		return true
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		if v := s.vm(f.message.To); v != nil && v.up && !s.cutLinks[[2]ID{f.message.From, f.message.To}] {
			v.node.Step(v.clock(s.now), f.message)
			s.checkInvariants()
		}
	}
	for _, v := range s.vms {
		if v.up && !v.frozen {
			if !v.passive || v.node.role == Leader {
				v.node.Tick(v.clock(s.now))
			}
			s.processReady(v)
			s.checkInvariants()
		}
	}
}

// processReady carries out the work that Ready returns. With a slow disk, writes finish
// in a later step.
func (s *simulation) processReady(v *vm) {
	for range 10 {
		if v.ready == nil {
			r, ok := v.node.Ready()
			if !ok {
				return
			}
			v.ready = &r
			s.recordEntries(r.Entries, v)
			for _, m := range r.Messages {
				s.send(v, m)
			}
		}
		if s.random.IntN(100) >= v.diskPercent {
			return
		}
		r := *v.ready
		v.ready = nil
		if !v.hasRoomFor(r) {
			if !v.node.AdvanceUnsynced(r, v.persistHardState(r)) {
				if s.random.IntN(100) < giveWayPercent {
					v.node.GiveWay(v.clock(s.now))
				}
				return
			}
			continue
		}
		v.persist(r)
		v.node.Advance(r)
	}
}

func (v *vm) hasRoomFor(r Ready) bool {
	switch v.room {
	case roomForHardState:
		return r.Snapshot == nil && len(r.Entries) == 0
	case roomForNothing:
		return r.Snapshot == nil && len(r.Entries) == 0 && r.HardState == nil
	default:
		return true
	}
}

// persistHardState persists the hard state alone if there is room for it.
func (v *vm) persistHardState(r Ready) bool {
	if v.room != roomForHardState || r.HardState == nil {
		return false
	}
	v.hardState = *r.HardState
	return true
}

func (v *vm) persist(r Ready) {
	if r.Snapshot != nil {
		v.snapshot = r.Snapshot.SnapshotMeta
		v.entries = nil
	}
	if r.HardState != nil {
		v.hardState = *r.HardState
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		v.entries = slices.DeleteFunc(v.entries, func(e Entry) bool { return e.Index >= first })
		v.entries = append(v.entries, r.Entries...)
	}
}

func (s *simulation) send(from *vm, m Message) {
	if s.random.IntN(100) < s.lossPercent {
		return
	}
	copies := 1
	if s.random.IntN(100) < s.duplicatePercent {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.IntN(15)) * time.Millisecond
		if s.random.IntN(100) < s.slowPercent {
			delay = time.Duration(s.random.IntN(1500)) * time.Millisecond
		}
		s.inFlight = append(s.inFlight, inFlightMessage{s.now + delay, m})
	}
}

// cutLink drops the messages between two VMs, in one direction or in both.
func (s *simulation) cutLink(from, to ID, bothWays bool) {
	s.cutLinks[[2]ID{from, to}] = true
	if bothWays {
		s.cutLinks[[2]ID{to, from}] = true
	}
}

// isolate cuts all links of a VM.
func (s *simulation) isolate(id ID) {
	for _, v := range s.vms {
		s.cutLink(id, v.id, true)
	}
}

func (s *simulation) leader() *vm {
	var best *vm
	for _, v := range s.vms {
		if v.up && !v.frozen && v.node.role == Leader && (best == nil || v.node.hardState.Term > best.node.hardState.Term) {
			best = v
		}
	}
	return best
}

// propose passes a command to every member that considers itself the leader.
func (s *simulation) propose() {
	for _, v := range s.vms {
		if v.up && !v.frozen && v.node.role == Leader {
			s.proposalCount++
			_, _ = v.node.Propose(v.clock(s.now), fmt.Appendf(nil, "%s-%d", v.id, s.proposalCount))
		}
	}
}

// proposeChange proposes a membership change on the current leader.
func (s *simulation) proposeChange(c MembershipChange) (Index, error) {
	v := s.leader()
	if v == nil {
		return 0, ErrNotLeader
	}
	return v.node.ProposeMembership(v.clock(s.now), c)
}

func (s *simulation) compact(v *vm) {
	meta, ok := v.node.SnapshotMeta(v.node.log.applied)
	if !ok || v.ready != nil || meta.Index <= v.snapshot.Index {
		return
	}
	v.snapshot = meta
	compactTo := meta.Index - min(meta.Index, Index(s.random.IntN(4)))
	v.node.Compact(compactTo, meta)
}

// waitFor runs the simulation until cond holds, for at most 20 s.
func (s *simulation) waitFor(what string, cond func() bool) {
	s.t.Helper()
	for end := s.now + 20*time.Second; !cond(); {
		if s.now > end {
			s.t.Fatalf("not reached within 20 s: %s", what)
		}
		s.step()
	}
}

// recordEntries checks that the index and term of an entry determine the entry and the
// term of the one before it. Log matching follows by induction.
func (s *simulation) recordEntries(entries []Entry, v *vm) {
	for _, e := range entries {
		prev, held := v.node.log.term(e.Index - 1)
		if !held {
			continue
		}
		key := fmt.Sprint(e.Index, "/", e.Term)
		r := entryRecord{e.Term, string(e.Data), prev}
		if old, ok := s.writtenEntries[key]; ok && old != r {
			s.t.Fatalf("log matching: entry %s is %v on %s and was %v", key, r, v.id, old)
		}
		s.writtenEntries[key] = r
	}
}

func (s *simulation) checkInvariants() {
	for _, v := range s.vms {
		if !v.up {
			continue
		}
		s.checkCommitted(v)
		s.checkLeader(v)
	}
	s.checkLeases()
}

func (s *simulation) checkCommitted(v *vm) {
	log := v.node.log
	for i := max(v.committed, log.base) + 1; i <= log.committed; i++ {
		e := log.entries[i-log.base-1]
		r := entryRecord{term: e.Term, data: string(e.Data)}
		if old, ok := s.committedEntries[i]; ok && old != r {
			s.t.Fatalf("committed entry %d is %v on %s and was %v", i, r, v.id, old)
		}
		s.committedEntries[i] = r
	}
	v.committed = log.committed
}

func (s *simulation) checkLeader(v *vm) {
	becameLeader := v.node.role == Leader && v.lastRole != Leader
	v.lastRole = v.node.role
	if !becameLeader {
		return
	}
	term := v.node.hardState.Term
	if other, ok := s.leaderByTerm[term]; ok && other != v.id {
		s.t.Fatalf("term %d has leaders %s and %s", term, other, v.id)
	}
	s.leaderByTerm[term] = v.id
	log := v.node.log
	for i, r := range s.committedEntries {
		if held, ok := log.term(i); i > log.base && (!ok || held != r.term) {
			s.t.Fatalf("leader %s of term %d lacks committed entry %d", v.id, term, i)
		}
	}
}

func (s *simulation) checkLeases() {
	var holder *vm
	for _, v := range s.vms {
		if v.up && v.node.LeaseValid(v.clock(s.now)) {
			if holder != nil {
				s.t.Fatalf("%s and %s both hold a lease", holder.id, v.id)
			}
			holder = v
		}
	}
	if holder == nil {
		return
	}
	for _, v := range s.vms {
		if v.up && v.node.role == Leader && v.node.hardState.Term > holder.node.hardState.Term {
			s.t.Fatalf("%s holds the lease of term %d while %s leads term %d",
				holder.id, holder.node.hardState.Term, v.id, v.node.hardState.Term)
		}
	}
}
