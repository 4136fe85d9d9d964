package soak

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/standin/relay"
)

const (
	// diskNodeCount is the number of nodes with a disk; the loss of one disk is tolerated.
	diskNodeCount = 3
	// seedsInSettings is the number of nodes that the settings name.
	seedsInSettings = 3
	service         = "wax"
	// replicaLag is the lag of replicas while no fault changes it.
	replicaLag = 8 * time.Millisecond
	// promotionDelay is how long the infrastructure takes for a promotion.
	promotionDelay = 300 * time.Millisecond
	// restartDelay is the time between the exit of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// shutdownGracePeriod is the time between SIGTERM and SIGKILL.
	shutdownGracePeriod = 6 * time.Second
)

// fleet is a deployment: nodes as processes behind relays, database servers behind relays,
// and the infrastructure.
type fleet struct {
	t              *testing.T
	group          *standin.Group
	infrastructure *standin.Infrastructure
	promoteAddress string
	nodes          []*process
	upstreams      []*upstream

	seedMu sync.Mutex
	// seedNodes are the nodes that the settings of every node list as seeds.
	seedNodes []standin.Node
}

// upstream is a database server and the relay in front of it.
type upstream struct {
	*standin.Server
	relay *relay.Relay
}

// process is the process of a node and the relay through which other nodes reach it.
type process struct {
	fleet         *fleet
	node          standin.Node
	listenAddress string
	relay         *relay.Relay

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected is set when the test itself stops the process.
	exitExpected bool
	// unexpectedExits describes the exits that the test did not cause.
	unexpectedExits []string
	// stops are the ends by SIGTERM, and by SIGKILL after it.
	stops []nodeStop
	log   *os.File
}

// nodeStop is the planned stop of a node.
type nodeStop struct {
	node               string
	signalledAt, endAt time.Time
	// killed is set when the process did not exit within the grace period.
	killed bool
}

// layout is the number of nodes, how many of them have a disk, and how many disks may be lost
// at once.
type layout struct{ nodes, disks, maxLost int }

func newFleet(t *testing.T, seed int64) *fleet {
	l := layout{nodes: *nodeCount, disks: diskNodeCount, maxLost: 1}
	return newFleetOf(t, l, fmt.Sprintf("seed-%d", seed))
}

