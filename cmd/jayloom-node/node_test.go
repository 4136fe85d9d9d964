package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/platform"
	"github.com/jayloom/jayloom/platform/standin"
)

// waitTimeout bounds waits for conditions that normally hold within about 2 s.
const waitTimeout = 60 * time.Second

// deployment is a fleet of nodes in the test process, each on its own loopback address,
// with a stand-in for the platform.
type deployment struct {
	t              *testing.T
	group          *standin.Group
	infrastructure *standin.Infrastructure
	nodes          []*runningNode
}

type runningNode struct {
	*node
	endpoint standin.Node
	crash    context.CancelFunc
}

func startDeployment(t *testing.T) *deployment {
	return startDeploymentOf(t, "i-1", "i-2", "i-3")
}

// startDeploymentOf starts a fleet whose database group has the given servers.
func startDeploymentOf(t *testing.T, servers ...string) *deployment {
	group, err := standin.NewGroup("wax", servers...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	infrastructure := standin.NewInfrastructure(group)
	infrastructureServer := httptest.NewServer(infrastructure)
	t.Cleanup(infrastructureServer.Close)
	var endpoints []standin.Node
	for i := range 3 {
		endpoints = append(endpoints, standin.Node{
			Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("127.0.7.%d", i+1), Folder: t.TempDir(),
		})
	}
	d := &deployment{t: t, group: group, infrastructure: infrastructure}
	var controlAddresses []string
	for _, endpoint := range endpoints {
		d.nodes = append(d.nodes, d.start(endpoint, endpoint.Settings(endpoints, strings.TrimPrefix(infrastructureServer.URL, "http://"))))
		controlAddresses = append(controlAddresses, endpoint.ControlAddress())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go infrastructure.Announce(ctx, controlAddresses)
	return d
}

func (d *deployment) start(endpoint standin.Node, settings []byte) *runningNode {
	d.t.Helper()
	path := filepath.Join(endpoint.Folder, "settings.conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := newNode(options{Settings: path}, s, logging.NewRateLimited(d.logOf(endpoint), "test", s.Node))
	if err := n.start(ctx, options{}); err != nil {
		cancel()
		d.t.Fatal(err)
	}
	r := &runningNode{node: n, endpoint: endpoint, crash: func() { cancel(); n.close() }}
	d.t.Cleanup(r.crash)
	return r
}

// logOf returns the file for the log of a node. Its content is printed if the test fails.
func (d *deployment) logOf(endpoint standin.Node) io.Writer {
	d.t.Helper()
	path := filepath.Join(endpoint.Folder, "log")
	log, err := os.Create(path)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = log.Close()
		if content, err := os.ReadFile(path); err == nil && d.t.Failed() {
			d.t.Logf("log of %s:\n%s", endpoint.Name, content)
		}
	})
	return log
}

// waitUntil polls condition and fails the test if it does not hold within waitTimeout.
func (d *deployment) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !condition() {
		sleep(ctx)
		if ctx.Err() != nil {
			d.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func sleep(ctx context.Context) {
	timer := time.NewTimer(20 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *deployment) putConfiguration(version int, key string) {
	d.t.Helper()
	d.put(configuration(version, key))
}

func (d *deployment) put(c standin.Configuration) {
	d.t.Helper()
	d.waitUntil("the configuration to be accepted", func() bool {
		for _, n := range d.nodes {
			if n.endpoint.PutConfiguration(context.Background(), c) == http.StatusOK {
				return true
			}
		}
		return false
	})
}

func configuration(version int, key string) standin.Configuration {
	return standin.Configuration{
		Version: version, Service: "wax", Teams: []standin.Team{{Name: "melt", Keys: []string{key}, Rate: 1000, Burst: 1000}},
	}
}

// connect opens a session or returns the text of the refusal.
func (d *deployment) connect(n *runningNode, database, key string) (*standin.Caller, string) {
	d.t.Helper()
	c, refusal, err := n.endpoint.Connect(database, key)
	if err != nil {
		d.t.Fatal(err)
	}
	if c != nil {
		d.t.Cleanup(c.Close)
	}
	return c, refusal
}

// succeeds runs a statement and reports whether it completed without a refusal.
func succeeds(c *standin.Caller, statement string) bool {
	answer, err := c.Query(statement)
	return err == nil && answer.Refusal == ""
}

// Guards against nodes that do not work together on the platform: configuration,
// announcements, sessions, transactions, failover of a group, loss of the control leader
// and withdrawn keys.
func TestFleetServesThePlatform(t *testing.T) {
	d := startDeployment(t)
	d.putConfiguration(1, "secret")
	var session *standin.Caller
	d.waitUntil("a session", func() bool {
		session, _ = d.connect(d.nodes[0], "lots", "secret")
		if session == nil || succeeds(session, "WRITE a 1") {
			return session != nil
		}
		// Sessions that stay open would use up the node's callers.
		session.Close()
		return false
	})
	got, err := session.Query("READ a")
	if err != nil || len(got.Rows) != 1 || got.Rows[0] != "1" || !strings.HasPrefix(got.Digest, "q") {
		t.Errorf("own write: %v, %v", got, err)
	}
	for _, statement := range []string{"BEGIN", "WRITE a 2", "PREPARE s1 READ shape", "EXECUTE s1 a", "COMMIT"} {
		if !succeeds(session, statement) {
			t.Errorf("%s was refused", statement)
		}
	}
	// Before its stream to the leader is up, a node refuses everyone for another reason.
	d.waitUntil("the second node", d.nodes[1].isReady)
	if _, refusal := d.connect(d.nodes[1], "lots", "wrong"); !strings.HasPrefix(refusal, "ERR NOAUTH") {
		t.Errorf("wrong key: %q", refusal)
	}
	d.stopPrimary(session)
	d.stopLeader()
	d.putConfiguration(2, "other")
	d.waitUntil("the withdrawn key to end the session", func() bool { return !succeeds(session, "READ a") })
}

// stopPrimary stops the primary and waits until another server accepts writes.
func (d *deployment) stopPrimary(session *standin.Caller) {
	d.t.Helper()
	stopped := d.group.Primary()
	for _, s := range d.group.Servers() {
		if s.ID == stopped {
			s.Stop()
		}
	}
	d.waitUntil("a write on another primary", func() bool { return succeeds(session, "WRITE a 3") })
	if d.group.Primary() == stopped {
		d.t.Error("the stopped server is still the primary")
	}
}

// stopLeader stops the leader's node without a shutdown, as a crash would. It does nothing
// if the leader is the first node, which serves the session of the test.
func (d *deployment) stopLeader() {
	d.t.Helper()
	d.waitUntil("a leader", func() bool {
		for i, n := range d.nodes {
			r := n.replicaEndpoint.Replica()
			if r == nil || !r.Status().Leading {
				continue
			}
			if i > 0 {
				n.crash()
			}
			return true
		}
		return false
	})
}
