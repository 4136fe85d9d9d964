// Package replica runs one member of the replicated control state: the consensus core
// with a log in a data folder and gRPC as its transport.
//
// The goroutine of Run owns the core, the log and the applied state. Other goroutines
// send it proposals and messages over channels and read its status and the leader
// lease from atomic values.
package replica
