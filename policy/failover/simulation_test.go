package failover

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/fleet"
)

const (
	groupName = "g"
	// drift is the factor by which a proxy's clock runs slower than the leader's.
	drift = 1.05
)

// server is a simulated database server. All servers form one group.
type server struct {
	address    string
	up         bool
	cutControl bool
	cutPeers   bool
	inRecovery bool
	lsn        uint64
	timeline   uint32
	follows    string
	receivedAt time.Duration
	// promotionLSN is the position at which the server last left recovery.
	promotionLSN uint64
	// branch is the number of the promotion whose log the server holds. Unlike a
	// timeline number it is unique.
	branch int
}

// write is the position of a write in the log of a branch.
type write struct {
	branch int
	lsn    uint64
}

// branch is the log that begins with one promotion.
type branch struct {
	parent int
	start  uint64
}

// process is one incarnation of a proxy. Its clock is slower than the leader's by drift.
type process struct {
	holder Holder
	cut    bool
	dead   bool
	// leases maps a term to the end of its lease on the leader's clock.
	leases     map[uint64]time.Duration
	fencedTerm uint64
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs the Machines of successive leaders against simulated servers and
// proxies in virtual time. Messages are delayed and lost at random.
type simulation struct {
	now       time.Duration
	rnd       *rand.Rand
	queue     timers
	seq       int
	lossRate  float64
	state     *fleet.State
	index     uint64
	machine   *Machine
	leader    int // number of the current leadership, 0 without a leader
	elections int
	servers   []*server
	branches  []branch
	processes []*process
	// promoted maps a term to the address on which its promotion was executed.
	promoted map[uint64]string
	// primaries maps a term to its primary, newestAcked to its newest acknowledged write.
	primaries   map[uint64]string
	newestAcked map[uint64]write
	// switchovers counts the terms that ended with a switchover to another server.
	switchovers int
	failures    []string
	cfg         Config
}

func newSimulation(seed int64, proxies int) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewSource(seed)), state: fleet.New(),
		promoted: map[uint64]string{}, cfg: DefaultConfig(), branches: make([]branch, 1),
		primaries: map[uint64]string{}, newestAcked: map[uint64]write{},
	}
	for i := range 3 {
		s := &server{address: fmt.Sprintf("s%d", i), up: true, inRecovery: i > 0, lsn: 100, timeline: 1, follows: "s0"}
		sim.servers = append(sim.servers, s)
		sim.commit(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
			Service: "v", Upstream: &controlpb.Upstream{Address: s.address, Group: groupName}}}})
		sim.every(200*time.Millisecond, func() { sim.probe(s) })
	}
	for i := range proxies {
		sim.startProcess(fmt.Sprintf("p%d", i))
	}
	sim.every(100*time.Millisecond, func() { sim.step(Tick{}) })
	sim.every(20*time.Millisecond, sim.replicate)
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, timer{at: sim.now + d, seq: sim.seq, run: run})
}

func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() { run(); sim.every(d, run) })
}

// runFor advances the time by d and checks the invariants after every event.
func (sim *simulation) runFor(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end && len(sim.failures) == 0 {
		next := heap.Pop(&sim.queue).(timer)
		sim.now = next.at
		next.run()
		sim.checkLeases()
	}
	sim.now = end
}

func (sim *simulation) messageDelay() time.Duration {
	if sim.rnd.Intn(20) == 0 {
		return time.Duration(sim.rnd.Intn(900)) * time.Millisecond
	}
	return time.Duration(1+sim.rnd.Intn(5)) * time.Millisecond
}

func (sim *simulation) isMessageLost() bool { return sim.rnd.Float64() < sim.lossRate }

func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) group() *controlpb.Group { return sim.state.Proto().Groups[groupName] }

