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
	// drift is how much slower than the leader's clock a proxy's clock may run.
	drift = 1.05
)

// server is a database server of the one group.
type server struct {
	address    string
	up         bool
	cutControl bool
	cutPeers   bool
	inRecovery bool
	lsn        uint64
	timeline   uint32
	follows    string
	heardAt    time.Duration
	// switchLSN is where the server left recovery last.
	switchLSN uint64
	// branch numbers the promotion whose log the server holds; unlike a timeline
	// number it is unique.
	branch int
}

// write is a position in a branch.
type write struct {
	branch int
	lsn    uint64
}

// branch is the log that began with one promotion.
type branch struct {
	parent int
	start  uint64
}

// process is one start of a proxy. Its clock is slower than the leader's by drift.
type process struct {
	holder Holder
	cut    bool
	dead   bool
	// leases maps a term to the end of its lease in real time.
	leases map[uint64]time.Duration
	fenced uint64
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

// world runs Machines of successive leaders against servers and proxies in
// virtual time. Messages are delayed and lost at random.
type world struct {
	now       time.Duration
	rnd       *rand.Rand
	queue     timers
	seq       int
	loss      float64
	state     *fleet.State
	index     uint64
	machine   *Machine
	leader    int // number of the leadership, 0 while there is none
	elections int
	servers   []*server
	branches  []branch
	processes []*process
	// promoted maps a term to the address on which its promotion was executed.
	promoted map[uint64]string
	// primaries maps a term to its primary, acked to its newest acknowledged write.
	primaries map[uint64]string
	acked     map[uint64]write
	// switched counts the terms that a switchover has replaced.
	switched int
	failures []string
	cfg      Config
}

func newWorld(seed int64, proxies int) *world {
	w := &world{
		rnd: rand.New(rand.NewSource(seed)), state: fleet.New(),
		promoted: map[uint64]string{}, cfg: DefaultConfig(), branches: make([]branch, 1),
		primaries: map[uint64]string{}, acked: map[uint64]write{},
	}
	for i := range 3 {
		s := &server{address: fmt.Sprintf("s%d", i), up: true, inRecovery: i > 0, lsn: 100, timeline: 1, follows: "s0"}
		w.servers = append(w.servers, s)
		w.commit(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
			Service: "v", Upstream: &controlpb.Upstream{Address: s.address, Group: groupName}}}})
		w.every(200*time.Millisecond, func() { w.probe(s) })
	}
	for i := range proxies {
		w.startProcess(fmt.Sprintf("p%d", i))
	}
	w.every(100*time.Millisecond, func() { w.step(Tick{}) })
	w.every(20*time.Millisecond, w.replicate)
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, timer{at: w.now + d, seq: w.seq, run: run})
}

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() { run(); w.every(d, run) })
}

// run lets time pass and checks the invariants after every event.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && len(w.failures) == 0 {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.run()
		w.checkLeases()
	}
	w.now = end
}

func (w *world) delay() time.Duration {
	if w.rnd.Intn(20) == 0 {
		return time.Duration(w.rnd.Intn(900)) * time.Millisecond
	}
	return time.Duration(1+w.rnd.Intn(5)) * time.Millisecond
}

func (w *world) lost() bool { return w.rnd.Float64() < w.loss }

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) group() *controlpb.Group { return w.state.Proto().Groups[groupName] }

func (w *world) server(address string) *server {
	for _, s := range w.servers {
		if s.address == address {
			return s
		}
	}
	return nil
}

// checkLeases guards against a lease of a replaced term beside a promoted server.
func (w *world) checkLeases() {
	newest := w.group().Term
	for term := range w.promoted {
		newest = max(newest, term)
	}
	for _, p := range w.processes {
		for term, until := range p.leases {
			if until > w.now && term < newest {
				w.fail("%v holds a lease of term %d until %v, term %d has a primary", p.holder, term, until, newest)
			}
		}
	}
}

// ---- control ----

func (w *world) elect() {
	w.depose()
	w.elections++
	w.leader = w.elections
	w.machine = New(w.cfg)
	w.step(Elected{State: w.state.Proto()})
}

func (w *world) depose() {
	w.leader = 0
}

func (w *world) step(ev Event) {
	if w.leader == 0 {
		return
	}
	for _, e := range w.machine.Step(w.now, ev) {
		w.carryOut(e)
	}
}

