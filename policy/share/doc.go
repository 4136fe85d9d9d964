// Package share divides the connections of each upstream among the proxies.
//
// Allocator runs on the control leader, Holder in each proxy. Invariant: the sum of
// all shares that may be valid, and of all connections above a share that was made
// smaller, is at most limit - reserve at all times.
package share