func newFleetOf(t *testing.T, l layout, name string) *fleet {
	group, err := standin.NewGroup(service, "i-1", "i-2", "i-3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	f := &fleet{t: t, group: group, infrastructure: standin.NewInfrastructure(group)}
	f.infrastructure.SetPromotionDelay(promotionDelay)
	orders := httptest.NewServer(f.infrastructure)
	// Unanswered promotion orders keep their connections open, which would block Close.
	t.Cleanup(func() { orders.CloseClientConnections(); orders.Close() })
	f.promoteAddress = strings.TrimPrefix(orders.URL, "http://")
	folder := *keepLogs
	if folder == "" {
		folder = t.TempDir()
	}
	for i := range l.nodes {
		f.nodes = append(f.nodes, f.newProcess(i, filepath.Join(folder, name), l))
	}
	for _, p := range f.nodes[:min(seedsInSettings, len(f.nodes))] {
		f.seedNodes = append(f.seedNodes, p.node)
	}
	return f
}

func (f *fleet) newProcess(i int, folder string, l layout) *process {
	p := &process{fleet: f, node: standin.Node{
		Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("127.%d.1.%d", *networkNumber, i+1),
		Folder: filepath.Join(folder, fmt.Sprintf("n%d", i)), Diskless: i >= l.disks, MaxLostVMs: l.maxLost,
	}}
	_, port, err := net.SplitHostPort(p.node.InternalAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	p.listenAddress = net.JoinHostPort(fmt.Sprintf("127.%d.2.%d", *networkNumber, i+1), port)
	if err := os.MkdirAll(p.node.Folder, 0o700); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// start starts the relays, the nodes and the announcements of the infrastructure.
func (f *fleet) start(ctx context.Context) {
	for _, s := range f.group.Servers() {
		s.SetLag(replicaLag)
		r := f.startRelay(ctx, "127.0.0.1:0", s.Address)
		s.SetAnnouncedAddress(r.Addr())
		f.upstreams = append(f.upstreams, &upstream{s, r})
	}
	var controls []string
	for _, p := range f.nodes {
		p.relay = f.startRelay(ctx, p.node.InternalAddress(), p.listenAddress)
		controls = append(controls, p.node.ControlAddress())
	}
	for _, p := range f.nodes {
		p.start()
		f.t.Cleanup(p.kill)
	}
	go f.infrastructure.Announce(ctx, controls)
}

func (f *fleet) startRelay(ctx context.Context, address, target string) *relay.Relay {
	r, err := relay.Start(ctx, address, target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// seeds returns the nodes that the settings of every node list.
func (f *fleet) seeds() []standin.Node {
	f.seedMu.Lock()
	defer f.seedMu.Unlock()
	return f.seedNodes
}

// changeSeeds lists other seeds in the settings of all nodes, without a signal to them.
func (f *fleet) changeSeeds(processes ...*process) {
	var seeds []standin.Node
	for _, p := range processes {
		seeds = append(seeds, p.node)
	}
	f.seedMu.Lock()
	f.seedNodes = seeds
	f.seedMu.Unlock()
	for _, p := range f.nodes {
		p.mu.Lock()
		p.writeSettings()
		p.mu.Unlock()
	}
}

func (f *fleet) randomNode(r *rand.Rand) *process {
	return f.nodes[r.Intn(len(f.nodes))]
}

func (f *fleet) unexpectedExits() []string {
	var all []string
	for _, p := range f.nodes {
		p.mu.Lock()
		all = append(all, p.unexpectedExits...)
		p.mu.Unlock()
	}
	return all
}

// start starts the process. A previous one must have exited.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := p.writeSettings()
	log, err := os.OpenFile(filepath.Join(p.node.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.fleet.t.Error(err)
		return
	}
	c := exec.Command(nodeBinary, "--settings", settings, "--node-listen", p.listenAddress, "--metrics-port", "0")
	c.Stdout, c.Stderr = log, log
	// The node must not outlive a test process that is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		p.fleet.t.Error(err)
		return
	}
	p.node.Bootstrapped = true
	p.cmd, p.log, p.exitExpected = c, log, false
	p.exited = make(chan struct{})
	go p.reap(c, log, p.exited)
}

// writeSettings replaces the settings file in one step and returns its path. The caller holds mu.
func (p *process) writeSettings() string {
	path := filepath.Join(p.node.Folder, "settings.conf")
	content := p.node.Settings(p.fleet.seeds(), p.fleet.promoteAddress)
	if err := os.WriteFile(path+".new", content, 0o600); err != nil {
		p.fleet.t.Error(err)
		return path
	}
	if err := os.Rename(path+".new", path); err != nil {
		p.fleet.t.Error(err)
	}
	return path
}

func (p *process) reap(c *exec.Cmd, log *os.File, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	if !p.exitExpected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.node.Name, err))
	}
	p.mu.Unlock()
	_ = log.Close()
	close(ended)
}

// signal sends a signal; it has no effect after the process has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// stop sends a signal and waits for the exit of the process. After the grace period it
// kills the process.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	p.exitExpected = true
	ended := p.exited
	p.mu.Unlock()
	stop := nodeStop{node: p.node.Name, signalledAt: time.Now()}
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(shutdownGracePeriod):
		stop.killed = true
		p.signal(syscall.SIGKILL)
		<-ended
	}
	if s == syscall.SIGTERM {
		p.recordStop(stop)
	}
}

func (p *process) recordStop(s nodeStop) {
	s.endAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = append(p.stops, s)
}

func (p *process) kill() {
	p.stop(syscall.SIGKILL)
}

// removeData deletes the stored data of a process that has exited.
func (p *process) removeData() {
	if err := os.RemoveAll(filepath.Join(p.node.Folder, "data")); err != nil {
		p.fleet.t.Error(err)
	}
}

// isReady reports whether a load balancer would send callers to the node.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + p.node.ReadyAddress() + "/api/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
