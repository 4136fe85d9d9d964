package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
)

const (
	// smallDiskBytes is the size of the smallest disks that are known.
	smallDiskBytes = 64_000_000
	// manyRoutes and manyChanges are those of a large configuration that is changed for hours.
	manyRoutes  = 5000
	manyChanges = 2000
)

// catalogState is an Applier that keeps the newest configuration.
type catalogState struct {
	catalog *controlpb.Catalog
}

func (s *catalogState) Apply(_ uint64, c *controlpb.Command) *controlpb.CommandResult {
	s.catalog = c.GetPutCatalog()
	return &controlpb.CommandResult{Revision: s.catalog.Version}
}

func (s *catalogState) Snapshot() ([]byte, error) {
	return proto.Marshal(s.catalog)
}

func (s *catalogState) Restore(data []byte) error {
	s.catalog = &controlpb.Catalog{}
	return proto.Unmarshal(data, s.catalog)
}

func (s *catalogState) LeadershipChanged(bool, uint64) {}

// largeCatalog returns a configuration with many routes.
func largeCatalog(routes int) *controlpb.Catalog {
	out := &controlpb.Catalog{}
	for i := range routes {
		out.Routes = append(out.Routes, &controlpb.CatalogRoute{
			Database: fmt.Sprintf("database-%05d", i), Service: fmt.Sprintf("service-%03d", i%200),
		})
	}
	return out
}

// encodePut returns a command that puts a configuration.
func encodePut(t *testing.T, c *controlpb.Catalog) []byte {
	t.Helper()
	return mustMarshal(t, &controlpb.Command{Change: &controlpb.Command_PutCatalog{PutCatalog: c}})
}

// putCatalog proposes a version of an encoded configuration to a leader and advances the simulation until it is
// confirmed or refused. It returns false if it was not confirmed.
func (s *simulation) putCatalog(leader *simulatedVM, encoded []byte, version uint64) bool {
	// Fields of a message that follow another one of its kind are merged with it, so that the routes
	// are encoded once.
	number := mustMarshal(s.t, &controlpb.Command{Change: &controlpb.Command_PutCatalog{PutCatalog: &controlpb.Catalog{Version: version}}})
	data := slices.Concat(encoded, number)
	p := &proposal{data: data, done: make(chan outcome, 1)}
	leader.replica.appendProposal(p)
	for range 1000 {
		if err := leader.replica.advance(); err != nil {
			s.fail("the replica of %s ended: %v", leader.address, err)
		}
		select {
		case o := <-p.done:
			if o.err != nil {
				s.tracef("version %d is not confirmed: %v", version, o.err)
			}
			return o.err == nil
		default:
			s.now += simulationStep
		}
	}
	return false
}

// newSingleVoter returns a VM with a small disk that is the only voter and leads.
func newSingleVoter(t *testing.T) *simulatedVM {
	s := newSimulation(t, 1, 3, 0)
	s.snapshots = 0
	v := s.addVM()
	v.disk.SetCapacity(smallDiskBytes)
	v.state = &versionRegister{}
	v.openWith(&catalogState{})
	only := consensus.Membership{Members: []consensus.Member{{ID: v.replica.identity, Address: v.address}}}
	if err := v.replica.saveFirstMembership(only); err != nil {
		t.Fatal(err)
	}
	v.createNode()
	v.awaitLeadership()
	return v
}

// awaitLeadership lets the time pass until the only voter leads.
func (v *simulatedVM) awaitLeadership() {
	s := v.simulation
	for range 5000 {
		if v.replica.Status().Leading {
			return
		}
		s.now += simulationStep
		if err := v.replica.advance(); err != nil {
			s.fail("the replica ended: %v", err)
		}
	}
	s.fail("the only voter does not lead")
}

// restart opens the folder again and returns the state that it held.
func (v *simulatedVM) restart() *catalogState {
	state := &catalogState{}
	v.openWith(state)
	v.createNode()
	v.awaitLeadership()
	return state
}

