package engine

// The nodes that hold the connections to an upstream see nearly all of its work, and bound the statements that run
// there at once: what waits in the upstream's own queue is served in order of arrival, what waits in the queue of the
// pool is served by priority.
//
// Load pattern: a burst of long statements of a low priority beside short ones of a high priority. In the upstream's queue
// each short one would wait behind all of the burst that came before it.

// queuedPerSlot is how many statements may wait at the upstream for each of its slots, so that no slot idles for the time of
// a round trip.
const queuedPerSlot = 0.5

// runningLimit returns how many statements one of n holders lets run at once at an upstream with so many slots; 0 means
// without limit.
func runningLimit(slots, n int) int {
	if slots <= 0 || n <= 0 {
		return 0
	}
	return max(1, int((1+queuedPerSlot)*float64(slots))/n)
}

// running returns the number of connections on which a statement runs or is about to: those in use but for the ones
// inside transactions whose callers pause. The caller holds mu.
func (p *pool) running() int {
	return p.inUse - p.parked
}

// hasSlot reports whether another statement may run at the upstream now. The caller holds mu.
func (p *pool) hasSlot() bool {
	limit := p.share.maxRunning
	return limit == 0 || p.running() < limit
}

// park records that the transaction on the connection pauses: its caller has the answer to a statement.
func (c *upstreamConn) park() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.parked || c.state == Idle {
		return
	}
	c.parked = true
	p.parked++
	p.serveWaiters()
}

// unpark records that the transaction goes on. Its statement does not wait for others: the transaction holds a
// connection, and maybe locks at the upstream.
func (c *upstreamConn) unpark() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endParking(c)
}

// endParking counts the connection as running again. The caller holds mu.
func (p *pool) endParking(c *upstreamConn) {
	if c.parked {
		c.parked = false
		p.parked--
	}
}
