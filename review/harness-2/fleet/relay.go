package fleet

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
)

// Relay stands between the nodes and one server. It can cut off those who show a given name in START: nothing passes in
// either direction, silently, on open connections and on new ones.
type Relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn]bool
}

// NewRelay returns a Relay to a server.
func NewRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, cut: map[string]bool{}, conns: map[net.Conn]bool{}}
	go r.serve(l)
	return r, nil
}

// Address returns the address of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay for new connections.
func (r *Relay) Close() { _ = r.listener.Close() }

// Refuse cuts everybody off: it closes all connections, and new ones are refused.
func (r *Relay) Refuse() {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut cuts off those who show one of the names in START.
func (r *Relay) Cut(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range names {
		r.cut[n] = true
	}
}

func (r *Relay) isCut(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut[name]
}

// Heal ends what Refuse began.
func (r *Relay) Heal() error {
	l, err := net.Listen("tcp4", r.Address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go r.serve(l)
	return nil
}

func (r *Relay) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

// pass reads the START message of a connection, and passes it and all that follows on.
func (r *Relay) pass(c net.Conn) {
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	name := ""
	if fields := strings.Fields(line); len(fields) >= 3 {
		name = fields[2]
	}
	if r.isCut(name) {
		_, _ = io.Copy(io.Discard, in)
		return
	}
	server, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if _, err := io.WriteString(server, line); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.copy(server, in, name); done <- struct{}{} }()
	go func() { r.copy(c, server, name); done <- struct{}{} }()
	<-done
}

// copy copies until the source ends. What comes from or for those who are cut off is dropped.
func (r *Relay) copy(to io.Writer, from io.Reader, name string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isCut(name) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
