package replica

import (
	"context"
	"sync"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// Fake is a Replicator with a single voter in memory, for tests. It applies commands in
// the caller's goroutine, one at a time.
type Fake struct {
	mu         sync.Mutex
	applier    Applier
	status     Status
	leaseValid bool
}

var _ Replicator = (*Fake)(nil)

// NewFake returns a Fake that leads and holds the leader lease.
func NewFake(a Applier) *Fake {
	f := &Fake{applier: a, status: Status{Identity: "fake", Address: "fake", HasMembership: true}}
	f.SetLeading(true)
	return f
}

// SetLeading makes the fake gain or lose leadership and the leader lease.
func (f *Fake) SetLeading(leading bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if leading == f.status.Leading {
		return
	}
	f.status.Leading, f.leaseValid = leading, leading
	f.status.LeaderIdentity, f.status.LeaderAddress = "", ""
	if leading {
		f.status.Term++
		f.status.LeaderIdentity, f.status.LeaderAddress = f.status.Identity, f.status.Address
	}
	f.applier.LeadershipChanged(leading, f.status.Term)
}

// SetLease makes the leader lease valid or expired without a change of leadership.
func (f *Fake) SetLease(valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaseValid = valid
}

// Propose implements Replicator.
func (f *Fake) Propose(_ context.Context, c *controlpb.Command) (*controlpb.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Leading {
		return nil, rescode.New(rescode.NotLeader, "the fake does not lead")
	}
	f.status.Applied++
	f.status.Committed = f.status.Applied
	return f.applier.Apply(f.status.Applied, c), nil
}

// Status implements Replicator.
func (f *Fake) Status() *Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Members = []*controlpb.VoterStatus{{
		Identity: s.Identity, Address: s.Address, MatchIndex: s.Applied, Active: true,
	}}
	return &s
}

// LeaseValid implements Replicator.
func (f *Fake) LeaseValid(time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseValid
}

// ChangeMembership implements Replicator. The membership of a Fake is fixed.
func (f *Fake) ChangeMembership(context.Context, *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error) {
	return &controlpb.CommandResult{
		Code: uint32(rescode.InvalidCommand), Message: "the fake has a fixed membership",
	}, nil
}
