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

// patience bounds a wait for something that takes about 2 s.
const patience = 60 * time.Second

// deployment is a fleet of nodes in this process, each on a loopback address of its own,
// in front of a stand-in of the platform.
type deployment struct {
	t     *testing.T
	group *standin.Group
	nodes []*runningNode
}

type runningNode struct {
	*node
	place standin.Node
	stop  context.CancelFunc
}

func deploy(t *testing.T) *deployment {
	group, err := standin.NewGroup("wax", "i-1", "i-2", "i-3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	infrastructure := standin.NewInfrastructure(group)
	orders := httptest.NewServer(infrastructure)
	t.Cleanup(orders.Close)
	var places []standin.Node
	for i := range 3 {
		places = append(places, standin.Node{
			Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("127.0.7.%d", i+1), Folder: t.TempDir(),
		})
	}
	d := &deployment{t: t, group: group}
	var controls []string
	for _, place := range places {
		d.nodes = append(d.nodes, d.start(place, place.Settings(places, strings.TrimPrefix(orders.URL, "http://"))))
		controls = append(controls, place.ControlAddress())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go infrastructure.Announce(ctx, controls)
	return d
}

func (d *deployment) start(place standin.Node, settings []byte) *runningNode {
	d.t.Helper()
	path := filepath.Join(place.Folder, "settings.conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		d.t.Fatal(err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := newNode(options{Settings: path}, s, logging.NewRateLimited(io.Discard, "test", s.Node))
	if err := n.start(ctx, options{}); err != nil {
		cancel()
		d.t.Fatal(err)
	}
	r := &runningNode{node: n, place: place, stop: func() { cancel(); n.stop() }}
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

func (d *deployment) put(version int, key string) {
	d.t.Helper()
	d.until("the configuration to be accepted", func() bool {
		for _, n := range d.nodes {
			if n.place.PutConfiguration(context.Background(), configuration(version, key)) == http.StatusOK {
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

// connect opens a session, or returns the refusal.
func (d *deployment) connect(n *runningNode, database, key string) (*standin.Caller, string) {
	d.t.Helper()
	c, refusal, err := n.place.Connect(database, key)
	if err != nil {
		d.t.Fatal(err)
	}
	if c != nil {
		d.t.Cleanup(c.Close)
	}
	return c, refusal
}

// succeeds runs a statement and reports whether it was done.
func succeeds(c *standin.Caller, text string) bool {
	answer, err := c.Query(text)
	return err == nil && answer.Refusal == ""
}

// Guards against a fleet that does not serve the platform as a whole: configuration,
// announcements, sessions, transactions, a lost primary, a lost leader, withdrawn keys.
func TestFleetServesThePlatform(t *testing.T) {
	d := deploy(t)
	d.put(1, "secret")
	var session *standin.Caller
	d.until("a session", func() bool {
		session, _ = d.connect(d.nodes[0], "lots", "secret")
		return session != nil && succeeds(session, "WRITE a 1")
	})
	got, err := session.Query("READ a")
	if err != nil || len(got.Rows) != 1 || got.Rows[0] != "1" || !strings.HasPrefix(got.Digest, "q") {
		t.Errorf("own write: %v, %v", got, err)
	}
	for _, text := range []string{"BEGIN", "WRITE a 2", "PREPARE s1 READ shape", "EXECUTE s1 a", "COMMIT"} {
		if !succeeds(session, text) {
			t.Errorf("%s was refused", text)
		}
	}
	if _, refused := d.connect(d.nodes[1], "lots", "wrong"); !strings.HasPrefix(refused, "ERR NOAUTH") {
		t.Errorf("wrong key: %q", refused)
	}
	d.losePrimary(session)
	d.stopLeader()
	d.put(2, "other")
	d.until("the withdrawn key to end the session", func() bool { return !succeeds(session, "READ a") })
}

// losePrimary stops the primary and waits until another one takes writes.
func (d *deployment) losePrimary(session *standin.Caller) {
	d.t.Helper()
	lost := d.group.Primary()
	for _, s := range d.group.Servers() {
		if s.ID == lost {
			s.Stop()
		}
	}
	d.until("a write on another primary", func() bool { return succeeds(session, "WRITE a 3") })
	if d.group.Primary() == lost {
		d.t.Error("a stopped server leads")
	}
}

// stopLeader ends the process that leads, like a crash, unless the session of the test is
// there.
func (d *deployment) stopLeader() {
	d.t.Helper()
	d.until("a leader", func() bool {
		for i, n := range d.nodes {
			r := n.voter.Replica()
			if r == nil || !r.Status().Leading {
				continue
			}
			if i > 0 {
				n.stop()
			}
			return true
		}
		return false
	})
}