// TestManyLargeChangesFitOnASmallDisk guards against a log that is cut by its number of entries only: entries
// that each hold a large configuration fill the disk, and no change is acknowledged any more.
func TestManyLargeChangesFitOnASmallDisk(t *testing.T) {
	v := newSingleVoter(t)
	c, mostUsed := encodePut(t, largeCatalog(manyRoutes)), int64(0)
	for version := uint64(1); version <= manyChanges; version++ {
		if !v.simulation.putCatalog(v, c, version) {
			v.simulation.fail("version %d was not confirmed; the disk holds %d bytes", version, v.disk.Used())
		}
		mostUsed = max(mostUsed, v.replica.wal.Usage().LogBytes)
	}
	t.Logf("entry %d bytes, the log used up to %d bytes, the disk holds %d", len(c), mostUsed, v.disk.Used())
	if mostUsed > smallDiskBytes/4 {
		t.Errorf("the log used %d bytes, more than a quarter of the disk", mostUsed)
	}
	v.disk.LosePower()
	state := v.restart()
	if state.catalog.GetVersion() != manyChanges || len(state.catalog.Routes) != manyRoutes {
		t.Errorf("after a loss of power: version %d with %d routes", state.catalog.GetVersion(), len(state.catalog.Routes))
	}
}

// TestEntriesInMemoryAreBoundInBytes guards against 512 entries that hold a large configuration each and
// stay in memory for members that lag.
func TestEntriesInMemoryAreBoundInBytes(t *testing.T) {
	const entryBytes, keptBytes = 1000, 10_000
	node, err := consensus.New(time.Second, consensus.Config{ID: "a", Entries: entriesOf(100, entryBytes)})
	if err != nil {
		t.Fatal(err)
	}
	if got := node.CompactionIndex(100, 512, keptBytes); got != 90 {
		t.Errorf("entries are dropped up to %d; 90 leaves %d bytes", got, keptBytes)
	}
	if got := node.CompactionIndex(100, 5, keptBytes); got != 95 {
		t.Errorf("entries are dropped up to %d; 95 leaves 5 entries", got)
	}
	if got := node.CompactionIndex(100, 512, 100*entryBytes); got != 0 {
		t.Errorf("entries are dropped up to %d although all fit", got)
	}
}

func entriesOf(count, bytes int) []consensus.Entry {
	var out []consensus.Entry
	for i := range count {
		out = append(out, consensus.Entry{Index: consensus.Index(i + 1), Term: 1, Data: make([]byte, bytes)})
	}
	return out
}

// TestFullDiskRefusesChangesUntilThereIsRoom guards against a full disk that ends the replica, and against one that
// has to be restarted once there is room.
func TestFullDiskRefusesChangesUntilThereIsRoom(t *testing.T) {
	v := newSingleVoter(t)
	s, c := v.simulation, encodePut(t, largeCatalog(100))
	confirmed := uint64(0)
	for round := range 20 {
		v.disk.SetCapacity(v.disk.Used() + int64(s.random.IntN(3*len(c))))
		for version := confirmed + 1; s.putCatalog(v, c, version); version++ {
			confirmed = version
		}
		if !v.replica.fullDisk.isFull || !v.replica.Status().Leading {
			s.fail("round %d: full %v, leads %v", round, v.replica.fullDisk.isFull, v.replica.Status().Leading)
		}
		v.disk.SetCapacity(smallDiskBytes)
		s.now += fullDiskRetryInterval
		if confirmed += 2; !s.putAfterRoom(v, c, confirmed) {
			s.fail("round %d: version %d is not confirmed although there is room", round, confirmed)
		}
	}
	v.disk.LosePower()
	if state := v.restart(); state.catalog.GetVersion() != confirmed {
		t.Errorf("version %d was confirmed, %d is read after a loss of power", confirmed, state.catalog.GetVersion())
	}
}

// putAfterRoom lets the replica write what has waited for room, and then puts a version.
func (s *simulation) putAfterRoom(leader *simulatedVM, encoded []byte, version uint64) bool {
	if err := leader.replica.advance(); err != nil {
		s.fail("the replica ended: %v", err)
	}
	return s.putCatalog(leader, encoded, version)
}

// TestFullLogFreesItself guards against a disk that stays full although the room that is left is enough for a
// snapshot, which would free it.
func TestFullLogFreesItself(t *testing.T) {
	v := newSingleVoter(t)
	small, large := encodePut(t, largeCatalog(100)), encodePut(t, largeCatalog(200))
	for version := uint64(1); version <= 10; version++ {
		if !v.simulation.putCatalog(v, small, version) {
			v.simulation.fail("version %d is not confirmed", version)
		}
	}
	v.disk.SetCapacity(v.disk.Used() + int64(len(small)*3/2))
	if !v.simulation.putCatalog(v, large, 11) {
		v.simulation.fail("the log was not cut; %d bytes are used", v.disk.Used())
	}
	if v.replica.snapshotIndex() == 0 || v.replica.fullDisk.isFull {
		t.Errorf("snapshot at %d, full %v", v.replica.snapshotIndex(), v.replica.fullDisk.isFull)
	}
}

