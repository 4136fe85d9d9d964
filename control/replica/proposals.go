package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/consensus"
)

// outcome is the result of a proposal or of a membership change.
type outcome struct {
	result *controlpb.CommandResult
	err    error
}

// proposal is a command that waits to be committed and applied.
type proposal struct {
	data []byte
	// term is the term of the entry. Another leader may replace the entry at its index.
	term consensus.Term
	// done has a buffer for the one outcome, so that sending never blocks.
	done chan outcome
}

func unavailableError(format string, args ...any) *rescode.Error {
	metricUnavailable.Inc()
	return rescode.New(rescode.ControlUnavailable, format, args...)
}

func (r *Replica) notLeaderError() *rescode.Error {
	metricNotLeader.Inc()
	if address := r.Status().LeaderAddress; address != "" {
		return rescode.New(rescode.NotLeader, "the leader is at %s", address)
	}
	return rescode.New(rescode.NotLeader, "no leader is known")
}

// isKnownLeader reports whether this replica leads according to the published status.
// Other replicas refuse requests without using the goroutine of Run.
func (r *Replica) isKnownLeader() bool {
	return r.Status().LeaderIdentity == string(r.identity)
}

// Propose implements Replicator.
func (r *Replica) Propose(ctx context.Context, c *controlpb.Command) (*controlpb.CommandResult, error) {
	metricProposals.Inc()
	if !r.isKnownLeader() {
		return nil, r.notLeaderError()
	}
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, rescode.New(rescode.InvalidCommand, "the command cannot be encoded: %v", err)
	}
	started := time.Now()
	p := &proposal{data: data, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, unavailableError("no answer in time")
	case <-r.stopped:
		return nil, unavailableError("the control process is stopping")
	}
	result, err := r.awaitOutcome(ctx, p.done)
	metricCommitSeconds.Update(time.Since(started).Seconds())
	return result, err
}

func (r *Replica) awaitOutcome(ctx context.Context, done <-chan outcome) (*controlpb.CommandResult, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, unavailableError("no answer in time")
	case <-r.stopped:
	}
	// The outcome may have arrived together with the stop.
	select {
	case o := <-done:
		return o.result, o.err
	default:
		return nil, unavailableError("the control process is stopping")
	}
}

// appendProposal appends a proposal to the log.
func (r *Replica) appendProposal(p *proposal) {
	if refusal := r.roomRefusal(p); refusal != nil {
		p.done <- outcome{err: refusal}
		return
	}
	index, err := r.node.Propose(r.now(), p.data)
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		p.done <- outcome{err: r.notLeaderError()}
	case err != nil:
		p.done <- outcome{err: unavailableError("%v", err)}
	default:
		p.term = r.node.Term()
		r.pendingProposals[index] = p
		r.pendingBytes += len(p.data)
	}
}

// roomRefusal returns why the disk has no room for a proposal to a leader, or nil.
func (r *Replica) roomRefusal(p *proposal) error {
	if r.node.Role() != consensus.Leader {
		return nil
	}
	if r.fullDisk.isFull {
		return unavailableError("the disk of the leader is full")
	}
	limit := int(r.config.DiskBytes / pendingDiskDivisor)
	if len(r.pendingProposals) > 0 && r.pendingBytes+len(p.data) > limit {
		return unavailableError("proposals of %d bytes are not yet applied", r.pendingBytes)
	}
	return nil
}

// applyEntries applies committed entries to the state.
func (r *Replica) applyEntries(entries []consensus.Entry) {
	for _, e := range entries {
		var result *controlpb.CommandResult
		switch e.Kind {
		case consensus.EntryCommand:
			result = r.applyCommand(e)
		case consensus.EntryEmpty:
			r.gainLeadership(e.Term)
		}
		r.applied = e.Index
		metricApplied.Inc()
		r.completeProposal(e, result)
	}
}

func (r *Replica) applyCommand(e consensus.Entry) *controlpb.CommandResult {
	c := &controlpb.Command{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		// Every member gets the same result, so the states stay equal.
		r.log.WithError(err).Errorf("log entry %d holds no valid command", e.Index)
		return &controlpb.CommandResult{Code: uint32(rescode.InvalidCommand), Message: "the command cannot be decoded"}
	}
	return r.applier.Apply(uint64(e.Index), c)
}

// completeProposal sends the result of an entry to its proposer.
func (r *Replica) completeProposal(e consensus.Entry, result *controlpb.CommandResult) {
	p := r.pendingProposals[e.Index]
	if p == nil {
		return
	}
	delete(r.pendingProposals, e.Index)
	r.pendingBytes -= len(p.data)
	if p.term != e.Term {
		p.done <- outcome{err: unavailableError("the leader changed")}
		return
	}
	p.done <- outcome{result: result}
}

// failPending fails all pending proposals and membership changes. They may still be
// applied.
func (r *Replica) failPending(reason string) {
	for index, p := range r.pendingProposals {
		p.done <- outcome{err: unavailableError("%s", reason)}
		delete(r.pendingProposals, index)
	}
	r.pendingBytes = 0
	for _, c := range r.pendingChanges {
		c.done <- outcome{err: unavailableError("%s", reason)}
	}
	r.pendingChanges = nil
}

// gainLeadership is called when the first entry of a term is applied. By then
// everything that earlier leaders committed has been applied.
func (r *Replica) gainLeadership(term consensus.Term) {
	if r.node.Role() != consensus.Leader || r.node.Term() != term || r.leadingTerm == term {
		return
	}
	r.leadingTerm = term
	metricLeadershipWon.Inc()
	r.log.WithField("term", term).Info("became leader of the control VMs")
	r.applier.LeadershipChanged(true, uint64(term))
}

func (r *Replica) loseLeadership() {
	if r.leadingTerm == 0 {
		return
	}
	term := r.leadingTerm
	r.leadingTerm = 0
	metricLeadershipLost.Inc()
	r.log.WithField("term", term).Warn("lost leadership of the control VMs")
	r.applier.LeadershipChanged(false, uint64(term))
}
