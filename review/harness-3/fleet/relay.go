package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Relay passes the connections of the nodes on to a server. Nodes can be cut off from the server: their bytes are held
// up, and new connections get no answer.
type Relay struct {
	Address string
	target  string
	fleet   *Fleet
	mu      sync.Mutex
	cut     map[*Node]bool
	closed  bool
	conns   map[net.Conn]bool
	lis     net.Listener
}

// NewRelay starts a relay to a server.
func (f *Fleet) NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), target: target, fleet: f, cut: map[*Node]bool{}, conns: map[net.Conn]bool{}, lis: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// Cut cuts nodes off from the server, silently, or joins them again.
func (r *Relay) Cut(cut bool, nodes ...*Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range nodes {
		if cut {
			r.cut[n] = true
		} else {
			delete(r.cut, n)
		}
	}
}

func (r *Relay) isCut(n *Node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == nil {
		// The process behind the connection has ended, or its connection has.
		return len(r.cut) > 0
	}
	return r.cut[n]
}

func (r *Relay) serve(c net.Conn) {
	defer c.Close()
	owner := r.fleet.ownerOf(c.RemoteAddr().String())
	for r.isCut(owner) {
		// Nothing gets through; the connection stays open and silent.
		time.Sleep(10 * time.Millisecond)
	}
	up, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for r.isCut(owner) {
				time.Sleep(10 * time.Millisecond)
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(up, c)
	go pipe(c, up)
	<-done
}

// Close ends the relay.
func (r *Relay) Close() { _ = r.lis.Close() }

// ownerOf returns the node whose process has the connection with a local address, or nil. It reads the connections of
// the nodes' own processes only.
func (f *Fleet) ownerOf(address string) *Node {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host).To4()
	var p int
	fmt.Sscan(port, &p)
	wanted := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], p)
	for range 200 {
		inode := ""
		table, _ := os.ReadFile("/proc/self/net/tcp")
		for line := range strings.SplitSeq(string(table), "\n") {
			fields := strings.Fields(line)
			if len(fields) > 9 && fields[1] == wanted {
				inode = fields[9]
			}
		}
		if inode == "" || inode == "0" {
			time.Sleep(time.Millisecond)
			continue
		}
		for _, n := range f.Nodes {
			folder := fmt.Sprintf("/proc/%d/fd", n.PID())
			entries, err := os.ReadDir(folder)
			if err != nil {
				continue
			}
			for _, e := range entries {
				if link, err := os.Readlink(filepath.Join(folder, e.Name())); err == nil && link == "socket:["+inode+"]" {
					return n
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}
