// Package fleet starts jayloom-node as separate processes on loopback addresses, with settings like those of a small
// deployment, and gives cases a record of what was sent, answered and run.
package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each node. All nodes have addresses of their own, so that they share them, as in a deployment.
const (
	CallerPort  = 8465
	ReadyPort   = 8460
	ControlPort = 8462
	firstPort   = 7560
	lastPort    = 7575
	metricsPort = 9464
)

const (
	callTimeout    = time.Second
	answerTimeout  = 10 * time.Second
	stopTimeout    = 10 * time.Second
	maxAddressTry  = 50
	zone, region   = "hafnarfj", "reykjanes"
	programPath    = "target/jayloom-node"
	recordFileName = "record.txt"
)

// ErrCannotRun means that the case could not be played. Exit reports it as 2.
var ErrCannotRun = errors.New("the case could not run")

// ErrBroken means that the rule was broken. Exit reports it as 1.
var ErrBroken = errors.New("the rule was broken")

// Exit ends the process with the code that the result of a case stands for.
func Exit(err error) {
	switch {
	case err == nil:
		os.Exit(0)
	case errors.Is(err, ErrBroken):
		os.Exit(1)
	default:
		os.Exit(2)
	}
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes lines with the time since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, recordFileName))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Printf writes one line to the record and to standard output.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = io.WriteString(io.MultiWriter(r.file, os.Stdout), line)
}

// Detail writes one line to the record only.
func (r *Record) Detail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Fleet is a set of nodes in one network of loopback addresses.
type Fleet struct {
	Record *Record
	// CloudAddress is where nodes send orders to the infrastructure.
	CloudAddress string
	// Extra are further lines of the settings of all nodes.
	Extra  string
	folder string
	prefix string

	mu    sync.Mutex
	nodes []*Node
}

// New returns a Fleet on a network whose ports are free.
func New(r *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "jayloom-review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: r, folder: folder}
	for range maxAddressTry {
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if f.isFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w: no free network of loopback addresses", ErrCannotRun)
}

func (f *Fleet) isFree() bool {
	for host := 1; host <= 12; host++ {
		for _, port := range []int{CallerPort, ReadyPort, ControlPort, firstPort, metricsPort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Node is one machine of the fleet.
type Node struct {
	fleet *Fleet
	// Name and IP identify the machine. Disk is set if it has a data folder.
	Name, IP string
	Disk     bool
	// Bootstrap is set while the whole system starts for the first time.
	Bootstrap bool
	folder    string
	log       *os.File
	command   *exec.Cmd
	ended     chan struct{}
}

// Add adds a machine that is not started yet.
func (f *Fleet) Add(host int, disk bool) *Node {
	n := &Node{fleet: f, Name: fmt.Sprintf("front-%s-%d", zone, host), IP: f.prefix + fmt.Sprint(host), Disk: disk, Bootstrap: true}
	n.folder = filepath.Join(f.folder, n.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n
}

// Close ends all processes that run and removes their files.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.Kill()
	}
	_ = os.RemoveAll(f.folder)
}

// Control returns the address for operators and servers.
func (n *Node) Control() string { return fmt.Sprintf("%s:%d", n.IP, ControlPort) }

// Caller returns the address for consumers.
func (n *Node) Caller() string { return fmt.Sprintf("%s:%d", n.IP, CallerPort) }

// WriteSettings writes the settings file of the machine.
func (n *Node) WriteSettings(seeds ...*Node) error {
	if err := os.MkdirAll(n.folder, 0o755); err != nil {
		return err
	}
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, s.Control())
	}
	data := ""
	if n.Disk {
		data = filepath.Join(n.folder, "data")
	}
	text := fmt.Sprintf(`node_name=%s
role=node
class=front
serves=front,control
ip=%s
zone=%s
region=%s
zones.%s=%s
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
internal_ports=%d,%d
seed_addrs=%s
bootstrap=%t
in_tolerance=%t
limits.cpu_share=0.72
limits.cpu_cores=1
limits.memory_mb=284
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
%s`, n.Name, n.IP, zone, region, zone, region, n.IP, CallerPort, n.IP, ReadyPort, n.IP, ControlPort, firstPort, lastPort,
		strings.Join(addresses, ","), n.Bootstrap, n.Disk, data, n.fleet.CloudAddress, n.fleet.Extra)
	return os.WriteFile(n.settingsPath(), []byte(text), 0o644)
}

func (n *Node) settingsPath() string { return filepath.Join(n.folder, "settings.conf") }

// Start starts the process of the machine as the deploy file does.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	n.log = log
	n.command = exec.Command(programPath)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JAYLOOM_CONFIG=" + n.settingsPath()}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", ErrCannotRun, err)
	}
	n.fleet.Record.Printf("%s (%s) started, process %d, bootstrap=%t", n.Name, n.IP, n.command.Process.Pid, n.Bootstrap)
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(n.command, n.ended)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.fleet.Record.Printf("%s gets %v", n.Name, s)
	_ = n.command.Process.Signal(s)
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	select {
	case <-n.ended:
		return
	default:
	}
	_ = n.command.Process.Kill()
	<-n.ended
	n.fleet.Record.Printf("%s killed", n.Name)
}

// Log returns what the process has written.
func (n *Node) Log() string {
	content, _ := os.ReadFile(filepath.Join(n.folder, "log.txt"))
	return string(content)
}

// KeepLogs copies the lines of all nodes' logs that hold one of the words to the record.
func (f *Fleet) KeepLogs(words ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for _, line := range strings.Split(n.Log(), "\n") {
			for _, w := range words {
				if strings.Contains(line, w) {
					f.Record.Detail("log of %s: %s", n.Name, line)
					break
				}
			}
		}
	}
}

var client = &http.Client{Timeout: callTimeout}

// Post sends a JSON body and returns the status code, or 0 without a response.
func Post(url string, body []byte) int {
	r, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// PutConfig sends a configuration to the nodes in turn until one acknowledges it or the time is over. It returns the
// node that did, or nil.
func (f *Fleet) PutConfig(version int, body string, until time.Time, nodes ...*Node) *Node {
	for i := 0; time.Now().Before(until); i++ {
		n := nodes[i%len(nodes)]
		code := Post("http://"+n.Control()+"/api/Config.Put", []byte(body))
		if code == http.StatusOK {
			f.Record.Printf("operator: configuration %d acknowledged by %s", version, n.Name)
			return n
		}
		f.Record.Detail("operator: configuration %d to %s: status %d", version, n.Name, code)
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}
