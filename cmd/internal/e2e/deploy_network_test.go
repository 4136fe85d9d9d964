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

// network holds the addresses at which processes reach each other. A connection to one of
// them is forwarded through the relay of the link between its two processes.
type network struct {
	t         testing.TB
	ctx       context.Context
	processes func() map[string]*Process

	// exposed holds the listeners that serveExposed serves.
	exposed []exposed

	mu    sync.Mutex
	links map[link]*relay.Relay
	// targets holds the addresses that processes listen on.
	targets map[string]string
	// open and maxOpen count the connections to a target, by single processes and by kinds
	// of processes; maxOpen is the maximum of open for a kind.
	open, maxOpen map[link]int

	sockets socketTables
}

// exposed is the listener at whose address other processes reach a target.
type exposed struct {
	listener net.Listener
	target   string
}

// link is the direction from one process to another.
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

// expose returns an address for the process target, which itself listens on address.
// Connections are accepted once serveExposed was called.
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

// serveExposed serves the exposed addresses. All processes must be defined before, because
// serving reads the list of processes.
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
		return // the process has exited
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

// trackConnection counts an open connection until the returned function is called.
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

// copyHalf copies until the source ends and then closes the sink for writing. If the sink
// has failed, it closes the source.
func copyHalf(sink, source net.Conn) {
	_, err := io.Copy(sink, source)
	if err != nil {
		source.Close()
	}
	if tcp, ok := sink.(*net.TCPConn); ok {
		// It fails only if the connection is already closed.
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

// owner returns the name of the process that has the other end of conn. All processes share
// the address 127.0.0.1, so the inode of the socket identifies the process.
func (n *network) owner(conn net.Conn) string {
	t := n.sockets.current(func() map[ports]string { return connectionOwners(n.processes()) })
	return t[ports{conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port}]
}

// ports identifies one end of a loopback connection by its local and remote ports.
type ports struct{ local, remote int }

// socketTables shares one read of all sockets among connections that arrive together.
// /proc/net/tcp lists all sockets of the machine; reading it once for each of 200
// connections made the proxies' connection attempts time out on one core.
type socketTables struct {
	// readLock is held while the sockets are read.
	readLock sync.Mutex

	mu sync.Mutex
	// pending is the read that has not begun yet, nil when nobody waits for one.
	pending *socketTable
}

type socketTable struct {
	done   chan struct{}
	owners map[ports]string
}

// current returns the result of a read that began after the call, so that it includes every
// connection that was accepted before.
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

// connectionOwners returns the process that has each connection open.
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

// port returns the port of an address in /proc/net/tcp, 0 if it has none.
func port(address string) int {
	_, text, _ := strings.Cut(address, ":")
	number, err := strconv.ParseUint(text, 16, 16)
	if err != nil {
		return 0
	}
	return int(number)
}

// addSockets adds the inodes of the sockets that one of the test's processes has open.
func addSockets(holders map[string]string, pid int, name string) {
	folder := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return // the process has exited
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
