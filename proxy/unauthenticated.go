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
	conns []net.Conn
}

func newUnauthenticatedConns(max int) *unauthenticatedConns {
	return &unauthenticatedConns{max: max}
}

// add adds a connection. Above the bound it ends the reads of the oldest one.
func (u *unauthenticatedConns) add(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.conns) > 0 && len(u.conns) >= u.max {
		_ = u.conns[0].SetDeadline(time.Unix(1, 0))
		u.conns = u.conns[1:]
	}
	u.conns = append(u.conns, conn)
}

// remove removes a connection that has shown a key or has ended. It returns false if the connection was displaced.
func (u *unauthenticatedConns) remove(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	i := slices.Index(u.conns, conn)
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
