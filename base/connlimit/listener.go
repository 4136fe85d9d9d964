package connlimit

import (
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clientlog"
	"github.com/jayloom/jayloom/base/clock"
)

// Reasons for which connections are closed.
const (
	reasonEvicted = "evicted"
	reasonFull    = "full"
)

// Listener accepts a bounded number of connections.
type Listener struct {
	net.Listener
	name string
	log  *clientlog.Logger

	mu    sync.Mutex
	table *Table
	conns map[uint64]*conn
	// byRemote finds a connection by the address of its client, port included.
	byRemote map[string]*conn
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener  *Listener
	id        uint64
	closeOnce sync.Once
}

// NewListener returns a listener that passes on up to max connections of inner. name tells the process's listeners
// apart in metrics and logs.
func NewListener(inner net.Listener, name string, max int, log *logrus.Entry) *Listener {
	l := &Listener{
		Listener: inner, name: name, log: clientlog.New(log),
		table: NewTable(max), conns: map[uint64]*conn{}, byRemote: map[string]*conn{},
	}
	metrics.GetOrCreateGauge(`jayloom_listener_connections{listener="`+name+`"}`, func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.table.Len())
	})
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection for the server, or nil if it was closed.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	id, victimID, ok := l.table.Add(hostOf(inner), clock.Now())
	victim := l.conns[victimID]
	c := &conn{Conn: inner, listener: l, id: id}
	if ok {
		l.forget(victim)
		l.conns[id] = c
		l.byRemote[inner.RemoteAddr().String()] = c
	}
	l.mu.Unlock()
	if !ok {
		l.report(reasonFull, inner)
		_ = inner.Close()
		return nil
	}
	if victim != nil {
		l.report(reasonEvicted, victim.Conn)
		_ = victim.Conn.Close()
	}
	return c
}

func (l *Listener) report(reason string, c net.Conn) {
	metrics.GetOrCreateCounter(`jayloom_closed_clients_total{listener="` + l.name + `",reason="` + reason + `"}`).Inc()
	l.log.Report(hostOf(c), logrus.Fields{"listener": l.name, "reason": reason}, clock.Now())
}

// forget removes a connection, which may be nil. The caller holds mu.
func (l *Listener) forget(c *conn) {
	if c == nil {
		return
	}
	l.table.Remove(c.id)
	delete(l.conns, c.id)
	if remote := c.RemoteAddr().String(); l.byRemote[remote] == c {
		delete(l.byRemote, remote)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.forget(c)
	})
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, through which the state of a socket is read.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// Protect keeps the connection of a client, whose address with its port is given, until a time.
func (l *Listener) Protect(remote string, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.byRemote[remote]; c != nil {
		l.table.Protect(c.id, until)
	}
}

// Keep keeps the connection of a client as long as it lasts.
func (l *Listener) Keep(remote string) { l.Protect(remote, math.MaxInt64) }

func hostOf(c net.Conn) string {
	remote := c.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}
