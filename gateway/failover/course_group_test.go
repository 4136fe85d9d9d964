package failover

import (
	"time"

	"github.com/jayloom/jayloom/gateway/position"
)

// commitAndReplicate commits a write on the primary, and acknowledges what a replica has received.
func (c *course) commitAndReplicate() {
	if c.primary.up && c.demotedTerm == 0 {
		c.terms = append(c.terms, c.term)
		c.committedAt = append(c.committedAt, c.now)
		c.primary.length = len(c.terms)
	}
	received := 0
	for _, s := range c.servers {
		if s == c.primary || !s.up {
			continue
		}
		if c.primary.up && s.paused <= c.term {
			for s.length < len(c.terms) && c.now-c.committedAt[s.length] >= s.replication {
				s.length++
			}
		}
		received = max(received, s.length)
	}
	if c.primary.up && received > c.acknowledged {
		c.acknowledged, c.lastAck = received, c.now
	}
}

func (c *course) positionOf(s *courseServer) position.Position {
	if s.length == 0 {
		return position.Position{Term: 1}
	}
	return position.Position{Term: c.terms[s.length-1], Number: uint64(s.length)}
}

// answerLost reports whether a message is lost.
func (c *course) answerLost() bool {
	return c.now < c.answersLost && c.random.IntN(2) == 0
}

// probe sends the probes that are due, and delivers their answers later.
func (c *course) probe() {
	if c.now < c.leaderAbsent {
		return
	}
	for _, s := range c.servers {
		if !s.listed || c.now < c.nextProbe[s] {
			continue
		}
		interval := time.Second
		if s == c.primary {
			interval = 250 * time.Millisecond
		}
		if c.machine.NeedsFrequentProbes() {
			interval = 100 * time.Millisecond
		}
		c.nextProbe[s] = c.now + interval
		sent, leader := c.now, c.leader
		c.after(c.between(0, 30*time.Millisecond), func() {
			if s.addressReused {
				c.noteEnd(s, leader)
			}
			if !s.up || c.answerLost() {
				return
			}
			leads := s == c.primary && c.demotedTerm == 0
			sample := Sample{
				At: sent, Primary: leads, Term: c.term, Position: c.positionOf(s), PausedTerm: s.paused,
				PositionAsPrimary: leads,
			}
			if s == c.primary {
				sample.PausedTerm = c.demotedTerm
			}
			c.after(c.between(0, 30*time.Millisecond), func() {
				if c.leader != leader {
					return
				}
				c.samples[s.id] = sample
				c.forgetEnd(s)
				if sample.Primary {
					c.noteBounds(sample)
				}
			})
		})
	}
}

// noteEnd records that another server answered the leader at the address of a server.
func (c *course) noteEnd(s *courseServer, leader uint64) {
	if c.leader != leader || c.endedSince[s.id] != 0 {
		return
	}
	c.endedSince[s.id] = c.now
	if s == c.primary {
		c.primaryEndKnownAt = c.now
	}
}

func (c *course) forgetEnd(s *courseServer) {
	if s == c.primary {
		c.primaryEndKnownAt = 0
	}
	delete(c.endedSince, s.id)
	delete(c.bounds, s.id)
}

// noteBounds records the length of the primary's log for the servers that are known to have ended before.
func (c *course) noteBounds(sample Sample) {
	for _, s := range c.servers {
		since, ended := c.endedSince[s.id]
		if !s.listed {
			since = s.unlistedAt + leaderStep
		}
		if !s.listed && !s.left {
			heardAt := max(c.lastSamples[s.id].At, c.leaderStartedAt, s.addedAt)
			since = max(since, heardAt+silenceTimeout+leaderStep)
		}
		if _, ok := c.bounds[s.id]; !ok && (ended || !s.listed) && since < sample.At {
			c.bounds[s.id] = int(sample.Position.Number)
		}
	}
}

// stepLeader runs the state machine each 100 ms and carries out its actions.
func (c *course) stepLeader() {
	if c.now < c.leaderAbsent || c.now%leaderStep != 0 {
		return
	}
	in := Input{SyncReplicas: 1, Reachability: Reachability{Nodes: 11}}
	for _, s := range c.servers {
		if s.left {
			in.Left = append(in.Left, s.id)
		}
		if s.listed {
			c.lastSamples[s.id] = c.samples[s.id]
			in.Servers = append(in.Servers, Server{
				ID: s.id, Draining: s.draining, ClaimsPrimary: s == c.primary, Sample: c.samples[s.id],
				EndedSince: c.endedSince[s.id],
			})
		}
	}
	if id, _, _ := c.machine.Primary(); id == c.primary.id && c.primary.up {
		in.Reachability.Reaching = 11
	} else {
		in.Reachability.Failing = 11
	}
	for _, a := range c.machine.Step(c.now, in) {
		c.execute(a)
	}
}

