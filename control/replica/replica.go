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
	// tickInterval is the time between two ticks of the core.
	tickInterval = 20 * time.Millisecond
	// maxInputsPerSync bounds the inputs whose entries are synced together.
	maxInputsPerSync = 512
	// inputQueueSize bounds the messages, proposals and membership changes, each, that
	// are queued for the goroutine of Run.
	inputQueueSize = 1024
	// entriesKeptAfterSnapshot is the number of entries before a snapshot that stay in
	// memory for members that lag slightly.
	entriesKeptAfterSnapshot = 512
	// defaultSnapshotEntries applies if Config.SnapshotEntries is 0.
	defaultSnapshotEntries = 1000
	// defaultDiskBytes applies if Config.DiskBytes is 0.
	defaultDiskBytes = 64_000_000
	// logDiskDivisor divides the size of the disk into what the log may use before a snapshot is taken.
	logDiskDivisor = 4
	// logMarginDivisor divides what the log may use into the margin below it at which a snapshot is due, so that
	// the next entries do not exceed it.
	logMarginDivisor = 8
	// keptDiskDivisor divides the size of the disk into what entries before a snapshot may use in memory. A
	// member that lags farther receives the snapshot.
	keptDiskDivisor = 16
	// pendingDiskDivisor divides the size of the disk into what proposals that are not yet applied may have in
	// all. What is not applied cannot be cut.
	pendingDiskDivisor = 8
)

// Config configures a Replica.
type Config struct {
	// Folder holds all files of the replica. No other process may use it.
	Folder string
	// Files is the file system of Folder; nil means that of the operating system.
	Files wal.FileSystem
	// Address is the gRPC address at which other members reach this replica.
	Address string
	// Voters are the addresses of the control VMs that form the first membership.
	Voters []string
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries uint64
	// DiskBytes is the size of the disk that holds Folder.
	DiskBytes int64
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

	inbox             chan receivedMessage
	proposals         chan *proposal
	membershipChanges chan *membershipChange
	// stopped is closed when Run has ended.
	stopped chan struct{}

	status atomic.Pointer[Status]
	// membership is the committed membership, nil until one is known.
	membership atomic.Pointer[consensus.Membership]
	// leaseUntil is a time of base/clock in nanoseconds, 0 without a lease.
	leaseUntil atomic.Int64

	// The fields below belong to the goroutine of Run.
	now          func() time.Duration
	electionSeed uint64
	wal          wal.Log
	recovered    *wal.RecoveredState
	node         *consensus.Node
	transport    sender
	hardState    consensus.HardState
	// snapshot is the newest durable snapshot, for members that lag far.
	snapshot *consensus.Snapshot
	applied  consensus.Index
	// leadingTerm is the term in which LeadershipChanged(true) was called, or 0.
	leadingTerm consensus.Term
	// senderAddresses are the addresses in received messages. They are needed for
	// answers before the membership is known.
	senderAddresses map[consensus.ID]string
	// connectedMembers is the membership as of the last closeRemovedPeers.
	connectedMembers []consensus.Member
	pendingProposals map[consensus.Index]*proposal
	// pendingBytes is the size of the pending proposals.
	pendingBytes   int
	fullDisk       fullDisk
	pendingChanges []*membershipChange
}

var _ Replicator = (*Replica)(nil)

// Open opens the data folder. The caller must register the Replica on a gRPC server
// and then call Run.
func Open(c Config, a Applier) (*Replica, error) {
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
	if c.DiskBytes == 0 {
		c.DiskBytes = defaultDiskBytes
	}
	if c.Files == nil {
		c.Files = wal.OperatingSystem{}
	}
	log, recovered, err := wal.OpenWithin(c.Files, c.Folder, c.DiskBytes)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, applier: a, identity: recovered.Identity,
		log:               c.Log.WithField("member", string(recovered.Identity)),
		inbox:             make(chan receivedMessage, inputQueueSize),
		proposals:         make(chan *proposal, inputQueueSize),
		membershipChanges: make(chan *membershipChange, inputQueueSize),
		stopped:           make(chan struct{}),
		now:               clock.Now,
		electionSeed:      newElectionSeed(recovered.Identity),
		wal:               log, recovered: recovered,
		hardState: recovered.HardState, snapshot: recovered.Snapshot,
		senderAddresses:  map[consensus.ID]string{},
		pendingProposals: map[consensus.Index]*proposal{},
	}
	if recovered.Snapshot != nil {
		r.membership.Store(&recovered.Snapshot.Membership)
	}
	r.status.Store(&Status{Identity: string(r.identity), Address: c.Address})
	return r, nil
}

// Run runs the replica until ctx ends or the log cannot be written.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	transport := newTransport(ctx, dialOptions(r.config.DialOptions), r.log)
	r.transport = transport
	err := r.run(ctx)
	cancel()
	r.leaseUntil.Store(0)
	r.loseLeadership()
	r.publishStopped()
	r.failPending("the control process is stopping")
	close(r.stopped)
	transport.close()
	if closeErr := r.wal.Close(); err == nil {
		err = closeErr
	}
	return err
}

// publishStopped publishes a status without a leader.
func (r *Replica) publishStopped() {
	stopped := *r.Status()
	stopped.Leading, stopped.LeaderIdentity, stopped.LeaderAddress = false, "", ""
	r.status.Store(&stopped)
}

