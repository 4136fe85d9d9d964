package abuse

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

const (
	// nodeMemoryMB is limits.memory_mb of the nodes, their fleets' other limits are nodeDescriptors.
	nodeMemoryMB    = 96
	nodeDescriptors = 600
	// ordinaryKey is the key of the team whose requests must be served, crowdKey that of the clients that misbehave.
	ordinaryKey, crowdKey = "key-ordinary", "key-crowd"
	// serveTimeout bounds the wait for a condition. It is far above what any condition takes.
	serveTimeout = 30 * time.Second
	callerPort   = "18465"
	readyPort    = "18460"
	controlPort  = "18462"
	nodePort     = "17560"
	metricsPort  = "19464"
)

// nodeBound is what the settings of a node allow.
var nodeBound = bound{memory: nodeMemoryMB * 1e6, descriptors: nodeDescriptors}

// fleet is a small deployment of nodes as processes.
type fleet struct {
	t     *testing.T
	group *standin.Group
	nodes []standin.Node
	// processes are those of the nodes, in the same order.
	processes []*process
}

// startFleet starts a deployment of 1 or 3 nodes with a disk and waits until the first one serves.
func startFleet(t *testing.T, nodes int) *fleet {
	t.Helper()
	group, err := standin.NewGroup("wax", "i-1", "i-2", "i-3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	f := &fleet{t: t, group: group}
	infrastructure := standin.NewInfrastructure(group)
	orders := httptest.NewServer(infrastructure)
	t.Cleanup(orders.Close)
	for i := range nodes {
		f.nodes = append(f.nodes, standin.Node{Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("127.0.45.%d", i+1), Folder: t.TempDir()})
	}
	var controls []string
	for _, n := range f.nodes {
		f.processes = append(f.processes, f.startNode(n, strings.TrimPrefix(orders.URL, "http://")))
		controls = append(controls, n.ControlAddress())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go infrastructure.Announce(ctx, controls)
	f.putConfiguration(1)
	for _, n := range f.nodes {
		f.requireServed(n)
	}
	return f
}

func (f *fleet) startNode(n standin.Node, orders string) *process {
	f.t.Helper()
	settings := fmt.Appendf(n.Settings(f.nodes, orders), "limits.memory_mb=%d\nlimits.max_fds=%d\ntolerate.machines=%d\n",
		nodeMemoryMB, nodeDescriptors, (len(f.nodes)-1)/2)
	path := filepath.Join(n.Folder, "settings.conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return startProcess(f.t, "jayloom-node", n.Folder, n.IP, "--settings", path, "--metrics-port", metricsPort)
}

// putConfiguration sends a configuration until a node accepts it.
func (f *fleet) putConfiguration(version int) {
	f.t.Helper()
	c := standin.Configuration{Version: version, Service: "wax", Teams: []standin.Team{
		{Name: "ordinary", Keys: []string{ordinaryKey}, Rate: 10_000, Burst: 10_000},
		{Name: "crowd", Keys: []string{crowdKey}, Rate: 10_000, Burst: 10_000},
	}}
	f.waitFor("a configuration to be accepted", func() bool {
		for _, n := range f.nodes {
			if n.PutConfiguration(context.Background(), c) == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// requireServed waits until an ordinary request is served.
func (f *fleet) requireServed(n standin.Node) {
	f.t.Helper()
	f.requireStatement(n, "READ 1a4")
}

// requireStatement waits until a statement of an ordinary session is served.
func (f *fleet) requireStatement(n standin.Node, text string) {
	f.t.Helper()
	outcomes := map[string]int{}
	f.waitFor("an ordinary request to be served", func() bool {
		outcome := serveOnce(n, text)
		outcomes[outcome]++
		return outcome == served
	})
	if outcomes[served] == 0 {
		f.t.Logf("outcomes of the attempts: %v", outcomes)
	}
}

// served is the outcome of a request that was served.
const served = "served"

// serveOnce runs a statement in an ordinary session and describes the outcome.
func serveOnce(n standin.Node, text string) string {
	session, refusal, err := n.Connect("intake", ordinaryKey)
	if err != nil || refusal != "" {
		return fmt.Sprintf("connect: %s %v", refusal, errors.Unwrap(err))
	}
	defer session.Close()
	answer, err := session.Query(text)
	if err != nil || answer.Refusal != "" {
		return fmt.Sprintf("statement: %s %v", answer.Refusal, errors.Unwrap(err))
	}
	return served
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(serveTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Errorf("timed out waiting for %s", what)
			return
		}
	}
}

// check checks all processes.
func (f *fleet) check() {
	f.t.Helper()
	for _, p := range f.processes {
		p.check(f.t, nodeBound)
	}
}

// address returns an address of the node.
func address(n standin.Node, port string) string { return net.JoinHostPort(n.IP, port) }
