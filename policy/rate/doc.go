// Package rate divides the request tokens of each team among the proxies.
//
// Owner runs on the control leader and holds one bucket per team; Holder runs in
// each proxy and holds granted tokens. Invariant: bucket + outstanding <= burst,
// where outstanding counts every granted token that may still be used. Tokens
// enter only by the refill at the team's rate, so the use in any window w is at
// most rate x w + burst, measured on the owner's clock.
package rate
