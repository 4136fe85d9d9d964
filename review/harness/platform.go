package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drainTime = 7 * time.Second
	graceTime = 6 * time.Second
	beatTime  = 1200 * time.Millisecond
)

// node is a process of the system.
type node struct {
	name, ip string
	port     int
	cmd      *exec.Cmd
	done     chan struct{}
}

func (n *node) front() string   { return net.JoinHostPort(n.ip, strconv.Itoa(n.port+5)) }
func (n *node) ready() string   { return net.JoinHostPort(n.ip, strconv.Itoa(n.port)) }
func (n *node) control() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.port+2)) }

// world is a small deployment: nodes, the infrastructure and the servers.
type world struct {
	rec     *record
	repo    string
	folder  string
	prefix  string
	port    int
	nodes   []*node
	infra   *infrastructure
	group   *group
	cleanup []func()
	nextIP  int
}

func newWorld(rec *record, repo string) (*world, error) {
	folder, err := os.MkdirTemp("", "jayloom-review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, repo: repo, folder: folder}
	w.cleanup = append(w.cleanup, func() { _ = os.RemoveAll(folder) })
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		w.port = 20000 + 100*rand.IntN(90)
		if w.portsFree() {
			return w, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (w *world) portsFree() bool {
	for i := 1; i <= 3; i++ {
		for _, port := range []int{w.port, w.port + 2, w.port + 5, w.port + 20, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", w.prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (w *world) close() {
	for i := len(w.cleanup) - 1; i >= 0; i-- {
		w.cleanup[i]()
	}
}

// startNodes starts three nodes with a disk each.
func (w *world) startNodes() error {
	for i := 1; i <= 3; i++ {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("%s%d", w.prefix, i), port: w.port})
	}
	var seeds []string
	for _, n := range w.nodes {
		seeds = append(seeds, n.control())
	}
	for _, n := range w.nodes {
		if err := w.startNode(n, seeds, true); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node; first is set when the whole system starts for the first time.
func (w *world) startNode(n *node, seeds []string, first bool) error {
	data := filepath.Join(w.folder, n.name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	settings := fmt.Sprintf(`node_name=%s
role=node
class=front
serves=front,control
ip=%s
zone=a
region=r
zones.a=r
listen.front=%s
listen.ready=%s
listen.control=%s
internal_ports=%d,%d
seed_addrs=%s
bootstrap=%t
in_tolerance=true
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
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.recover_s=12
bounds.require_fence=true
config_mode=highest
cloud.address=%s
cloud.rate_per_s=50.0
cloud.duties=failover
cloud.duty_per_s=50.0
`, n.name, n.ip, n.front(), n.ready(), n.control(), w.port+20, w.port+35, strings.Join(seeds, ","), first, filepath.Join(data, "disk"), w.infra.address)
	path := filepath.Join(data, "settings.conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, n.name+".log"))
	if err != nil {
		return err
	}
	// The command is that of deploy/system.toml.
	n.cmd = exec.Command(filepath.Join(w.repo, "target/jayloom-node"))
	n.cmd.Dir = w.repo
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "JAYLOOM_CONFIG=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.done)
	}()
	w.cleanup = append(w.cleanup, func() {
		_ = n.cmd.Process.Kill()
		<-n.done
	})
	return nil
}

// infrastructure carries out promotion orders. While it is down, it accepts no connections.
type infrastructure struct {
	rec     *record
	address string
	group   *group
	mu      sync.Mutex
	server  *http.Server
	fence   uint64
	// latency is how long a call takes. Its fence is checked again when it is carried out.
	latency time.Duration
}

func (i *infrastructure) start() error {
	l, err := net.Listen("tcp4", i.address)
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.address = l.Addr().String()
	server := &http.Server{Handler: i}
	i.server = server
	i.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

func (i *infrastructure) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.server != nil {
		_ = i.server.Close()
	}
	i.server = nil
}

// ServeHTTP implements http.Handler.
func (i *infrastructure) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if r.URL.Path != "/promote" || err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	accepted, latency := i.see(fence)
	if latency > 0 {
		time.Sleep(latency)
		accepted, _ = i.see(fence)
	}
	i.rec.note("promote server=%s holder=%s fence=%d accepted=%v", body.ID, r.Header.Get("Duty-Holder"), fence, accepted)
	if !accepted || !i.group.running(body.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(i.group.promoteAfter, func() { i.group.promote(body.ID) })
}

// see records a fence and reports whether it is not lower than one seen before.
func (i *infrastructure) see(fence uint64) (accepted bool, latency time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	accepted = fence >= i.fence
	i.fence = max(i.fence, fence)
	return accepted, i.latency
}

func (i *infrastructure) setLatency(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.latency = d
}

func (g *group) running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id == id {
			return s.up
		}
	}
	return false
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func post(url string, body any) int {
	data, _ := json.Marshal(body)
	r, err := client.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// beat sends one status report, to one node after the other until one acknowledges it.
func (w *world) beat(s *server) bool {
	g := s.g
	g.mu.Lock()
	role := "replica"
	if g.primary == s {
		role = "primary"
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.sequence++
	body := map[string]any{
		"service": g.service, "address": s.address, "zone": "a", "version": "v1", "slots": g.slots, "state": state,
		"cold_left_ms": 0, "db_role": role, "seq": s.sequence, "born": s.startedAt.UnixMilli(),
	}
	up := s.up
	g.mu.Unlock()
	if !up {
		return false
	}
	for _, k := range rand.Perm(len(w.nodes)) {
		if post("http://"+w.nodes[k].control()+"/api/Instances.Heartbeat/"+s.id, body) == http.StatusOK {
			return true
		}
	}
	return false
}

// keepBeating sends status reports until the server ends. A change of the role is reported at once.
func (w *world) keepBeating(s *server) {
	last, lastAt := false, time.Time{}
	for {
		s.g.mu.Lock()
		up, leads := s.up, s.g.primary == s
		s.g.mu.Unlock()
		if !up {
			return
		}
		if leads != last || time.Since(lastAt) >= beatTime {
			last, lastAt = leads, time.Now()
			w.beat(s)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newServer starts a server of the group and its status reports.
func (w *world) newServer(id string, receive, work time.Duration) (*server, error) {
	w.nextIP++
	s, err := w.group.addServer(fmt.Sprintf("%s%d", w.prefix, 100+w.nextIP), id, receive, work)
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, s.stop)
	go w.keepBeating(s)
	return s, nil
}

// release drains a server: it reports that it is draining, serves for the time of the drain after the
// acknowledgement and a little longer, leaves, and exits. It returns when that was acknowledged.
func (w *world) release(s *server, longer time.Duration) (acknowledged time.Time, ok bool) {
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	for range 20 {
		if ok = w.beat(s); ok {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	acknowledged = time.Now()
	w.rec.note("server %s says that it is draining, acknowledged=%v", s.id, ok)
	time.AfterFunc(drainTime+longer, func() {
		for _, n := range w.nodes {
			if post("http://"+n.control()+"/api/Instances.Leave/"+s.id, map[string]any{"born": s.startedAt.UnixMilli()}) == http.StatusOK {
				break
			}
		}
		w.rec.note("server %s has left and ends", s.id)
		s.stop()
	})
	return acknowledged, ok
}

// configuration is what the operator sends.
type configuration struct {
	version, timeout, sync int
	service                string
}

func (c configuration) body() map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": name, "path_prefix": "/", "type": kind, "timeout_ms": c.timeout, "goal_ms": 500,
			"priority": 1, "service": c.service, "attempts": 2, "max_stale_ms": 1500, "public": false,
		}
	}
	return map[string]any{
		"version":  c.version,
		"routes":   []any{route("intake", "primary"), route("codes", "bounded_staleness"), route("lots", "read_your_writes")},
		"services": []any{map[string]any{"name": c.service, "health_path": "/health", "max_conns": 50, "protocol": "h1", "tls": false, "sync_replicas": c.sync}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
		"tenants":  []any{map[string]any{"name": "melt", "api_keys": []string{"key-melt"}, "priority": 1, "rate_per_s": 5000, "burst": 5000}},
	}
}

// begin starts everything and waits until statements are served.
func (w *world) begin(c configuration, servers int, receive func(i int) time.Duration, work time.Duration) error {
	w.group = newGroup(w.rec, c.service, c.sync)
	w.infra = &infrastructure{rec: w.rec, address: w.prefix + "200:0", group: w.group}
	if err := w.infra.start(); err != nil {
		return err
	}
	w.cleanup = append(w.cleanup, w.infra.stop)
	if err := w.startNodes(); err != nil {
		return err
	}
	for i := range servers {
		if _, err := w.newServer(fmt.Sprintf("i-%d", i+1), receive(i), work); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(25 * time.Second)
	for post("http://"+w.nodes[rand.IntN(3)].control()+"/api/Config.Put", c.body()) != http.StatusOK {
		if time.Now().After(deadline) {
			return errors.New("the configuration was not acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.rec.note("configuration %d acknowledged", c.version)
	for _, n := range w.nodes {
		if err := w.awaitServing(n, deadline); err != nil {
			return err
		}
	}
	// Connections, positions and the roles settle.
	time.Sleep(3 * time.Second)
	return nil
}

func (w *world) awaitServing(n *node, deadline time.Time) error {
	for time.Now().Before(deadline) {
		if c, err := dial(w.rec, n.front(), "intake", "warm"); err == nil {
			a := c.query("WRITE warm "+n.name, time.Second)
			c.close()
			if a.done() {
				w.rec.note("node %s serves", n.name)
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("node " + n.name + " serves no statement")
}

var statementNumber atomic.Uint64

// consumer is one session of a consumer.
type consumer struct {
	rec  *record
	name string
	conn net.Conn
	in   *bytesReader
}

type bytesReader struct {
	conn net.Conn
	buf  []byte
}

func (r *bytesReader) line(deadline time.Time) (string, error) {
	for {
		if i := bytes.Index(r.buf, []byte("\r\n")); i >= 0 {
			line := string(r.buf[:i])
			r.buf = r.buf[i+2:]
			return line, nil
		}
		_ = r.conn.SetReadDeadline(deadline)
		part := make([]byte, 4096)
		n, err := r.conn.Read(part)
		r.buf = append(r.buf, part[:n]...)
		if err != nil && n == 0 {
			return "", err
		}
	}
}

func dial(rec *record, address, database, name string) (*consumer, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &consumer{rec: rec, name: name, conn: conn, in: &bytesReader{conn: conn}}
	if _, err := io.WriteString(conn, "START "+database+" key-melt\r\n"); err != nil {
		return nil, err
	}
	line, err := c.in.line(time.Now().Add(2 * time.Second))
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

// answer is the answer to one statement.
type answer struct {
	id     string
	digest string
	code   string
	state  string
	rows   []string
	// err is set if no complete answer came.
	err error
}

func (a answer) done() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no complete answer: " + a.err.Error()
	case a.code != "":
		return "ERR " + a.code + " state " + a.state
	default:
		return "DONE " + a.digest + " state " + a.state
	}
}

func newID() string { return fmt.Sprintf("c%015x", statementNumber.Add(1)) }

// query runs a statement.
func (c *consumer) query(text string, timeout time.Duration) answer {
	id := newID()
	c.send(id, text)
	return c.receive(id, timeout)
}

func (c *consumer) send(id, text string) {
	c.rec.line("send  %s id=%s text=%q", c.name, id, text)
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.conn, "QUERY "+id+" "+text+"\r\n")
}

func (c *consumer) receive(id string, timeout time.Duration) answer {
	a := answer{id: id}
	deadline := time.Now().Add(timeout)
	for {
		line, err := c.in.line(deadline)
		if err != nil {
			a.err = err
			break
		}
		word, rest, _ := strings.Cut(line, " ")
		if word == "ROW" {
			a.rows = append(a.rows, rest)
		}
		if word == "DONE" {
			a.digest = rest
		}
		if word == "ERR" {
			a.code = rest
		}
		if word == "READY" {
			a.state = rest
			break
		}
	}
	c.rec.line("recv  %s id=%s %s", c.name, id, a)
	return a
}
