// Package rate divides the request tokens of each team among the proxies.
//
// Allocator runs on the control leader and keeps one token bucket per team; Holder
// runs in each proxy and holds the tokens granted to it. Invariant: bucket +
// outstanding <= burst, where outstanding counts every granted token that may still
// be used. Tokens enter only through the refill at the team's rate, so the use in any
// window w is at most rate x w + burst, measured on the allocator's clock.
package rate
