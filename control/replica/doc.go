// Package replica runs one voter of the replicated control state: the consensus
// core over a data folder and gRPC.
//
// One goroutine owns the core, the log and the applied state. Others hand it
// proposals and messages through channels and read its Status and leader lease
// through atomic values.
package replica