func (c *course) server(id string) *courseServer {
	for _, s := range c.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (c *course) execute(a Action) {
	c.note("leader %d: %+v", c.leader, a)
	if a.Promote != "" {
		c.order(a)
		return
	}
	s, machine := c.server(a.Pause+a.Resume+a.Demote), c.machine
	c.after(c.between(0, 60*time.Millisecond), func() {
		switch {
		case !s.up || c.answerLost():
		case a.Demote != "":
			if s == c.primary && a.Term > c.term {
				c.demotedTerm = a.Term
			}
		case a.Resume != "":
			s.paused = 0
			machine.HandleResumed(c.now, s.id, a.Order)
		case a.Term > c.term && s != c.primary:
			s.paused = a.Term
		}
	})
}

// order sends a promotion order to the infrastructure.
func (c *course) order(a Action) {
	fence, machine, s, leader := c.leader<<20+a.Order, c.machine, c.server(a.Promote), c.leader
	unknown := func() {
		machine.HandleUnknownOutcome(c.now)
	}
	switch {
	case c.now < c.infraDown:
		c.after(callTimeout, unknown)
		if c.random.IntN(4) == 0 {
			// The call is carried out later.
			c.acceptLater(leader, s, fence)
		}
	case c.now < c.infraSlow && c.ends != nil:
		c.callSlowly(a, fence)
	case c.now < c.infraSlow || c.answerLost():
		c.after(callTimeout, unknown)
		c.acceptLater(leader, s, fence)
	default:
		c.ordersUnderWay++
		c.after(c.between(0, 30*time.Millisecond), func() {
			c.ordersUnderWay--
			c.answer(machine, a, c.accept(leader, s, fence))
		})
	}
}

// answer tells a leader whether its order was accepted. The answer to an order that a newer one has
// replaced is ignored.
func (c *course) answer(machine *Machine, a Action, accepted bool) {
	switch {
	case a.Order != machine.orders:
	case accepted:
		machine.HandleAccepted()
	default:
		machine.HandleRefused(c.now, a.Promote)
	}
}

// callSlowly sends an order to a slow infrastructure, which notes the fence when the call arrives, and
// checks it when it carries out the order.
func (c *course) callSlowly(a Action, fence uint64) {
	machine, s, leader, answered := c.machine, c.server(a.Promote), c.leader, false
	c.seenFence = max(c.seenFence, fence)
	c.ordersUnderWay++
	c.after(between(c.ends, 0, maxSlowCall), func() {
		c.ordersUnderWay--
		answered = true
		c.answer(machine, a, c.accept(leader, s, fence))
	})
	c.after(callTimeout, func() {
		if !answered && a.Order == machine.orders {
			machine.HandleUnknownOutcome(c.now)
		}
	})
}

func (c *course) acceptLater(leader uint64, s *courseServer, fence uint64) {
	c.ordersUnderWay++
	c.after(c.between(0, 4*time.Second), func() {
		c.ordersUnderWay--
		c.accept(leader, s, fence)
	})
}

// accept checks the fence of an order, and carries it out a moment later.
func (c *course) accept(leader uint64, s *courseServer, fence uint64) bool {
	if fence < c.seenFence || !s.up {
		c.note("order %d for %s is refused", fence, s.id)
		return false
	}
	c.seenFence = fence
	if s != c.primary {
		c.ordersUnderWay++
		c.after(c.between(100*time.Millisecond, time.Second), func() {
			c.ordersUnderWay--
			c.promote(leader, s)
		})
	}
	return true
}

func (c *course) promote(leader uint64, s *courseServer) {
	if !s.up || s == c.primary {
		return
	}
	c.promotions++
	c.term++
	c.primaryEndKnownAt = 0
	c.note("%s leads term %d with %d commits, %d are acknowledged", s.id, c.term, s.length, c.acknowledged)
	if s.length < c.acknowledged {
		c.fault("LOST: %s leads term %d without %d acknowledged commits", s.id, c.term, c.acknowledged-s.length)
	}
	c.primary, c.promotedBy, s.paused, c.demotedTerm = s, leader, 0, 0
	c.terms, c.committedAt = c.terms[:s.length], c.committedAt[:s.length]
	for _, other := range c.servers {
		other.length = min(other.length, s.length)
		if c.resumesAll {
			other.paused = 0
		}
	}
}
