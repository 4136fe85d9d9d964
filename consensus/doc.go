// Package consensus implements the Raft replicated log as a state machine without I/O,
// clocks or goroutines.
//
// It supports pre-vote, check-quorum, a leader lease, learners, membership changes one
// at a time, and snapshots. The caller passes in messages and the current time and
// carries out the work that Ready returns: it sends the messages, persists the hard
// state, snapshot and entries, calls Advance, and applies the committed entries.
//
// Messages that depend on state that is not yet durable are held back until Advance.
// Safety therefore does not depend on the order in which the caller sends and persists.
package consensus
