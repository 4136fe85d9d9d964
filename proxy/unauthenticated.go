package proxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

// unauthenticatedConns holds the connections of callers that have not shown a key yet, the oldest first. It answers
// crowds that connect and send nothing: above the bound the oldest connection is refused, so that new callers can log in.
type unauthenticatedConns struct {
	mu    sync.Mutex
	max   int
	conns []unauthenticatedConn
}

// minLoginTime is how long a caller has for its key before its connection may be refused for another.
const minLoginTime = 500 * time.Millisecond

type unauthenticatedConn struct {
	net.Conn
	since time.Time
}

func newUnauthenticatedConns(max int) *unauthenticatedConns {
	return &unauthenticatedConns{max: max}
}

// add adds a connection. Above the bound it ends the reads of the oldest one, or of the new one if the oldest is not
// minLoginTime old: many legal callers may connect at the same moment.
func (u *unauthenticatedConns) add(conn net.Conn, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.conns) > 0 && len(u.conns) >= u.max {
		oldest := u.conns[0]
		if now.Sub(oldest.since) < minLoginTime {
			_ = conn.SetDeadline(time.Unix(1, 0))
			return
		}
		_ = oldest.SetDeadline(time.Unix(1, 0))
		u.conns = u.conns[1:]
	}
	u.conns = append(u.conns, unauthenticatedConn{conn, now})
}

// remove removes a connection that has shown a key or has ended. It returns false if the connection was displaced.
func (u *unauthenticatedConns) remove(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	i := slices.IndexFunc(u.conns, func(c unauthenticatedConn) bool { return c.Conn == conn })
	if i < 0 {
		return false
	}
	u.conns = slices.Delete(u.conns, i, i+1)
	return true
}

func (u *unauthenticatedConns) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}