func (sim *simulation) server(address string) *server {
	for _, s := range sim.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// checkLeases fails if a lease of a replaced term is valid after a server was promoted.
func (sim *simulation) checkLeases() {
	newest := sim.group().Term
	for term := range sim.promoted {
		newest = max(newest, term)
	}
	for _, p := range sim.processes {
		for term, until := range p.leases {
			if until > sim.now && term < newest {
				sim.fail("%v holds a lease of term %d until %v, term %d has a primary", p.holder, term, until, newest)
			}
		}
	}
}

// Control leader.

func (sim *simulation) elect() {
	sim.depose()
	sim.elections++
	sim.leader = sim.elections
	sim.machine = New(sim.cfg)
	sim.step(Elected{State: sim.state.Proto()})
}

func (sim *simulation) depose() {
	sim.leader = 0
}

func (sim *simulation) step(ev Event) {
	if sim.leader == 0 {
		return
	}
	for _, e := range sim.machine.Step(sim.now, ev) {
		sim.execute(e)
	}
}

func (sim *simulation) execute(e Effect) {
	leader := sim.leader
	switch e := e.(type) {
	case Propose:
		c := proto.Clone(e.Command).(*controlpb.Command)
		if sim.isMessageLost() {
			return
		}
		sim.after(sim.messageDelay(), func() {
			// An entry of an earlier leader is committed before the next election or
			// not at all.
			if sim.leader != leader {
				return
			}
			if result := sim.commit(c); result.Code != 0 {
				sim.step(ProposalFailed{Group: e.Group})
			}
		})
	case Promote:
		sim.checkPromote(e)
		sim.after(sim.messageDelay(), func() { sim.promoteServer(e, leader) })
	case Follow:
		sim.after(sim.messageDelay(), func() {
			if s := sim.server(e.Address); s.up && !s.cutControl {
				s.follows = e.Primary
				sim.stepIfLeader(leader, FollowResult{Address: e.Address, Primary: e.Primary})
			}
		})
	case ProbeNow:
		sim.probe(sim.server(e.Address))
	}
}

func (sim *simulation) stepIfLeader(leader int, ev Event) {
	if sim.leader == leader {
		sim.step(ev)
	}
}

func (sim *simulation) commit(c *controlpb.Command) *controlpb.CommandResult {
	sim.index++
	before := sim.state.Clone().Proto().Groups[groupName]
	result := sim.state.Apply(sim.index, c)
	if result.Code == 0 {
		sim.checkCommand(before, c)
		sim.primaries[sim.group().GetTerm()] = sim.group().GetPrimary()
		sim.step(Applied{State: sim.state.Proto()})
		sim.pushFence()
	}
	return result
}

// checkCommand fails on a term start above the position of the new primary, on a
// candidate with log that is not part of the primary's, and on the readmission of a
// server that does not replicate.
func (sim *simulation) checkCommand(before *controlpb.Group, c *controlpb.Command) {
	if done := c.GetCompletePromotion(); done != nil {
		s := sim.server(done.Primary)
		if done.Primary != before.Primary && done.StartLsn > s.promotionLSN {
			sim.fail("term %d starts at %d, %s left recovery at %d", done.Term, done.StartLsn, s.address, s.promotionLSN)
		}
		if s.inRecovery {
			sim.fail("%s became primary in recovery", s.address)
		}
		sim.checkSwitchover(before, s)
	}
	if begun := c.GetBeginPromotion(); begun != nil {
		if s := sim.server(begun.Candidate); !sim.isPrefix(s, sim.server(before.Primary)) {
			sim.fail("candidate %s holds log that %s does not have", s.address, before.Primary)
		}
	}
	if gone := c.GetReadmitUpstream(); gone != nil {
		s, primary := sim.server(gone.Address), sim.server(before.Primary)
		if !s.inRecovery || !sim.isPrefix(s, primary) {
			sim.fail("%s was readmitted with log that %s does not have", s.address, primary.address)
		}
	}
}

// checkSwitchover fails on a switchover to a server that lacks a write acknowledged in
// the replaced term.
func (sim *simulation) checkSwitchover(before *controlpb.Group, s *server) {
	if !before.Switchover {
		return
	}
	if last, ok := sim.newestAcked[before.Term]; ok && !sim.containsWrite(s, last) {
		sim.fail("%s replaces term %d without the acknowledged write %v", s.address, before.Term, last)
	}
	if s.address != before.Primary {
		sim.switchovers++
	}
}

// containsWrite reports whether a server's log contains a write.
func (sim *simulation) containsWrite(s *server, last write) bool {
	at, limit := s.branch, s.lsn
	for at != last.branch {
		if at == 0 {
			return false
		}
		at, limit = sim.branches[at].parent, min(limit, sim.branches[at].start)
	}
	return last.lsn <= limit
}

// acknowledgeWrites acknowledges everything that a term's primary has written while a
// holder has a valid lease, as running transactions do on a leaving primary.
func (sim *simulation) acknowledgeWrites() {
	for _, p := range sim.processes {
		for term, until := range p.leases {
			s := sim.server(sim.primaries[term])
			if until > sim.now && s != nil && s.up && !s.inRecovery {
				sim.newestAcked[term] = write{branch: s.branch, lsn: s.lsn}
			}
		}
	}
}

// announce commits the platform's announcement of a server.
func (sim *simulation) announce(s *server, state controlpb.UpstreamState) {
	if sim.leader == 0 {
		return
	}
	sim.commit(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
		Service: "v", Upstream: &controlpb.Upstream{Address: s.address, Group: groupName, State: state}}}})
}

// checkPromote fails on a promotion that the replicated state does not ask for.
func (sim *simulation) checkPromote(e Promote) {
	g := sim.group()
	if g.Phase != controlpb.GroupPhase_GROUP_PHASE_PROMOTING || g.Candidate != e.Address || g.CandidateTerm != e.Term {
		sim.fail("promotion of %s in term %d, state has %v", e.Address, e.Term, g)
	}
}

// Database servers.