func (r *Replica) run(ctx context.Context) error {
	if err := r.initialize(ctx); err != nil {
		return ignoreAfterCancel(ctx, err)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if !r.receiveInputs(ctx, ticker.C) {
			return nil
		}
		if err := r.advance(); err != nil {
			return err
		}
	}
}

// advance carries out what is due after inputs or the passage of time.
func (r *Replica) advance() error {
	r.node.Tick(r.now())
	if err := r.processReady(); err != nil {
		return err
	}
	r.closeRemovedPeers()
	// Who waits for a change reads the status next.
	r.publishStatus()
	r.completeChanges()
	return nil
}

func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// initialize forms the first membership if necessary and creates the core.
func (r *Replica) initialize(ctx context.Context) error {
	if r.recovered.Snapshot == nil && len(r.recovered.Entries) == 0 {
		m, err := r.bootstrap(ctx)
		if err != nil {
			return err
		}
		if m != nil {
			if err := r.saveFirstMembership(*m); err != nil {
				return err
			}
		}
	}
	return r.createNode()
}

func (r *Replica) createNode() error {
	c := consensus.Config{ID: r.identity, Seed: r.electionSeed, HardState: r.hardState, Entries: r.recovered.Entries}
	if r.snapshot != nil {
		c.Snapshot = r.snapshot.SnapshotMeta
		if err := r.restore(*r.snapshot); err != nil {
			return err
		}
	}
	node, err := consensus.New(r.now(), c)
	if err != nil {
		return errors.Wrap(err, "create the consensus core from the data folder")
	}
	r.node, r.recovered = node, nil
	r.publishStatus()
	return nil
}

// newElectionSeed returns a seed that differs between members and between starts, so that
// their random election timeouts differ too.
func newElectionSeed(id consensus.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64() ^ uint64(clock.Now())
}

// receiveInputs waits for one input and then handles all that are queued, so that their
// entries share one sync. It returns false if ctx has ended.
func (r *Replica) receiveInputs(ctx context.Context, tick <-chan time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case in := <-r.inbox:
		r.step(in)
	case p := <-r.proposals:
		r.appendProposal(p)
	case c := <-r.membershipChanges:
		r.appendChange(c)
	case <-tick:
	}
	for range maxInputsPerSync {
		select {
		case in := <-r.inbox:
			r.step(in)
		case p := <-r.proposals:
			r.appendProposal(p)
		case c := <-r.membershipChanges:
			r.appendChange(c)
		default:
			return true
		}
	}
	return true
}

func (r *Replica) step(in receivedMessage) {
	r.senderAddresses[in.message.From] = in.fromAddress
	r.node.Step(r.now(), in.message)
}

// processReady sends, persists and applies what the core has ready, until nothing is
// left.
func (r *Replica) processReady() error {
	for {
		ready, ok := r.node.Ready()
		if !ok {
			return nil
		}
		// A vote among the messages may end the published lease, so the lease is updated
		// before they are sent.
		r.publishLease()
		r.send(ready.Messages)
		err := r.persist(ready)
		if errors.Is(err, wal.ErrDiskFull) {
			if isDone := r.advanceWithoutRoom(ready); !isDone {
				r.giveWay()
				return r.freeDisk()
			}
			continue
		}
		if err != nil {
			return err
		}
		r.node.Advance(ready)
		r.applyEntries(ready.Committed)
		if err := r.saveSnapshotIfDue(); err != nil {
			return err
		}
	}
}

// send passes messages to the transport and adds the data to those with a snapshot.
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
	return r.senderAddresses[id]
}

// closeRemovedPeers closes the connections to members that were removed and forgets
// their addresses.
func (r *Replica) closeRemovedPeers() {
	m := r.node.Membership()
	if slices.Equal(m.Members, r.connectedMembers) {
		return
	}
	r.connectedMembers = m.Members
	memberAddresses := map[string]bool{}
	for _, member := range m.Members {
		memberAddresses[member.Address] = true
	}
	maps.DeleteFunc(r.senderAddresses, func(id consensus.ID, _ string) bool {
		_, isMember := m.Find(id)
		return !isMember
	})
	r.transport.closeOthers(memberAddresses)
}

// publishStatus updates the values that other goroutines read.
func (r *Replica) publishStatus() {
	r.publishLease()
	s := r.node.Status()
	out := &Status{
		Identity: string(s.ID), Address: r.config.Address,
		Leading: r.leadingTerm != 0 && r.leadingTerm == s.Term,
		Term:    uint64(s.Term), LeaderIdentity: string(s.Leader), LeaderLastContact: s.LastContact,
		HasMembership: len(s.Members) > 0,
		Committed:     uint64(s.Committed), Applied: uint64(r.applied),
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

// publishLease updates the published lease and handles a loss of leadership.
func (r *Replica) publishLease() {
	if r.node.Role() != consensus.Leader {
		r.failPending("the leader changed")
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

// LeaseValid implements Replicator. It reads the clock again, because the caller may
// have been paused since it read now.
func (r *Replica) LeaseValid(now time.Duration) bool {
	until := time.Duration(r.leaseUntil.Load())
	return max(now, r.now()) < until
}
