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
	// cores is the number of nodes with a disk; the loss of one disk is tolerated.
	cores   = 3
	service = "wax"
	// replicaLag is that of replicas without a fault.
	replicaLag = 8 * time.Millisecond
	// promoteTime is how long a promotion takes.
	promoteTime = 300 * time.Millisecond
	// restartPause is the time after which an ended process is started again.
	restartPause = 300 * time.Millisecond
	// shutdownGrace is the time between SIGTERM and SIGKILL.
	shutdownGrace = 6 * time.Second
)

// fleet is a deployment: nodes as processes behind relays, database servers behind relays,
// and the infrastructure.
type fleet struct {
	t              *testing.T
	group          *standin.Group
	infrastructure *standin.Infrastructure
	promote        string
	nodes          []*process
	upstreams      []*upstream
}

// upstream is a database server with the relay in front of it.
type upstream struct {
	*standin.Server
	relay *relay.Relay
}

// process is a node with the relay that other nodes reach it through.
type process struct {
	fleet  *fleet
	place  standin.Node
	listen string
	relay  *relay.Relay

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected is set when the fleet itself ends the process.
	expected bool
	// unexpected lists ends that nobody asked for.
	unexpected []string
	log        *os.File
}

func newFleet(t *testing.T, seed int64) *fleet {
	group, err := standin.NewGroup(service, "i-1", "i-2", "i-3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	f := &fleet{t: t, group: group, infrastructure: standin.NewInfrastructure(group)}
	f.infrastructure.SetPromotionDelay(promoteTime)
	orders := httptest.NewServer(f.infrastructure)
	// Orders that are left unanswered hold their connections.
	t.Cleanup(func() { orders.CloseClientConnections(); orders.Close() })
	f.promote = strings.TrimPrefix(orders.URL, "http://")
	folder := *keepLogs
	if folder == "" {
		folder = t.TempDir()
	}
	for i := range *nodeCount {
		f.nodes = append(f.nodes, f.newProcess(i, filepath.Join(folder, fmt.Sprintf("seed-%d", seed))))
	}
	return f
}

func (f *fleet) newProcess(i int, folder string) *process {
	p := &process{fleet: f, place: standin.Node{
		Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("127.%d.1.%d", *network, i+1),
		Folder: filepath.Join(folder, fmt.Sprintf("n%d", i)), Diskless: i >= cores,
	}}
	_, port, err := net.SplitHostPort(p.place.InternalAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	p.listen = net.JoinHostPort(fmt.Sprintf("127.%d.2.%d", *network, i+1), port)
	if err := os.MkdirAll(p.place.Folder, 0o700); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// start starts relays, servers and nodes.
func (f *fleet) start(ctx context.Context) {
	for _, s := range f.group.Servers() {
		s.SetLag(replicaLag)
		r := f.relay(ctx, "127.0.0.1:0", s.Address)
		s.SetAnnouncedAddress(r.Addr())
		f.upstreams = append(f.upstreams, &upstream{s, r})
	}
	var controls []string
	for _, p := range f.nodes {
		p.relay = f.relay(ctx, p.place.InternalAddress(), p.listen)
		controls = append(controls, p.place.ControlAddress())
	}
	for _, p := range f.nodes {
		p.start()
		f.t.Cleanup(p.kill)
	}
	go f.infrastructure.Announce(ctx, controls)
}

func (f *fleet) relay(ctx context.Context, address, target string) *relay.Relay {
	r, err := relay.Start(ctx, address, target)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	return r
}

// seeds are the nodes with a disk.
func (f *fleet) seeds() []standin.Node {
	var seeds []standin.Node
	for _, p := range f.nodes[:min(cores, len(f.nodes))] {
		seeds = append(seeds, p.place)
	}
	return seeds
}

func (f *fleet) randomNode(r *rand.Rand) *process {
	return f.nodes[r.Intn(len(f.nodes))]
}

func (f *fleet) unexpectedExits() []string {
	var all []string
	for _, p := range f.nodes {
		p.mu.Lock()
		all = append(all, p.unexpected...)
		p.mu.Unlock()
	}
	return all
}

// start starts the process. The caller has ended the one before.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := filepath.Join(p.place.Folder, "settings.conf")
	if err := os.WriteFile(settings, p.place.Settings(p.fleet.seeds(), p.fleet.promote), 0o600); err != nil {
		p.fleet.t.Error(err)
		return
	}
	log, err := os.OpenFile(filepath.Join(p.place.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.fleet.t.Error(err)
		return
	}
	c := exec.Command(binary, "--settings", settings, "--node-listen", p.listen, "--metrics-port", "0")
	c.Stdout, c.Stderr = log, log
	// The node must not outlive a test that was killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		p.fleet.t.Error(err)
		return
	}
	p.place.Bootstrapped = true
	p.command, p.log, p.expected = c, log, false
	p.ended = make(chan struct{})
	go p.reap(c, log, p.ended)
}

func (p *process) reap(c *exec.Cmd, log *os.File, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	if !p.expected {
		p.unexpected = append(p.unexpected, fmt.Sprintf("%s ended by itself: %v", p.place.Name, err))
	}
	p.mu.Unlock()
	_ = log.Close()
	close(ended)
}

// signal sends a signal. An ended process ignores it.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// end ends the process with a signal and waits for its end, or until the grace period is
// over.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.expected = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-ended:
		return
	case <-time.After(shutdownGrace):
	}
	p.signal(syscall.SIGKILL)
	<-ended
}

func (p *process) kill() {
	p.end(syscall.SIGKILL)
}

// loseDisk removes what an ended process has stored.
func (p *process) loseDisk() {
	if err := os.RemoveAll(filepath.Join(p.place.Folder, "data")); err != nil {
		p.fleet.t.Error(err)
	}
}

// ready reports whether the balancer would send callers to the node.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + p.place.ReadyAddress() + "/api/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