// TestFullDisksOfAllVotersKeepTheLeader guards against a fleet without a leader while all disks are full.
func TestFullDisksOfAllVotersKeepTheLeader(t *testing.T) {
	s := newSimulation(t, 3, 3, 1)
	s.runFor(4 * time.Second)
	leader := s.leader()
	if leader == nil {
		s.fail("no leader")
	}
	term := leader.replica.Status().Term
	for _, v := range s.vms {
		v.disk.SetCapacity(v.disk.Used())
	}
	for range 50 {
		s.put()
		s.runFor(100 * time.Millisecond)
		if s.leader() != leader || leader.replica.Status().Term != term {
			s.fail("the leader has changed")
		}
	}
	for _, v := range s.vms {
		v.disk.SetCapacity(-1)
	}
	s.runFor(time.Second)
	s.put()
	s.runFor(100 * time.Millisecond)
	if s.confirmed != s.sentVersion || leader.replica.Status().Term != term {
		s.fail("version %d of %d is confirmed, term %d was %d", s.confirmed, s.sentVersion, leader.replica.Status().Term, term)
	}
}

// TestPendingProposalsAreBoundInBytes guards against proposals that together do not fit on the disk: what is not
// applied cannot be cut.
func TestPendingProposalsAreBoundInBytes(t *testing.T) {
	v := newSingleVoter(t)
	c, accepted := encodePut(t, largeCatalog(manyRoutes)), 0
	for range 2 * smallDiskBytes / len(c) {
		p := &proposal{data: c, done: make(chan outcome, 1)}
		v.replica.appendProposal(p)
		if len(p.done) == 0 {
			accepted++
		}
	}
	if bytes := accepted * len(c); bytes > smallDiskBytes/pendingDiskDivisor || bytes < smallDiskBytes/pendingDiskDivisor-len(c) {
		t.Errorf("%d proposals of %d bytes were accepted", accepted, len(c))
	}
	if err := v.replica.advance(); err != nil {
		t.Fatal(err)
	}
	if !v.simulation.putCatalog(v, c, 1) {
		v.simulation.fail("a proposal is refused although all others are applied")
	}
	if v.replica.pendingBytes != 0 {
		t.Errorf("%d bytes count as pending", v.replica.pendingBytes)
	}
}

// TestVoteOnAFullDiskIsDurable guards against a vote that counts as durable and is not while the next write of entries
// to a full disk is not yet due: the member could vote twice in a term.
func TestVoteOnAFullDiskIsDurable(t *testing.T) {
	v := newSingleVoter(t)
	v.replica.fullDisk = fullDisk{isFull: true, retryAt: v.simulation.now + time.Second}
	vote := consensus.HardState{Term: 9, Vote: "x"}
	ready := consensus.Ready{HardState: &vote, Entries: entriesOf(1, 100)}
	if err := v.replica.persist(ready); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("write before it is due: %v", err)
	}
	if !v.replica.saveHardState(ready) {
		t.Fatal("the vote was not saved")
	}
	v.disk.LosePower()
	v.openWith(&catalogState{})
	if diff := cmp.Diff(vote, v.replica.hardState); diff != "" {
		t.Error(diff)
	}
}

// TestSnapshotIsInstalledOnce guards against a replica that ends because it saves the leader's snapshot again, after
// the entries behind the snapshot had no room.
func TestSnapshotIsInstalledOnce(t *testing.T) {
	v := newSingleVoter(t)
	meta := consensus.SnapshotMeta{Index: 50, Term: 2}
	data := mustMarshal(t, largeCatalog(100))
	entry := consensus.Entry{Index: 51, Term: 2, Data: make([]byte, 10*len(data))}
	ready := consensus.Ready{Snapshot: &consensus.Snapshot{SnapshotMeta: meta, Data: data}, Entries: []consensus.Entry{entry}}
	v.disk.SetCapacity(v.disk.Used() + int64(2*len(data)))
	if err := v.replica.persist(ready); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatalf("write without room: %v", err)
	}
	v.disk.SetCapacity(smallDiskBytes)
	v.simulation.now += fullDiskRetryInterval
	if err := v.replica.persist(ready); err != nil {
		t.Fatalf("write with room again: %v", err)
	}
}
