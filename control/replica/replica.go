package replica

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
)

const (
	// tickInterval is how often the core sees the time when no messages come.
	tickInterval = 20 * time.Millisecond
	// batchLimit bounds the inputs taken in before their entries are synced together.
	batchLimit = 512
	// queueLength bounds messages and proposals that wait for the replica's goroutine.
	queueLength = 1024
	// keptEntries stay in memory behind a snapshot for members a little behind.
	keptEntries = 512
	// defaultSnapshotEntries applies when Config states none.
	defaultSnapshotEntries = 1000
)

// Config is what a Replica needs to know.
type Config struct {
	// Folder holds all files; no other process may use it.
	Folder string
	// Address is the gRPC address under which the others reach this replica.
	Address string
	// Voters are the addresses of the control VMs for the first start.
	Voters []string
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// DialOptions carry the transport credentials for the other control VMs.
	DialOptions []grpc.DialOption
	Log         *logrus.Entry
}

// Replica is one member of the replicated control state.
type Replica struct {
	config   Config
	log      *logrus.Entry
	applier  Applier
	identity consensus.ID

	inbox     chan received
	proposals chan *proposal
	changes   chan *change
	// stopped is closed when Run has ended.
	stopped chan struct{}

	status atomic.Pointer[Status]
	// membership is the committed membership, nil until one is known.
	membership atomic.Pointer[consensus.Membership]
	// leaseUntil is a time of base/clock in nanoseconds, 0 without a lease.
	leaseUntil atomic.Int64

	// The rest belongs to the goroutine of Run.
	wal       wal.Log
	loaded    *wal.RecoveredState
	node      *consensus.Node
	transport *transport
	hard      consensus.HardState
	// snapshot is the newest durable one, kept for members that are far behind.
	snapshot *consensus.Snapshot
	applied  consensus.Index
	// leadingTerm is the term in which LeadershipChanged(true) was called, or 0.
	leadingTerm consensus.Term
	// addresses are those that senders have stated. They are needed to answer before
	// the membership is known.
	addresses map[consensus.ID]string
	// connected are the members that connections are kept for.
	connected []consensus.Member
	waiting   map[consensus.Index]*proposal
	awaited   []*change
}

var _ Replicator = (*Replica)(nil)

// Open opens the data folder. Register the Replica on a gRPC server, then call Run.
func Open(c Config, a Applier) (*Replica, error) {
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	log, loaded, err := wal.Open(c.Folder)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, applier: a, identity: loaded.Identity,
		log:       c.Log.WithField("member", string(loaded.Identity)),
		inbox:     make(chan received, queueLength),
		proposals: make(chan *proposal, queueLength),
		changes:   make(chan *change, queueLength),
		stopped:   make(chan struct{}),
		wal:       log, loaded: loaded,
		hard: loaded.HardState, snapshot: loaded.Snapshot,
		addresses: map[consensus.ID]string{},
		waiting:   map[consensus.Index]*proposal{},
	}
	if loaded.Snapshot != nil {
		r.membership.Store(&loaded.Snapshot.Membership)
	}
	r.status.Store(&Status{Identity: string(r.identity), Address: c.Address})
	return r, nil
}

// Run works until ctx ends or the log cannot be written.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	r.transport = newTransport(ctx, dialOptions(r.config.DialOptions), r.log)
	err := r.run(ctx)
	cancel()
	r.leaseUntil.Store(0)
	r.loseLeadership()
	r.publishEnd()
	r.failWaiting("the control process stops")
	close(r.stopped)
	r.transport.close()
	if closeErr := r.wal.Close(); err == nil {
		err = closeErr
	}
	return err
}

// publishEnd states that the replica neither leads nor knows who does.
func (r *Replica) publishEnd() {
	ended := *r.Status()
	ended.Leading, ended.LeaderIdentity, ended.LeaderAddress = false, "", ""
	r.status.Store(&ended)
}