func (w *world) carryOut(e Effect) {
	leader := w.leader
	switch e := e.(type) {
	case Propose:
		c := proto.Clone(e.Command).(*controlpb.Command)
		if w.lost() {
			return
		}
		w.after(w.delay(), func() {
			// An entry of an earlier leader is committed before the next one's
			// election or never.
			if w.leader != leader {
				return
			}
			if result := w.commit(c); result.Code != 0 {
				w.step(ProposalFailed{Group: e.Group})
			}
		})
	case Promote:
		w.checkPromote(e)
		w.after(w.delay(), func() { w.executePromote(e, leader) })
	case Follow:
		w.after(w.delay(), func() {
			if s := w.server(e.Address); s.up && !s.cutControl {
				s.follows = e.Primary
				w.ifLeader(leader, FollowResult{Address: e.Address, Primary: e.Primary})
			}
		})
	case ProbeNow:
		w.probe(w.server(e.Address))
	}
}

func (w *world) ifLeader(leader int, ev Event) {
	if w.leader == leader {
		w.step(ev)
	}
}

func (w *world) commit(c *controlpb.Command) *controlpb.CommandResult {
	w.index++
	before := w.state.Clone().Proto().Groups[groupName]
	result := w.state.Apply(w.index, c)
	if result.Code == 0 {
		w.checkCommand(before, c)
		w.primaries[w.group().GetTerm()] = w.group().GetPrimary()
		w.step(Applied{State: w.state.Proto()})
		w.pushFence()
	}
	return result
}

// checkCommand guards against a term start above what the new primary holds, a
// candidate with log that an earlier promotion left behind, and the return of a
// server that does not replicate.
func (w *world) checkCommand(before *controlpb.Group, c *controlpb.Command) {
	if done := c.GetCompletePromotion(); done != nil {
		s := w.server(done.Primary)
		if done.Primary != before.Primary && done.StartLsn > s.switchLSN {
			w.fail("term %d starts at %d, %s left recovery at %d", done.Term, done.StartLsn, s.address, s.switchLSN)
		}
		if s.inRecovery {
			w.fail("%s became primary in recovery", s.address)
		}
		w.checkSwitchover(before, s)
	}
	if begun := c.GetBeginPromotion(); begun != nil {
		if s := w.server(begun.Candidate); !w.prefix(s, w.server(before.Primary)) {
			w.fail("candidate %s holds log that %s does not have", s.address, before.Primary)
		}
	}
	if gone := c.GetReadmitUpstream(); gone != nil {
		s, primary := w.server(gone.Address), w.server(before.Primary)
		if !s.inRecovery || !w.prefix(s, primary) {
			w.fail("%s was readmitted with log that %s does not have", s.address, primary.address)
		}
	}
}

// checkSwitchover guards against a switchover to a server that lacks a write which
// was acknowledged in the replaced term.
func (w *world) checkSwitchover(before *controlpb.Group, s *server) {
	if !before.Switchover {
		return
	}
	if last, ok := w.acked[before.Term]; ok && !w.holds(s, last) {
		w.fail("%s replaces term %d without the acknowledged write %v", s.address, before.Term, last)
	}
	if s.address != before.Primary {
		w.switched++
	}
}

// holds tells whether a server's log contains a write.
func (w *world) holds(s *server, last write) bool {
	at, limit := s.branch, s.lsn
	for at != last.branch {
		if at == 0 {
			return false
		}
		at, limit = w.branches[at].parent, min(limit, w.branches[at].start)
	}
	return last.lsn <= limit
}

// acknowledge lets every holder of a valid lease acknowledge what the term's primary
// has written, as running transactions do on a primary that leaves.
func (w *world) acknowledge() {
	for _, p := range w.processes {
		for term, until := range p.leases {
			s := w.server(w.primaries[term])
			if until > w.now && s != nil && s.up && !s.inRecovery {
				w.acked[term] = write{branch: s.branch, lsn: s.lsn}
			}
		}
	}
}

// announce lets the platform announce a server.
func (w *world) announce(s *server, state controlpb.UpstreamState) {
	if w.leader == 0 {
		return
	}
	w.commit(&controlpb.Command{Change: &controlpb.Command_AnnounceUpstream{AnnounceUpstream: &controlpb.AnnounceUpstream{
		Service: "v", Upstream: &controlpb.Upstream{Address: s.address, Group: groupName, State: state}}}})
}

// checkPromote guards against a promotion that the replicated state does not name.
func (w *world) checkPromote(e Promote) {
	g := w.group()
	if g.Phase != controlpb.GroupPhase_GROUP_PHASE_PROMOTING || g.Candidate != e.Address || g.CandidateTerm != e.Term {
		w.fail("promotion of %s in term %d, state has %v", e.Address, e.Term, g)
	}
}

// ---- servers ----

