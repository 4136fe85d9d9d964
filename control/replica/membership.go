package replica

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/consensus"
)

// change is a membership change that an operator waits for.
type change struct {
	consensus.MembershipChange
	ctx context.Context
	// index is that of the change in the log, or of a later one that includes it.
	index consensus.Index
	done  chan outcome
}

// ChangeMembership implements Replicator. A change that is in force already is
// confirmed again, so that it can be resent after a lost answer.
func (r *Replica) ChangeMembership(ctx context.Context, req *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error) {
	if !r.mayLead() {
		return nil, r.notLeader()
	}
	c, refusal := parseChange(req)
	if refusal != nil {
		return refusal, nil
	}
	c.ctx = ctx
	c.done = make(chan outcome, 1)
	select {
	case r.changes <- c:
	case <-ctx.Done():
		return nil, unavailable("no answer in time")
	case <-r.stopped:
		return nil, unavailable("the control process stops")
	}
	return r.await(ctx, c.done)
}

func parseChange(req *controlpb.ChangeMembershipRequest) (*change, *controlpb.CommandResult) {
	c := &change{MembershipChange: consensus.MembershipChange{
		ID: consensus.ID(req.Identity), Address: req.Address,
	}}
	switch req.Kind {
	case controlpb.ChangeMembershipRequest_KIND_ADD_LEARNER:
		c.Kind = consensus.AddLearner
		if req.Address == "" {
			return nil, refused(rescode.InvalidCommand, "a learner needs an address")
		}
	case controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER:
		c.Kind = consensus.PromoteLearner
	case controlpb.ChangeMembershipRequest_KIND_REMOVE:
		c.Kind = consensus.RemoveMember
	default:
		return nil, refused(rescode.InvalidCommand, "unknown kind of membership change")
	}
	if req.Identity == "" {
		return nil, refused(rescode.InvalidCommand, "the identity of the member is missing")
	}
	return c, nil
}

func refused(code rescode.Code, format string, args ...any) *controlpb.CommandResult {
	return &controlpb.CommandResult{Code: uint32(code), Message: fmt.Sprintf(format, args...)}
}

// acceptChange appends a change, or waits for one like it that is in the log.
func (r *Replica) acceptChange(c *change) {
	if r.node.Role() != consensus.Leader {
		c.done <- outcome{err: r.notLeader()}
		return
	}
	if inForce(r.node.Membership(), c.MembershipChange) {
		c.index = r.node.MembershipIndex()
		r.awaited = append(r.awaited, c)
		return
	}
	index, err := r.node.ProposeMembership(clock.Now(), c.MembershipChange)
	if err != nil {
		c.done <- refusal(err)
		return
	}
	r.log.Infof("membership change %d at index %d for member %s", c.Kind, index, c.ID)
	c.index = index
	r.awaited = append(r.awaited, c)
}

// inForce reports whether a membership is as a change would leave it.
func inForce(m consensus.Membership, c consensus.MembershipChange) bool {
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

func refusal(err error) outcome {
	switch {
	case errors.Is(err, consensus.ErrTermUncommitted):
		return outcome{err: unavailable("%v", err)}
	case errors.Is(err, consensus.ErrChangePending):
		return outcome{result: refused(rescode.MembershipChangePending, "%v", err)}
	case errors.Is(err, consensus.ErrUnknownMember):
		return outcome{result: refused(rescode.UnknownObject, "%v", err)}
	case errors.Is(err, consensus.ErrAlreadyMember):
		return outcome{result: refused(rescode.AlreadyExists, "%v under another address", err)}
	default:
		return outcome{result: refused(rescode.InvalidCommand, "%v", err)}
	}
}

// settleChanges answers the changes that are finished.
func (r *Replica) settleChanges() {
	var open []*change
	for _, c := range r.awaited {
		switch {
		case r.finished(c):
			c.done <- outcome{result: &controlpb.CommandResult{Message: r.describe(c)}}
		case c.ctx.Err() == nil:
			open = append(open, c)
		}
	}
	r.awaited = open
}

// finished reports whether a change has taken effect for good. A promotion has when
// the new voter has synced everything up to it: before that, the loss of another
// voter could leave too few complete logs.
func (r *Replica) finished(c *change) bool {
	if c.Kind == consensus.PromoteLearner {
		return r.node.IsVoterSynced(c.ID, c.index)
	}
	return r.node.Status().Committed >= c.index
}

func (r *Replica) describe(c *change) string {
	switch c.Kind {
	case consensus.AddLearner:
		return fmt.Sprintf("member %s is a learner since index %d", c.ID, c.index)
	case consensus.PromoteLearner:
		return fmt.Sprintf("member %s is a voter and holds everything up to index %d", c.ID, c.index)
	default:
		return fmt.Sprintf("member %s is in no membership since index %d", c.ID, c.index)
	}
}
