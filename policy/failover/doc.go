// Package failover decides when a group's primary is replaced, and by which
// replica. Machine is a pure state machine run by the control leader: events and
// a time go in, effects come out, and the leader carries them out.
//
// What must survive a change of leader (term, primary, fence, candidate) lives in
// the replicated state; Machine keeps only what a new leader can learn again.
package failover