func (w *world) probe(s *server) {
	leader, sent := w.leader, w.now
	p := ProbeResult{Address: s.address, SentAt: sent}
	if leader == 0 {
		return
	}
	if !s.up || s.cutControl || w.lost() {
		w.after(400*time.Millisecond, func() { w.ifLeader(leader, p) })
		return
	}
	w.after(time.Millisecond, func() {
		if !s.up || s.cutControl {
			return
		}
		p.Answered, p.InRecovery, p.LSN, p.Timeline = true, s.inRecovery, s.lsn, s.timeline
		p.ReceiverActive, p.ReceiverAge = s.inRecovery, w.now-s.heardAt
		w.after(time.Millisecond, func() { w.ifLeader(leader, p) })
	})
}

// replicate lets primaries write and replicas replay with some lag.
func (w *world) replicate() {
	for _, s := range w.servers {
		if s.up && !s.inRecovery {
			s.lsn += uint64(w.rnd.Intn(10))
		}
	}
	w.acknowledge()
	for _, s := range w.servers {
		from := w.server(s.follows)
		if !s.up || !s.inRecovery || s.cutPeers || from == nil || !from.up || from.cutPeers || from.inRecovery {
			continue
		}
		if from.timeline < s.timeline || (from.timeline > s.timeline && !w.prefix(s, from)) {
			continue
		}
		s.heardAt = w.now
		if from.timeline > s.timeline {
			s.timeline, s.branch = from.timeline, from.branch
		}
		// Under one timeline number a server follows even a foreign branch.
		if from.lsn > s.lsn {
			s.lsn += uint64(w.rnd.Intn(int(from.lsn-s.lsn) + 1))
		}
	}
}

// prefix tells whether a server's log is the beginning of another's.
func (w *world) prefix(s, of *server) bool {
	return w.holds(of, write{branch: s.branch, lsn: s.lsn})
}

func (w *world) executePromote(e Promote, leader int) {
	s := w.server(e.Address)
	if !s.up || s.cutControl {
		w.ifLeader(leader, PromoteResult{Group: e.Group, Address: e.Address, Term: e.Term, Err: fmt.Errorf("no connection")})
		return
	}
	if s.inRecovery {
		if other, ok := w.promoted[e.Term]; ok && other != e.Address {
			w.fail("term %d was given to %s and %s", e.Term, other, e.Address)
		}
		w.promoted[e.Term] = e.Address
		s.lsn += uint64(w.rnd.Intn(5)) // received and not replayed before
		s.inRecovery, s.switchLSN = false, s.lsn
		s.timeline++
		w.branches = append(w.branches, branch{parent: s.branch, start: s.lsn})
		s.branch = len(w.branches) - 1
	}
	w.ifLeader(leader, PromoteResult{Group: e.Group, Address: e.Address, Term: e.Term})
}

// rejoin lets the platform rebuild a server as a replica of the primary.
func (w *world) rejoin(s *server) {
	primary := w.server(w.group().Primary)
	if primary == nil || primary == s || w.group().Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		return
	}
	s.up, s.inRecovery, s.timeline = true, true, primary.timeline
	s.lsn, s.branch = min(s.lsn, primary.lsn), primary.branch
	s.follows = primary.address
}

// ---- proxies ----

func (w *world) startProcess(proxy string) {
	p := &process{
		holder: Holder{Proxy: proxy, Incarnation: fmt.Sprint(len(w.processes))},
		leases: map[uint64]time.Duration{},
	}
	w.processes = append(w.processes, p)
	w.every(250*time.Millisecond, func() { w.report(p) })
}

func (w *world) report(p *process) {
	if p.cut || p.dead || w.lost() {
		return
	}
	leader, sent, fenced := w.leader, w.now, p.fenced
	w.after(w.delay(), func() {
		if w.leader != leader || leader == 0 {
			return
		}
		w.step(FenceAcknowledged{Holder: p.holder, Group: groupName, Term: fenced})
		w.update(p, sent)
	})
}

// update grants the primary lease of a healthy group.
func (w *world) update(p *process, sent time.Duration) {
	g := w.group()
	if g.Primary == "" || g.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		w.sendFence(p)
		return
	}
	term := g.Term
	w.step(LeaseGranted{Holder: p.holder})
	if w.lost() {
		return
	}
	w.after(w.delay(), func() {
		if term <= p.fenced || p.cut {
			return
		}
		clear(p.leases)
		lease := 2500 * time.Millisecond
		p.leases[term] = sent + time.Duration(float64(lease)*drift)
	})
}

func (w *world) pushFence() {
	for _, p := range w.processes {
		w.sendFence(p)
	}
}

func (w *world) sendFence(p *process) {
	g := w.group()
	if g.Phase == controlpb.GroupPhase_GROUP_PHASE_HEALTHY || w.leader == 0 || w.lost() {
		return
	}
	term := g.Term
	w.after(w.delay(), func() {
		if p.cut || p.dead {
			return
		}
		p.fenced = max(p.fenced, term)
		delete(p.leases, term)
		w.report(p)
	})
}
