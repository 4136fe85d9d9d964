// Package throttle limits the requests of teams over a fleet of nodes without a message for each
// request. Nodes count the requests of each team and report the counts a few times a second. The
// leader's Limiter charges them to a token bucket for each team and, when a bucket runs low,
// tells all nodes which fraction of the team's requests to admit. Each node's Gate admits that
// fraction at random and refuses the others at once.
//
// With hundreds of nodes and teams, nearly every request reaches a node that has had no other
// request of the team for seconds, so tokens lent to nodes would lie where nobody needs them,
// and a question for each request would be more than one leader can answer. The messages of
// this scheme depend on the number of nodes and not on the load.
//
// What nodes have admitted and not reported yet is the price: a team that suddenly uses a
// multiple of its rate is limited only after reportInterval and the way to the leader and back.
// The bucket goes below zero by that much, and the debt is refilled before more is admitted, so
// the use in a window of some seconds stays close to rate x window + burst.
package throttle
