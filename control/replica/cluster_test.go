package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/consensus"
	"github.com/jayloom/jayloom/wal"
)

// memoryApplier is an Applier that applies each request once. The revision of a request
// is its position in requestIDs.
type memoryApplier struct {
	mu sync.Mutex
	// requestIDs are in the order of the first application.
	requestIDs []string
	known      map[string]uint64
	leading    bool
}

func (m *memoryApplier) Apply(_ uint64, c *controlpb.Command) *controlpb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known[c.RequestId] == 0 {
		m.add(c.RequestId)
	}
	return &controlpb.CommandResult{RequestId: c.RequestId, Revision: m.known[c.RequestId]}
}

func (m *memoryApplier) add(id string) {
	m.requestIDs = append(m.requestIDs, id)
	m.known[id] = uint64(len(m.requestIDs))
}

func (m *memoryApplier) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.requestIDs)
}

func (m *memoryApplier) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requestIDs, m.known = nil, map[string]uint64{}
	var requestIDs []string
	err := json.Unmarshal(data, &requestIDs)
	for _, id := range requestIDs {
		m.add(id)
	}
	return err
}

func (m *memoryApplier) LeadershipChanged(leading bool, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading = leading
}

func (m *memoryApplier) appliedRequests() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.requestIDs...)
}

// clusterMember is one running replica.
type clusterMember struct {
	*Replica
	state  *memoryApplier
	cancel context.CancelFunc
	server *grpc.Server
	runErr chan error
	log    *failingLog
}

// failingLog is a log whose writes fail while failWrites is set.
type failingLog struct {
	wal.Log
	failWrites atomic.Bool
}

var errDisk = errors.New("no space left on device")

func (d *failingLog) Append(hs consensus.HardState, entries []consensus.Entry) error {
	if d.failWrites.Load() {
		return errDisk
	}
	return d.Log.Append(hs, entries)
}

func (d *failingLog) SaveSnapshot(s consensus.Snapshot) error {
	if d.failWrites.Load() {
		return errDisk
	}
	return d.Log.SaveSnapshot(s)
}

// cluster is a set of replicas with real files that communicate over loopback.
type cluster struct {
	t         testing.TB
	addresses []string
	folders   []string
	members   []*clusterMember
	network   *fakeNetwork
	// snapshotEntries is small in tests, so that many snapshots are taken.
	snapshotEntries uint64
}

func newCluster(t testing.TB, size int) *cluster {
	return newClusterWithSnapshots(t, size, 20)
}

func newClusterWithSnapshots(t testing.TB, size int, snapshotEntries uint64) *cluster {
	c := &cluster{t: t, members: make([]*clusterMember, size), network: newFakeNetwork(), snapshotEntries: snapshotEntries}
	var listeners []net.Listener
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		c.addresses = append(c.addresses, l.Addr().String())
		c.folders = append(c.folders, t.TempDir())
	}
	for i, l := range listeners {
		c.startOn(i, l)
	}
	t.Cleanup(func() {
		for i := range c.members {
			c.stop(i)
		}
	})
	return c
}

func (c *cluster) start(i int) {
	c.t.Helper()
	l, err := net.Listen("tcp", c.addresses[i])
	if err != nil {
		c.t.Fatal(err)
	}
	c.startOn(i, l)
}

func (c *cluster) startOn(i int, l net.Listener) {
	c.t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := &memoryApplier{known: map[string]uint64{}}
	r, err := Open(Config{
		Folder: c.folders[i], Address: c.addresses[i], Voters: c.addresses, SnapshotEntries: c.snapshotEntries,
		DialOptions: []grpc.DialOption{
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(c.network.dialerFor(c.addresses[i])),
		},
		Log: logrus.NewEntry(logger),
	}, state)
	if err != nil {
		c.t.Fatal(err)
	}
	disk := &failingLog{Log: r.wal}
	r.wal = disk
	ctx, cancel := context.WithCancel(context.Background())
	p := &clusterMember{
		Replica: r, state: state, cancel: cancel, server: grpc.NewServer(ServerOptions()...), runErr: make(chan error, 1), log: disk,
	}
	r.Register(p.server)
	go func() { _ = p.server.Serve(l) }()
	go func() { p.runErr <- r.Run(ctx) }()
	c.members[i] = p
}

func (c *cluster) stop(i int) {
	p := c.members[i]
	if p == nil {
		return
	}
	c.members[i] = nil
	p.cancel()
	if err := <-p.runErr; err != nil {
		c.t.Errorf("replica %d ended with %v", i, err)
	}
	p.server.Stop()
}

// waitFor polls a condition and fails the test if it is not met within a minute.
func (c *cluster) waitFor(what string, cond func() bool) {
	c.t.Helper()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	limit := time.After(time.Minute)
	for !cond() {
		select {
		case <-poll.C:
		case <-limit:
			c.t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

func (c *cluster) leader() *clusterMember {
	for _, p := range c.members {
		if p != nil && p.Status().Leading {
			return p
		}
	}
	return nil
}

func (c *cluster) indexOf(p *clusterMember) int {
	return slices.Index(c.members, p)
}

func (c *cluster) awaitLeader() *clusterMember {
	c.t.Helper()
	var p *clusterMember
	c.waitFor("a leader with a lease", func() bool {
		p = c.leader()
		return p != nil && p.LeaseValid(0)
	})
	return p
}

// propose sends a command until it is confirmed, as jayloomctl does.
func (c *cluster) propose(id string) *controlpb.CommandResult {
	c.t.Helper()
	var result *controlpb.CommandResult
	c.waitFor("command "+id, func() bool {
		got, err := c.awaitLeader().Propose(c.t.Context(), &controlpb.Command{RequestId: id})
		var coded *rescode.Error
		if err != nil && !errors.As(err, &coded) {
			c.t.Fatalf("error without result code: %v", err)
		}
		result = got
		return err == nil
	})
	return result
}

// proposeMany proposes the commands that the leader has not applied yet.
func (c *cluster) proposeMany(prefix string, count int) {
	c.t.Helper()
	for i := range count {
		id := fmt.Sprint(prefix, i)
		if !slices.Contains(c.awaitLeader().state.appliedRequests(), id) {
			c.propose(id)
		}
	}
}

// proposeConcurrently proposes commands at the same time, so that they share syncs.
func (c *cluster) proposeConcurrently(prefix string, count int) {
	c.t.Helper()
	leader := c.awaitLeader()
	var senders sync.WaitGroup
	for i := range count {
		senders.Go(func() {
			_, _ = leader.Propose(c.t.Context(), &controlpb.Command{RequestId: fmt.Sprint(prefix, i)})
		})
	}
	senders.Wait()
	// Failed ones are proposed again.
	c.proposeMany(prefix, count)
}

// awaitEqualStates waits until all running replicas have applied the wanted number of
// requests and checks that they are the same.
func (c *cluster) awaitEqualStates(want int) {
	c.t.Helper()
	for i, p := range c.members {
		if p != nil {
			c.waitFor(fmt.Sprintf("replica %d applied %d requests", i, want), func() bool { return len(p.state.appliedRequests()) >= want })
		}
	}
	var first []string
	for i, p := range c.members {
		if p == nil {
			continue
		}
		got := p.state.appliedRequests()
		if first == nil {
			first = got
		}
		if len(got) != want || fmt.Sprint(got) != fmt.Sprint(first) {
			c.t.Errorf("replica %d holds %v, want %d requests like %v", i, got, want, first)
		}
	}
}
