// Package control is the control process: it applies the replicated commands,
// and while it leads it watches upstreams, orders promotions, grants leases,
// request tokens and connection shares to proxies, and serves operators.
//
// The replica's goroutine owns the fleet state. The leader's goroutine (Leader)
// owns everything that is not replicated. gRPC and HTTP handlers only exchange
// messages with the two.
package control