func (r *Replica) run(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return stoppedCleanly(ctx, err)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if !r.takeInputs(ctx, ticker.C) {
			return nil
		}
		r.node.Tick(clock.Now())
		if err := r.work(); err != nil {
			return err
		}
		r.settleChanges()
		r.closeUnused()
		r.publish()
	}
}

func stoppedCleanly(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// start forms the first membership if needed and creates the core.
func (r *Replica) start(ctx context.Context) error {
	if r.loaded.Snapshot == nil && len(r.loaded.Entries) == 0 {
		m, err := r.join(ctx)
		if err != nil {
			return err
		}
		if m != nil {
			if err := r.form(*m); err != nil {
				return err
			}
		}
	}
	return r.createNode()
}

// form writes the first membership.
func (r *Replica) form(m consensus.Membership) error {
	first := consensus.Snapshot{SnapshotMeta: consensus.SnapshotMeta{Index: formedIndex, Term: 1, Membership: m}}
	if err := r.wal.SaveSnapshot(first); err != nil {
		return err
	}
	r.snapshot = &first
	r.log.Infof("formed the first membership with %d voters", m.VoterCount())
	return nil
}

func (r *Replica) createNode() error {
	c := consensus.Config{ID: r.identity, Seed: seed(r.identity), HardState: r.hard, Entries: r.loaded.Entries}
	if r.snapshot != nil {
		c.Snapshot = r.snapshot.SnapshotMeta
		if err := r.restore(*r.snapshot); err != nil {
			return err
		}
	}
	node, err := consensus.New(clock.Now(), c)
	if err != nil {
		return errors.Wrap(err, "start from the data folder")
	}
	r.node, r.loaded = node, nil
	r.publish()
	return nil
}

// seed makes members draw different election timeouts, and one member others after
// each start.
func seed(id consensus.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64() ^ uint64(clock.Now())
}

func (r *Replica) restore(s consensus.Snapshot) error {
	r.applied = s.Index
	if len(s.Data) == 0 {
		return nil
	}
	return errors.Wrapf(r.applier.Restore(s.Data), "restore the state at index %d", s.Index)
}

// takeInputs waits for an input and takes in all that are there, so that their
// entries share one sync. It returns false when ctx has ended.
func (r *Replica) takeInputs(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case in := <-r.inbox:
		r.step(in)
	case p := <-r.proposals:
		r.accept(p)
	case c := <-r.changes:
		r.acceptChange(c)
	case <-tick:
	}
	for range batchLimit {
		select {
		case in := <-r.inbox:
			r.step(in)
		case p := <-r.proposals:
			r.accept(p)
		case c := <-r.changes:
			r.acceptChange(c)
		default:
			return true
		}
	}
	return true
}

func (r *Replica) step(in received) {
	r.addresses[in.message.From] = in.fromAddress
	r.node.Step(clock.Now(), in.message)
}

// work carries out what the core asks for.
func (r *Replica) work() error {
	for {
		ready, ok := r.node.Ready()
		if !ok {
			return nil
		}
		// A vote that is sent now may end a lease that was published before.
		r.publishLease()
		r.send(ready.Messages)
		if err := r.persist(ready); err != nil {
			return err
		}
		r.node.Advance(ready)
		r.apply(ready.Committed)
		if err := r.saveSnapshot(); err != nil {
			return err
		}
	}
}

func (r *Replica) persist(ready consensus.Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.install(s); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	if ready.HardState != nil {
		r.hard = *ready.HardState
	}
	started := time.Now()
	err := r.wal.Append(r.hard, ready.Entries)
	metricSyncSeconds.Update(time.Since(started).Seconds())
	return err
}

// install replaces the state by a leader's snapshot.
func (r *Replica) install(s *consensus.Snapshot) error {
	if err := r.wal.SaveSnapshot(*s); err != nil {
		return err
	}
	r.snapshot = s
	r.failWaiting("the state was replaced by a snapshot")
	metricSnapshotsLoaded.Inc()
	r.log.Infof("installed the leader's snapshot at index %d", s.Index)
	return r.restore(*s)
}