func (sim *simulation) probe(s *server) {
	leader, sent := sim.leader, sim.now
	p := ProbeResult{Address: s.address, SentAt: sent}
	if leader == 0 {
		return
	}
	if !s.up || s.cutControl || sim.isMessageLost() {
		sim.after(400*time.Millisecond, func() { sim.stepIfLeader(leader, p) })
		return
	}
	sim.after(time.Millisecond, func() {
		if !s.up || s.cutControl {
			return
		}
		p.Answered, p.InRecovery, p.LSN, p.Timeline = true, s.inRecovery, s.lsn, s.timeline
		p.ReceiverActive, p.ReceiverAge = s.inRecovery, sim.now-s.receivedAt
		sim.after(time.Millisecond, func() { sim.stepIfLeader(leader, p) })
	})
}

// replicate adds writes to primaries and lets replicas replay some of them.
func (sim *simulation) replicate() {
	for _, s := range sim.servers {
		if s.up && !s.inRecovery {
			s.lsn += uint64(sim.rnd.Intn(10))
		}
	}
	sim.acknowledgeWrites()
	for _, s := range sim.servers {
		from := sim.server(s.follows)
		if !s.up || !s.inRecovery || s.cutPeers || from == nil || !from.up || from.cutPeers || from.inRecovery {
			continue
		}
		if from.timeline < s.timeline || (from.timeline > s.timeline && !sim.isPrefix(s, from)) {
			continue
		}
		s.receivedAt = sim.now
		if from.timeline > s.timeline {
			s.timeline, s.branch = from.timeline, from.branch
		}
		// Under the same timeline number a server follows even a diverged branch,
		// because it cannot tell the two apart.
		if from.lsn > s.lsn {
			s.lsn += uint64(sim.rnd.Intn(int(from.lsn-s.lsn) + 1))
		}
	}
}

// isPrefix reports whether the log of s is a prefix of the log of another server.
func (sim *simulation) isPrefix(s, of *server) bool {
	return sim.containsWrite(of, write{branch: s.branch, lsn: s.lsn})
}

func (sim *simulation) promoteServer(e Promote, leader int) {
	s := sim.server(e.Address)
	if !s.up || s.cutControl {
		sim.stepIfLeader(leader, PromoteResult{Group: e.Group, Address: e.Address, Term: e.Term, Err: fmt.Errorf("no connection")})
		return
	}
	if s.inRecovery {
		if other, ok := sim.promoted[e.Term]; ok && other != e.Address {
			sim.fail("term %d was given to %s and %s", e.Term, other, e.Address)
		}
		sim.promoted[e.Term] = e.Address
		s.lsn += uint64(sim.rnd.Intn(5)) // log received before but not replayed
		s.inRecovery, s.promotionLSN = false, s.lsn
		s.timeline++
		sim.branches = append(sim.branches, branch{parent: s.branch, start: s.lsn})
		s.branch = len(sim.branches) - 1
	}
	sim.stepIfLeader(leader, PromoteResult{Group: e.Group, Address: e.Address, Term: e.Term})
}

// rejoin rebuilds a server as a replica of the primary, as the platform does.
func (sim *simulation) rejoin(s *server) {
	primary := sim.server(sim.group().Primary)
	if primary == nil || primary == s || sim.group().Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		return
	}
	s.up, s.inRecovery, s.timeline = true, true, primary.timeline
	s.lsn, s.branch = min(s.lsn, primary.lsn), primary.branch
	s.follows = primary.address
}

// Proxies.

func (sim *simulation) startProcess(proxy string) {
	p := &process{
		holder: Holder{Proxy: proxy, Incarnation: fmt.Sprint(len(sim.processes))},
		leases: map[uint64]time.Duration{},
	}
	sim.processes = append(sim.processes, p)
	sim.every(250*time.Millisecond, func() { sim.report(p) })
}

func (sim *simulation) report(p *process) {
	if p.cut || p.dead || sim.isMessageLost() {
		return
	}
	leader, sent, fenced := sim.leader, sim.now, p.fencedTerm
	sim.after(sim.messageDelay(), func() {
		if sim.leader != leader || leader == 0 {
			return
		}
		sim.step(FenceAcknowledged{Holder: p.holder, Group: groupName, Term: fenced})
		sim.update(p, sent)
	})
}

// update grants the primary lease of a healthy group and sends the fence otherwise.
func (sim *simulation) update(p *process, sent time.Duration) {
	g := sim.group()
	if g.Primary == "" || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		sim.sendFence(p)
		return
	}
	term := g.Term
	sim.step(LeaseGranted{Holder: p.holder})
	if sim.isMessageLost() {
		return
	}
	sim.after(sim.messageDelay(), func() {
		if term <= p.fencedTerm || p.cut {
			return
		}
		clear(p.leases)
		lease := 2500 * time.Millisecond
		p.leases[term] = sent + time.Duration(float64(lease)*drift)
	})
}

func (sim *simulation) pushFence() {
	for _, p := range sim.processes {
		sim.sendFence(p)
	}
}

func (sim *simulation) sendFence(p *process) {
	g := sim.group()
	if g.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY || sim.leader == 0 || sim.isMessageLost() {
		return
	}
	term := g.Term
	sim.after(sim.messageDelay(), func() {
		if p.cut || p.dead {
			return
		}
		p.fencedTerm = max(p.fencedTerm, term)
		delete(p.leases, term)
		sim.report(p)
	})
}
