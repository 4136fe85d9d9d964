package engine

import (
	"slices"

	"github.com/jayloom/jayloom/api/rescode"
)

// A route or a team may name its home regions. Statements are then sent to upstreams in these only, and where both
// name some, in those that both name. An upstream whose region is not known is in none.

// restricted reports whether an operation has home regions.
func (op *operation) restricted() bool {
	return len(op.route.Regions) > 0 || len(op.teamRegions) > 0
}

// mayRunOn reports whether an upstream is in the home regions of an operation.
func (e *Engine) mayRunOn(op *operation, p *pool) bool {
	if !op.restricted() {
		return true
	}
	p.mu.Lock()
	region := e.opts.Regions[p.place]
	p.mu.Unlock()
	return region != "" && allowsRegion(op.route.Regions, region) && allowsRegion(op.teamRegions, region)
}

func allowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// outsideHome returns the upstreams that an operation may not run on, as ones that were tried.
func (e *Engine) outsideHome(op *operation) triedUpstreams {
	outside := triedUpstreams{}
	if !op.restricted() {
		return outside
	}
	for _, p := range op.group.currentPools() {
		if !e.mayRunOn(op, p) {
			outside[p.target.ID] = retryOutsideHome
		}
	}
	return outside
}

// homeRefusal is the refusal of work for which no upstream in its home regions is left. Nothing was sent.
func homeRefusal(upstream string) *Refusal {
	return &Refusal{Code: rescode.NoUpstream, Reason: reasonOutsideHome, RetryAfter: failoverRetryAfter, Upstream: upstream}
}

// refuseOutsideHome returns a result if a statement may not be sent to the upstream of a connection. The topology or
// the place of the upstream may have changed since it was chosen.
func (s *Session) refuseOutsideHome(op *operation, c *upstreamConn) *attemptResult {
	if s.engine.mayRunOn(op, c.pool) {
		return nil
	}
	c.broken = true
	result := retryResult(retryOutsideHome, *homeRefusal(c.pool.target.ID))
	return &result
}
