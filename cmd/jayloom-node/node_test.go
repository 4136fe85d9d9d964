package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/platform"
	"github.com/jayloom/jayloom/platform/standin"
)

const (
	frontPort, readyPort, controlPort = 18465, 18460, 18462
	firstPort, lastPort               = 17560, 17575
	// patience bounds a wait for something that takes about 2 s.
	patience = 60 * time.Second
)

// deployment is a fleet of nodes in this process, each on a loopback address of its own,
// in front of a stand-in of the platform.
type deployment struct {
	t     *testing.T
	group *standin.Group
	nodes []*runningNode
}

type runningNode struct {
	*node
	ip   string
	stop context.CancelFunc
}

func deploy(t *testing.T) *deployment {
	group, err := standin.NewGroup("wax", "i-1", "i-2", "i-3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	infrastructure := standin.NewInfrastructure(group)
	cloud := httptest.NewServer(infrastructure)
	t.Cleanup(cloud.Close)
	d := &deployment{t: t, group: group}
	ips := []string{"127.0.7.1", "127.0.7.2", "127.0.7.3"}
	var controls []string
	for _, ip := range ips {
		controls = append(controls, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	for i, ip := range ips {
		d.nodes = append(d.nodes, d.start(i, ip, controls, strings.TrimPrefix(cloud.URL, "http://")))
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go infrastructure.Announce(ctx, controls)
	return d
}

func (d *deployment) start(i int, ip string, controls []string, cloud string) *runningNode {
	d.t.Helper()
	folder := d.t.TempDir()
	path := filepath.Join(folder, "settings.conf")
	text := fmt.Sprintf(`node_name=n%d
ip=%s
zone=a
listen.front=%s:%d
listen.ready=%s:%d
listen.control=%s:%d
internal_ports=%d,%d
seed_addrs=%s
bootstrap=true
data_dir=%s
cloud.address=%s
`, i, ip, ip, frontPort, ip, readyPort, ip, controlPort, firstPort, lastPort, strings.Join(controls, ","), filepath.Join(folder, "data"), cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := newNode(options{Settings: path}, s, logging.NewBounded(io.Discard, "test", s.Node))
	if err := n.start(ctx, options{}); err != nil {
		cancel()
		d.t.Fatal(err)
	}
	r := &runningNode{node: n, ip: ip, stop: func() { cancel(); n.stop() }}
	d.t.Cleanup(r.stop)
	return r
}

// until waits for a condition.
func (d *deployment) until(what string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for !condition() {
		pause(ctx)
		if ctx.Err() != nil {
			d.t.Fatalf("waited for %s in vain", what)
		}
	}
}

func pause(ctx context.Context) {
	timer := time.NewTimer(20 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

const configuration = `{"version":%d,"routes":[
 {"name":"r1","host":"intake","path_prefix":"/","type":"primary","timeout_ms":2000,"goal_ms":1000,"service":"wax"},
 {"name":"r2","host":"lots","path_prefix":"/","type":"read_your_writes","max_stale_ms":2500,"timeout_ms":2000,"goal_ms":1000,"service":"wax"}],
 "services":[{"name":"wax","max_conns":50}],"limits":{"tx_idle_ms":3000},
 "tenants":[{"name":"melt","api_keys":[%q],"rate_per_s":1000,"burst":1000}]}`

func (d *deployment) put(version int, key string) {
	d.t.Helper()
	body := fmt.Sprintf(configuration, version, key)
	d.until("the configuration to be accepted", func() bool {
		for _, n := range d.nodes {
			url := fmt.Sprintf("http://%s:%d/api/Config.Put", n.ip, controlPort)
			if standin.Post(context.Background(), url, body) == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// client is a caller's connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
	next int
}

// connect opens a session, or returns the refusal.
func (d *deployment) connect(n *runningNode, database, key string) (*client, string) {
	d.t.Helper()
	c, err := net.Dial("tcp4", net.JoinHostPort(n.ip, strconv.Itoa(frontPort)))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	client := &client{conn: c, in: bufio.NewReader(c)}
	client.write("START " + database + " " + key)
	line := client.line()
	if !strings.HasPrefix(line, "READY I") {
		return nil, line
	}
	return client, ""
}

func (c *client) write(line string) {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c.conn, line+"\r\n")
}

func (c *client) line() string {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "closed: " + err.Error()
	}
	return strings.TrimRight(line, "\r\n")
}

// query runs a statement and returns its answer without the line that ends it.
func (c *client) query(text string) string {
	c.next++
	c.write(fmt.Sprintf("QUERY q%d %s", c.next, text))
	var lines []string
	for {
		line := c.line()
		if strings.HasPrefix(line, "READY") || strings.HasPrefix(line, "closed") {
			return strings.Join(lines, "; ")
		}
		lines = append(lines, line)
	}
}

// Guards against a fleet that does not serve the platform as a whole: configuration,
// announcements, sessions, transactions, a lost primary, a lost leader, withdrawn keys.
func TestFleetServesThePlatform(t *testing.T) {
	d := deploy(t)
	d.put(1, "secret")
	var session *client
	d.until("a session", func() bool {
		session, _ = d.connect(d.nodes[0], "lots", "secret")
		return session != nil && strings.HasPrefix(session.query("WRITE a 1"), "DONE q")
	})
	if got := session.query("READ a"); !strings.HasPrefix(got, "ROW 1; DONE q") {
		t.Errorf("own write: %s", got)
	}
	for _, text := range []string{"BEGIN", "WRITE a 2", "PREPARE s1 READ shape", "EXECUTE s1 a", "COMMIT"} {
		if got := session.query(text); strings.Contains(got, "ERR") {
			t.Errorf("%s: %s", text, got)
		}
	}
	if _, refused := d.connect(d.nodes[1], "lots", "wrong"); !strings.HasPrefix(refused, "ERR NOAUTH") {
		t.Errorf("wrong key: %q", refused)
	}

	lost := d.group.Primary()
	for _, s := range d.group.Servers() {
		if s.ID == lost {
			s.Stop()
		}
	}
	d.until("a write on another primary", func() bool {
		return strings.HasPrefix(session.query("WRITE a 3"), "DONE q")
	})
	if d.group.Primary() == lost {
		t.Error("a stopped server leads")
	}

	d.stopLeader()
	d.put(2, "other")
	d.until("the withdrawn key to end the session", func() bool {
		return !strings.HasPrefix(session.query("READ a"), "ROW")
	})
}

// stopLeader ends the process that leads, like a crash.
func (d *deployment) stopLeader() {
	d.t.Helper()
	d.until("a leader", func() bool {
		for i, n := range d.nodes {
			// The session of the test is on the first node.
			if i == 0 {
				continue
			}
			if r := n.voter.Get(); r != nil && r.Status().Leading {
				n.stop()
				return true
			}
		}
		return d.nodes[0].voter.Get().Status().Leading
	})
}
