// Package fleet starts a small deployment of jayloom-node processes on loopback addresses, with the settings of the
// site litbrot-ops, and clients for them. It is used by the scripts of the cases.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each node. All nodes have addresses of their own.
const (
	CallerPort   = 8465
	readyPort    = 8460
	controlPort  = 8462
	internalPort = 7560
)

// Node is one jayloom-node process.
type Node struct {
	Name, IP string
	Core     bool
	fleet    *Fleet
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	started  int
}

// Fleet is a deployment.
type Fleet struct {
	Folder   string
	Nodes    []*Node
	Platform string
	// MemoryMB is the memory of a machine.
	MemoryMB int
	binary   string
	root     string
	record   *Record
	first    bool
}

// Record is the file in which a script writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, began: time.Now()}, err
}

// Now returns the time since the beginning.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Printf writes a line with the time in front.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf("%9.3f ", r.Now().Seconds())
	fmt.Printf(format+"\n", args...)
}

// New prepares a deployment with core nodes, which have a disk, and others. platform is the address that takes
// promotion orders.
func New(root string, core, others int, platform string, record *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "jayloom-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Folder: folder, Platform: platform, MemoryMB: 284, root: root, binary: filepath.Join(root, "target", "jayloom-node"), record: record, first: true}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
	for i := range core + others {
		n := &Node{Name: fmt.Sprintf("front-%d", i+1), IP: fmt.Sprintf("%s.%d", subnet, i+1), Core: i < core, fleet: f}
		f.Nodes = append(f.Nodes, n)
	}
	return f, nil
}

// Start starts all nodes for the first time.
func (f *Fleet) Start() error {
	for _, n := range f.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	f.first = false
	return nil
}

// Close ends all nodes and removes their files.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	} else {
		fmt.Println("files kept in", f.Folder)
	}
}

// Control returns the address of the operator's API of a node.
func (n *Node) Control() string { return net.JoinHostPort(n.IP, strconv.Itoa(controlPort)) }

// Ready reports whether the node answers the ready probe with 200.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + net.JoinHostPort(n.IP, strconv.Itoa(readyPort)) + "/api/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *Node) settings() string {
	f := n.fleet
	var seeds []string
	for _, s := range f.Nodes {
		if s.Core && len(seeds) < 3 {
			seeds = append(seeds, s.Control())
		}
	}
	data := ""
	cpu := "0.4"
	if n.Core {
		data, cpu = filepath.Join(f.Folder, n.Name, "data"), "0.72"
	}
	return fmt.Sprintf(`node_name=%s
role=node
class=front
serves=front,control
ip=%s
zone=hafnarfj
region=reykjanes
zones.hafnarfj=reykjanes
zones.keflavik=reykjanes
zones.grindavik=reykjanes
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s
internal_ports=%d,%d
seed_addrs=%s
bootstrap=%t
in_tolerance=%t
limits.cpu_share=%s
limits.cpu_cores=1
limits.memory_mb=%d
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=64
data_dir=%s
discovery=register
entry=vip
beat_ms=1200
contracts=base,drain,config,cost,recover,sql,tenants,quota
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.downgrade_slack_ms=250
bounds.skew_max_ms=12000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_excess=0.1
bounds.quota_slack=20
bounds.recover_s=12
bounds.require_fence=true
bounds.thaw_slack_ms=300
config_mode=highest
cloud.address=%s
cloud.rate_per_s=50.0
cloud.duties=failover
cloud.duty_per_s=50.0
`, n.Name, n.IP, n.IP, CallerPort, n.IP, readyPort, n.Control(), internalPort, internalPort+15, strings.Join(seeds, ","),
		f.first, n.Core, cpu, f.MemoryMB, data, f.Platform)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	f := n.fleet
	folder := filepath.Join(f.Folder, n.Name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "settings.conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "JAYLOOM_CONFIG=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.started++
	n.mu.Unlock()
	f.record.Printf("node %s started, process %d", n.Name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// PID returns the id of the node's process, or 0.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.fleet.record.Printf("node %s is sent %v", n.Name, s)
	_ = cmd.Process.Signal(s)
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.fleet.record.Printf("node %s is killed", n.Name)
	_ = cmd.Process.Kill()
	<-done
}

// Log returns what the node has written.
func (n *Node) Log() string {
	b, _ := os.ReadFile(filepath.Join(n.fleet.Folder, n.Name, "log"))
	return string(b)
}

// Leader returns the core node that has written last that it leads, or nil.
func (f *Fleet) Leader() *Node {
	var leader *Node
	newest := uint64(0)
	for _, n := range f.Nodes {
		for line := range strings.SplitSeq(n.Log(), "\n") {
			var e struct {
				Event string
				Term  uint64
			}
			if json.Unmarshal([]byte(line), &e) == nil && e.Event == "leadership_gained" && e.Term > newest {
				newest, leader = e.Term, n
			}
		}
	}
	return leader
}

// Post sends a JSON body and returns the status of the response, or 0.
func Post(address, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// Put sends a configuration until a node has acknowledged it, as an operator does.
func (f *Fleet) Put(config any, within time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		n := f.Nodes[i%len(f.Nodes)]
		status := Post(n.Control(), "/api/Config.Put", body)
		f.record.Printf("configuration sent to %s: status %d", n.Name, status)
		if status == http.StatusOK {
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("configuration refused")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was acknowledged")
}

// AwaitReady waits until all nodes are ready.
func (f *Fleet) AwaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		ready := 0
		for _, n := range f.Nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(f.Nodes) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the nodes are not ready")
}
