// Package warmup limits the requests that a fleet of nodes sends to an upstream that warms up.
//
// Load pattern: an upstream has just started, or its data centre is used again, and hundreds of nodes would send it
// their share of the reads at once, each of them little. An equal part of the warm rate for each node is less than one
// request a second, and most of it would lie where nobody needs it.
//
// The leader's Allocator hands out permits, one for each request, to the nodes that want them. A permit is valid for
// Lifetime from when its node sent the report that the grant answers, so it is used at most Lifetime after it was
// granted. In any second at most those can be used that were granted in that second and Lifetime before it, and the
// rate and burst of the grants are chosen so that this is within the bound. A later leader starts without
// the burst, which an earlier one may have granted a moment before.
//
// A request for which a node has no permit goes to another upstream. One that only this upstream can run waits, and its
// node asks for a permit at once; the demands of the others go with the next regular report.
package warmup
