package server

import (
	"crypto/sha256"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/engine"
)

// Reasons for which connections of callers are closed.
const (
	reasonTooManyCallers engine.Reason = "too_many_callers"
	reasonTooManyOpening engine.Reason = "too_many_opening"
	reasonEvicted        engine.Reason = "evicted"
)

// maxCandidates bounds the connections that are compared for one new connection.
const maxCandidates = 512

// admit registers a new connection. If there are too many, another is closed in its favour. It returns false if none
// may be closed.
func (s *Server) admit(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.MaxCallers > 0 {
		switch {
		case len(s.callers) >= s.opts.MaxCallers:
			if !s.evict(func(*callerConn) bool { return true }, reasonEvicted) {
				return false
			}
		case s.opening >= maxOpening(s.opts.MaxCallers):
			// Many legal callers may connect at the same moment: only those that have stalled are closed.
			now := clock.Now()
			s.evict(func(other *callerConn) bool { return other.owner == "" && other.waitsFor(now) >= minOpeningTime }, reasonTooManyOpening)
		}
	}
	s.callers[c] = true
	s.opening++
	c.beginWait()
	return true
}

// maxOpening returns how many of the callers may be before the begin of their sessions.
func maxOpening(maxCallers int) int {
	return max(1, int(maxOpeningFraction*float64(maxCallers)))
}

// evict closes one of the connections that match, and reports whether there was one. The caller holds mu.
func (s *Server) evict(matches func(*callerConn) bool, reason engine.Reason) bool {
	var conns []*callerConn
	var candidates []candidate
	// The order of a map is random: of many connections a random part is looked at.
	for c := range s.callers {
		if len(conns) == maxCandidates {
			break
		}
		if matches(c) {
			conns = append(conns, c)
			candidates = append(candidates, candidate{
				owner: c.owner, waitingSince: time.Duration(c.waitingSince.Load()), inTransaction: c.inTransaction.Load(),
			})
		}
	}
	i := chooseVictim(candidates, clock.Now())
	if i == noVictim {
		return false
	}
	s.forget(conns[i])
	s.reportClosed(conns[i], reason)
	_ = conns[i].conn.Close()
	return true
}

// beginSession records that the caller has shown a key. It returns false if the connection was closed meanwhile.
func (s *Server) beginSession(c *callerConn, owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.callers[c] {
		return false
	}
	s.opening--
	c.owner = owner
	return true
}

// ownerOf identifies who opens a session: by the key, as a load balancer may hide addresses, or by the address if there
// is none.
func ownerOf(key string, conn net.Conn) string {
	if key == "" {
		return "address " + hostOf(conn)
	}
	// Only a digest is held: keys may be long.
	digest := sha256.Sum256([]byte(key))
	return string(digest[:])
}

func hostOf(conn net.Conn) string {
	remote := conn.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}

func (s *Server) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(c)
}

// forget removes a connection, which may have been removed before. The caller holds mu.
func (s *Server) forget(c *callerConn) {
	if !s.callers[c] {
		return
	}
	delete(s.callers, c)
	if c.owner == "" {
		s.opening--
	}
}

// reportClosed counts and logs a connection that is closed for a reason of the node.
func (s *Server) reportClosed(c *callerConn, reason engine.Reason) {
	countClosedCaller(reason)
	s.clients.Report(hostOf(c.conn), logrus.Fields{"listener": "callers", "reason": string(reason)}, clock.Now())
}

// beginWait records that the node waits for the caller.
func (c *callerConn) beginWait() { c.waitingSince.CompareAndSwap(0, int64(clock.Now())) }

// endWait records that a message of the caller is handled.
func (c *callerConn) endWait() { c.waitingSince.Store(0) }

// waitsFor returns how long the node has waited for the caller, or 0 while a message is handled.
func (c *callerConn) waitsFor(now time.Duration) time.Duration {
	since := time.Duration(c.waitingSince.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

func (c *callerConn) isWaiting() bool { return c.waitingSince.Load() != 0 }
