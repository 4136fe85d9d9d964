package failover

import (
	"time"
)

// disturb causes a random disturbance.
func (c *course) disturb() {
	switch c.random.IntN(9) {
	case 0, 1:
		c.release(c.servers[c.random.IntN(len(c.servers))])
	case 2:
		c.release(c.primary)
	case 3:
		c.crash(c.servers[c.random.IntN(len(c.servers))])
	case 4:
		c.crash(c.primary)
	case 5:
		c.changeLeader()
	case 6:
		c.infraDown = c.now + c.between(500*time.Millisecond, 8*time.Second)
		c.note("the infrastructure is down until %v", c.infraDown-time.Minute)
	case 7:
		c.infraSlow = c.now + c.between(500*time.Millisecond, 8*time.Second)
		c.note("the infrastructure is slow until %v", c.infraSlow-time.Minute)
	case 8:
		c.answersLost = c.now + c.between(100*time.Millisecond, 3*time.Second)
		c.note("answers are lost until %v", c.answersLost-time.Minute)
	}
}

// endServers ends a server for good, or a server and soon afterwards the primary.
func (c *course) endServers() {
	any := c.servers[c.ends.IntN(len(c.servers))]
	switch c.ends.IntN(3) {
	case 0:
		c.endSuddenly(any)
	case 1:
		c.endSuddenly(c.primary)
	case 2:
		c.endSuddenly(any)
		c.after(between(c.ends, 0, 2*time.Second), func() { c.endSuddenly(c.primary) })
	}
}

// release replaces a server: a new one starts, and a second later the old one drains. Releases are
// releaseGap apart.
func (c *course) release(s *courseServer) {
	if !s.up || s.draining || !s.listed || c.now-c.releasedAt < releaseGap || c.ordersUnderWay > 0 {
		return
	}
	c.releasedAt = c.now
	replacement := c.addServer()
	c.note("%s starts in place of %s", replacement.id, s.id)
	c.after(releaseGap, func() {
		if !s.up {
			return
		}
		c.note("%s drains with %d commits", s.id, s.length)
		s.draining = true
		c.after(drainDuration+c.between(0, 2*time.Second), func() { c.end(s) })
	})
}

// end ends a server that drains. It does not end while there is no leader: the next one could not know
// that there was such a replica. Servers end releaseGap apart, as they are released.
func (c *course) end(s *courseServer) {
	if c.now < c.leaderAbsent+200*time.Millisecond || c.now-c.endedAt < releaseGap {
		c.after(courseStep, func() { c.end(s) })
		return
	}
	c.endedAt = c.now
	c.note("%s ends with %d commits", s.id, s.length)
	if s == c.primary {
		c.primaryEndKnownAt = c.now
	}
	s.up, s.left, s.listed, s.downSince, s.unlistedAt = false, true, false, c.now, c.now
}

// runningServers counts the servers that run and do not drain.
func (c *course) runningServers() int {
	n := 0
	for _, s := range c.servers {
		if s.up && !s.draining {
			n++
		}
	}
	return n
}

// endSuddenly ends a server for good without a word. A replica always remains.
func (c *course) endSuddenly(s *courseServer) {
	if !s.up || c.runningServers() < 3 {
		return
	}
	s.up, s.gone, s.downSince = false, true, c.now
	c.note("%s ends for good with %d commits, primary %v", s.id, s.length, s == c.primary)
	if c.ends.IntN(4) != 0 {
		c.after(between(c.ends, minReuseTime, maxReuseTime), func() { s.addressReused = true })
	}
	c.unlistAfter(unlistTimeout, s)
}

// crash stops a server, which starts again later with its log.
func (c *course) crash(s *courseServer) {
	if !s.up || s.draining {
		return
	}
	c.note("%s crashes with %d commits, primary %v", s.id, s.length, s == c.primary)
	s.up, s.downSince = false, c.now
	down := c.between(100*time.Millisecond, maxCrash)
	if c.ends != nil && c.ends.IntN(4) == 0 {
		down = between(c.ends, maxCrash, maxLongCrash)
	}
	c.after(down, func() { c.restart(s) })
}

// restart starts a crashed server with its log.
func (c *course) restart(s *courseServer) {
	if c.ordersUnderWay > 0 && s != c.primary {
		c.after(courseStep, func() { c.restart(s) })
		return
	}
	c.note("%s is back", s.id)
	s.up, s.paused = true, 0
	// It announces itself.
	c.forgetEnd(s)
	delete(c.samples, s.id)
}

func (c *course) changeLeader() {
	if c.hasLeft() || c.now-c.endedAt < 200*time.Millisecond {
		// A new leader does not know of a replica that left before.
		return
	}
	c.leaderAbsent = c.now + c.between(200*time.Millisecond, 2*time.Second)
	known, term, _ := c.machine.Primary()
	c.note("the leader changes")
	c.startLeader()
	if c.random.IntN(2) == 0 {
		c.machine.Adopt(c.now, known, term)
	}
}

// hasLeft reports whether the leader keeps a server that is no longer listed.
func (c *course) hasLeft() bool {
	for id := range c.machine.departed {
		if !c.server(id).listed {
			return true
		}
	}
	return false
}

// unlistAfter takes a server off the list of the present leader. A later leader adopts the list as it is then.
func (c *course) unlistAfter(d time.Duration, s *courseServer) {
	leader := c.leader
	c.after(d, func() {
		if c.leader == leader {
			s.listed, s.unlistedAt = false, c.now
		}
	})
}

func (c *course) startLeader() {
	c.leader++
	c.endedSince, c.bounds = map[string]time.Duration{}, map[string]int{}
	c.lastSamples = map[string]Sample{}
	c.primaryEndKnownAt = 0
	for _, s := range c.servers {
		if s.gone {
			c.unlistAfter(max(0, c.leaderAbsent-c.now)+adoptedTimeout, s)
		}
	}
	c.leaderStartedAt = max(c.now, c.leaderAbsent)
	c.machine = New(c.leaderStartedAt)
	c.samples = map[string]Sample{}
	c.nextProbe = map[*courseServer]time.Duration{}
}