// saveSnapshot makes a snapshot when enough entries were applied since the last one.
func (r *Replica) saveSnapshot() error {
	last := consensus.Index(0)
	if r.snapshot != nil {
		last = r.snapshot.Index
	}
	if r.applied < last+consensus.Index(r.config.SnapshotEntries) {
		return nil
	}
	meta, ok := r.node.SnapshotMeta(r.applied)
	if !ok {
		return nil
	}
	data, err := r.applier.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot of the state")
	}
	s := consensus.Snapshot{SnapshotMeta: meta, Data: data}
	if err := r.wal.SaveSnapshot(s); err != nil {
		return err
	}
	r.snapshot = &s
	r.node.Compact(meta.Index-min(meta.Index, keptEntries), meta)
	metricSnapshotsSaved.Inc()
	return nil
}

// send hands messages to the connections. Snapshots get their data here.
func (r *Replica) send(messages []consensus.Message) {
	for _, m := range messages {
		address := r.addressOf(m.To)
		if address == "" {
			countDropped(droppedNoAddress)
			continue
		}
		if m.Snapshot != nil {
			if r.snapshot == nil || r.snapshot.Index != m.Snapshot.Index {
				countDropped(droppedNoSnapshot)
				continue
			}
			m.Snapshot = r.snapshot
		}
		r.transport.send(address, toWire(m, r.config.Address))
	}
}

func (r *Replica) addressOf(id consensus.ID) string {
	if member, ok := r.node.Membership().Find(id); ok {
		return member.Address
	}
	return r.addresses[id]
}

// closeUnused drops addresses of members that were removed, and connections to them.
func (r *Replica) closeUnused() {
	m := r.node.Membership()
	if slices.Equal(m.Members, r.connected) {
		return
	}
	r.connected = m.Members
	used := map[string]bool{}
	for _, member := range m.Members {
		used[member.Address] = true
	}
	maps.DeleteFunc(r.addresses, func(id consensus.ID, _ string) bool {
		_, isMember := m.Find(id)
		return !isMember
	})
	r.transport.keep(used)
}

// publish updates what other goroutines see.
func (r *Replica) publish() {
	r.publishLease()
	s := r.node.Status()
	out := &Status{
		Identity: string(s.ID), Address: r.config.Address,
		Leading: r.leadingTerm != 0 && r.leadingTerm == s.Term,
		Term:    uint64(s.Term), LeaderIdentity: string(s.Leader), LeaderHeardAt: s.LastContact,
		Formed:    len(s.Members) > 0,
		Committed: uint64(s.Committed), Applied: uint64(r.applied),
	}
	if s.Leader != "" {
		out.LeaderAddress = r.addressOf(s.Leader)
	}
	for _, member := range s.Members {
		out.Members = append(out.Members, &controlpb.VoterStatus{
			Identity: string(member.ID), Address: member.Address, Learner: member.Learner,
			MatchIndex: uint64(member.MatchIndex), Active: member.Active,
		})
	}
	r.status.Store(out)
	if m := r.node.CommittedMembership(); len(m.Members) > 0 {
		r.membership.Store(&m)
	}
	metricTerm.Set(float64(s.Term))
	metricCommitted.Set(float64(s.Committed))
}

// publishLease also notices a lost leadership.
func (r *Replica) publishLease() {
	if r.node.Role() != consensus.Leader {
		r.failWaiting("the leader changed")
	}
	if r.node.Role() != consensus.Leader || r.node.Term() != r.leadingTerm {
		r.leaseUntil.Store(0)
		r.loseLeadership()
		return
	}
	until, ok := r.node.LeaseUntil()
	if !ok {
		until = 0
	}
	r.leaseUntil.Store(int64(until))
}

// Status implements Replicator.
func (r *Replica) Status() *Status {
	return r.status.Load()
}

// LeaseValid implements Replicator. The clock is read again because the caller may
// have been paused since it read now.
func (r *Replica) LeaseValid(now time.Duration) bool {
	until := time.Duration(r.leaseUntil.Load())
	return max(now, clock.Now()) < until
}
