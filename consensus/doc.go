// Package consensus is a replicated-log state machine (Raft) without I/O, clocks
// or goroutines.
//
// It implements pre-vote, check-quorum, a leader lease, learners, membership
// changes one at a time, and snapshots. The caller feeds it messages and the time
// and carries out what Ready returns: send the messages, persist the hard state,
// snapshot and entries, call Advance, apply the committed entries.
//
// Messages that depend on state that is not yet durable are held back until
// Advance. The order in which the caller sends and persists therefore does not
// matter for safety.
package consensus
