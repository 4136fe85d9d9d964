package e2e

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jayloom/jayloom/standin/relay"
)

// network is the set of addresses under which processes reach each other. A
// connection to one of them is passed on through the relay of its two ends.
type network struct {
	t         testing.TB
	ctx       context.Context
	processes func() map[string]*Process

	// exposed are the listeners that serveExposed serves.
	exposed []exposed

	mu    sync.Mutex
	links map[link]*relay.Relay
	// targets are the addresses that processes listen on.
	targets map[string]string
	// open and maxOpen count the connections to a target from processes of a kind.
	open, maxOpen map[link]int

	sockets socketTables
}

// exposed is the listener under whose address others reach a process.
type exposed struct {
	listener net.Listener
	target   string
}

// link is the way from one process to another.
type link struct{ source, target string }

func newNetwork(ctx context.Context, t testing.TB, processes func() map[string]*Process) *network {
	return &network{
		t:         t,
		ctx:       ctx,
		processes: processes,
		links:     map[link]*relay.Relay{},
		targets:   map[string]string{},
		open:      map[link]int{},
		maxOpen:   map[link]int{},
	}
}

// expose returns an address for target, behind which the process listens on address.
// Connections to it are served from serveExposed on.
func (n *network) expose(target, address string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.mu.Lock()
	n.targets[target] = address
	n.mu.Unlock()
	context.AfterFunc(n.ctx, func() { listener.Close() })
	n.exposed = append(n.exposed, exposed{listener, target})
	return listener.Addr().String()
}

// serveExposed serves the exposed addresses. All processes must be known before, because
// serving reads them.
func (n *network) serveExposed() {
	for _, e := range n.exposed {
		go n.acceptConnections(e.listener, e.target)
	}
}

func (n *network) acceptConnections(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go n.forward(conn, target)
	}
}

func (n *network) forward(conn net.Conn, target string) {
	defer conn.Close()
	stop := context.AfterFunc(n.ctx, func() { conn.Close() })
	defer stop()
	source := n.owner(conn)
	if source == "" {
		return // the process has ended
	}
	r := n.relay(link{source, target})
	if r == nil {
		return
	}
	closed := n.trackConnection(source, target)
	relayConn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		closed()
		return
	}
	defer relayConn.Close()
	var both sync.WaitGroup
	both.Go(func() {
		copyHalf(relayConn, conn)
		closed()
	})
	both.Go(func() { copyHalf(conn, relayConn) })
	both.Wait()
}

// trackConnection counts an open connection until the function that it returns is called.
func (n *network) trackConnection(source, target string) (closed func()) {
	kind := link{processKind(source), target}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[kind]++
	n.open[link{source, target}]++
	n.maxOpen[kind] = max(n.maxOpen[kind], n.open[kind])
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.open[kind]--
		n.open[link{source, target}]--
	}
}

// processKind returns the name of a process without its number.
func processKind(name string) string { return strings.TrimRight(name, "0123456789") }

// copyHalf copies until the source ends, and passes on that it has ended. A sink that
// has gone ends the source too.
func copyHalf(sink, source net.Conn) {
	_, err := io.Copy(sink, source)
	if err != nil {
		source.Close()
	}
	if tcp, ok := sink.(*net.TCPConn); ok {
		// It fails only if the connection has ended, which is what it is for.
		_ = tcp.CloseWrite()
	}
}

func (n *network) relay(l link) *relay.Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.links[l]; ok {
		return r
	}
	if n.ctx.Err() != nil {
		return nil
	}
	r, err := relay.Start(n.ctx, "127.0.0.1:0", n.targets[l.target])
	if err != nil {
		return nil
	}
	n.links[l] = r
	return r
}

// owner returns the name of the process that holds the other end of conn. All
// processes share the address 127.0.0.1, so the socket's inode tells them apart.
func (n *network) owner(conn net.Conn) string {
	t := n.sockets.current(func() map[ports]string { return connectionOwners(n.processes()) })
	return t[ports{conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port}]
}

// ports identify a loopback connection by its own and its far end.
type ports struct{ local, remote int }

// socketTables shares one look at all sockets among connections that arrive together.
// /proc/net/tcp lists all sockets of the machine; with a look for each of 200
// connections the proxies' attempts to connect timed out on one core.
type socketTables struct {
	// readLock is held during a look.
	readLock sync.Mutex

	mu sync.Mutex
	// pending is the look that has not begun yet, nil when nobody waits for one.
	pending *socketTable
}

type socketTable struct {
	done   chan struct{}
	owners map[ports]string
}

// current returns the result of a look that began after the call, so that it holds
// every connection that was accepted before.
func (s *socketTables) current(readSockets func() map[ports]string) map[ports]string {
	s.mu.Lock()
	t := s.pending
	if t == nil {
		t = &socketTable{done: make(chan struct{})}
		s.pending = t
		go s.fill(t, readSockets)
	}
	s.mu.Unlock()
	<-t.done
	return t.owners
}

func (s *socketTables) fill(t *socketTable, readSockets func() map[ports]string) {
	s.readLock.Lock()
	defer s.readLock.Unlock()
	s.mu.Lock()
	s.pending = nil
	s.mu.Unlock()
	t.owners = readSockets()
	close(t.done)
}

// Columns of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
	columns      = 10
)

// connectionOwners returns the process that holds each connection.
func connectionOwners(processes map[string]*Process) map[ports]string {
	holders := map[string]string{}
	for name, process := range processes {
		if pid := process.pid(); pid != 0 {
			addSockets(holders, pid, name)
		}
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	found := map[ports]string{}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < columns {
			continue
		}
		if name, ok := holders[fields[columnInode]]; ok {
			found[ports{port(fields[columnLocal]), port(fields[columnRemote])}] = name
		}
	}
	return found
}

// port returns the port of an address in /proc/net/tcp, 0 if there is none.
func port(address string) int {
	_, text, _ := strings.Cut(address, ":")
	number, err := strconv.ParseUint(text, 16, 16)
	if err != nil {
		return 0
	}
	return int(number)
}

// addSockets adds the inodes of the sockets that one of the test's own processes has
// open.
func addSockets(holders map[string]string, pid int, name string) {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return // the process has ended
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		if err != nil {
			continue
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			holders[strings.TrimSuffix(inode, "]")] = name
		}
	}
}
