// Package failover decides when the primary of a group is replaced and by which
// replica. Machine is a pure state machine that the control leader runs: Step takes
// an event and the current time and returns effects, which the leader executes.
//
// State that must survive a change of leader (term, primary, fence, candidate) is
// replicated. Machine holds only state that a new leader can rebuild from probes and
// reports.
package failover
