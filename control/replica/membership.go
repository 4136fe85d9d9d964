package replica

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/consensus"
)

// membershipChange is a requested membership change whose caller waits.
type membershipChange struct {
	consensus.MembershipChange
	ctx context.Context
	// index is the log index of the change, or of a later one that includes it.
	index consensus.Index
	done  chan outcome
}

// ChangeMembership implements Replicator. A change that is already in effect is
// confirmed again, so that it can be resent after a lost answer.
func (r *Replica) ChangeMembership(ctx context.Context, req *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error) {
	if !r.isKnownLeader() {
		return nil, r.notLeaderError()
	}
	c, refusal := parseChange(req)
	if refusal != nil {
		return refusal, nil
	}
	c.ctx = ctx
	c.done = make(chan outcome, 1)
	select {
	case r.membershipChanges <- c:
	case <-ctx.Done():
		return nil, unavailableError("no answer in time")
	case <-r.stopped:
		return nil, unavailableError("the control process is stopping")
	}
	return r.awaitOutcome(ctx, c.done)
}

func parseChange(req *controlpb.ChangeMembershipRequest) (*membershipChange, *controlpb.CommandResult) {
	c := &membershipChange{MembershipChange: consensus.MembershipChange{
		ID: consensus.ID(req.Identity), Address: req.Address,
	}}
	switch req.Kind {
	case controlpb.ChangeMembershipRequest_KIND_ADD_LEARNER:
		c.Kind = consensus.AddLearner
		if req.Address == "" {
			return nil, refusalResult(rescode.InvalidCommand, "a learner needs an address")
		}
	case controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER:
		c.Kind = consensus.PromoteLearner
	case controlpb.ChangeMembershipRequest_KIND_REMOVE:
		c.Kind = consensus.RemoveMember
	default:
		return nil, refusalResult(rescode.InvalidCommand, "unknown kind of membership change")
	}
	if req.Identity == "" {
		return nil, refusalResult(rescode.InvalidCommand, "the identity of the member is missing")
	}
	return c, nil
}

func refusalResult(code rescode.Code, format string, args ...any) *controlpb.CommandResult {
	return &controlpb.CommandResult{Code: uint32(code), Message: fmt.Sprintf(format, args...)}
}

// appendChange appends a change to the log, or waits for an equal one that is already
// there.
func (r *Replica) appendChange(c *membershipChange) {
	if r.node.Role() != consensus.Leader {
		c.done <- outcome{err: r.notLeaderError()}
		return
	}
	if isInEffect(r.node.Membership(), c.MembershipChange) {
		c.index = r.node.MembershipIndex()
		r.pendingChanges = append(r.pendingChanges, c)
		return
	}
	index, err := r.node.ProposeMembership(r.now(), c.MembershipChange)
	if err != nil {
		c.done <- refusalOutcome(err)
		return
	}
	r.log.Infof("membership change %d at index %d for member %s", c.Kind, index, c.ID)
	c.index = index
	r.pendingChanges = append(r.pendingChanges, c)
}

// isInEffect reports whether a membership already includes a change.
func isInEffect(m consensus.Membership, c consensus.MembershipChange) bool {
	member, ok := m.Find(c.ID)
	switch c.Kind {
	case consensus.AddLearner:
		return ok && member.Address == c.Address
	case consensus.PromoteLearner:
		return ok && !member.Learner
	default:
		return !ok
	}
}

func refusalOutcome(err error) outcome {
	switch {
	case errors.Is(err, consensus.ErrTermUncommitted):
		return outcome{err: unavailableError("%v", err)}
	case errors.Is(err, consensus.ErrChangePending):
		return outcome{result: refusalResult(rescode.MembershipChangePending, "%v", err)}
	case errors.Is(err, consensus.ErrUnknownMember):
		return outcome{result: refusalResult(rescode.UnknownObject, "%v", err)}
	case errors.Is(err, consensus.ErrAlreadyMember):
		return outcome{result: refusalResult(rescode.AlreadyExists, "%v under another address", err)}
	default:
		return outcome{result: refusalResult(rescode.InvalidCommand, "%v", err)}
	}
}

// completeChanges sends the outcome of completed changes and forgets those whose caller
// no longer waits.
func (r *Replica) completeChanges() {
	var pending []*membershipChange
	for _, c := range r.pendingChanges {
		switch {
		case r.isComplete(c):
			c.done <- outcome{result: &controlpb.CommandResult{Message: r.describeChange(c)}}
		case c.ctx.Err() == nil:
			pending = append(pending, c)
		}
	}
	r.pendingChanges = pending
}

// isComplete reports whether a change has taken effect for good. The promotion of a
// learner is complete once the new voter has synced the log up to it: before that, the
// loss of another voter could leave too few complete logs.
func (r *Replica) isComplete(c *membershipChange) bool {
	if c.Kind == consensus.PromoteLearner {
		return r.node.IsVoterSynced(c.ID, c.index)
	}
	return r.node.Status().Committed >= c.index
}

func (r *Replica) describeChange(c *membershipChange) string {
	switch c.Kind {
	case consensus.AddLearner:
		return fmt.Sprintf("member %s is a learner since index %d", c.ID, c.index)
	case consensus.PromoteLearner:
		return fmt.Sprintf("member %s is a voter and holds everything up to index %d", c.ID, c.index)
	default:
		return fmt.Sprintf("member %s is not in the membership since index %d", c.ID, c.index)
	}
}
