// Package control implements the control process. Every control VM applies the
// replicated commands. The leader also probes upstreams, orders promotions, grants
// leases, request tokens and connection shares to proxies, and serves operators.
//
// The goroutine of the replica owns the fleet state. The goroutine of Leader.Run
// owns everything that is not replicated. gRPC and HTTP handlers only exchange
// messages with these two goroutines.
package control
