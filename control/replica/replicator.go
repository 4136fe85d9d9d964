package replica

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Replicator orders commands. Implemented by *Replica and, for tests, by *Fake.
type Replicator interface {
	// Propose returns the result after the command was committed and applied here.
	// Otherwise it returns a *rescode.Error with NotLeader (the command was not
	// accepted) or ControlUnavailable (it may still be applied).
	Propose(ctx context.Context, c *controlpb.Command) (*controlpb.CommandResult, error)
	// Status returns what is known at present. It must not be changed.
	Status() *Status
	// LeaseValid reports whether this process may act alone as leader. It is never
	// true once the lease has ended, even if now was read before a pause.
	LeaseValid(now time.Duration) bool
	// ChangeMembership returns after the change is committed, and a promotion only
	// after the new voter has synced everything up to it. Refusals are in the result.
	ChangeMembership(ctx context.Context, r *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error)
}

// Applier holds the replicated state. Its methods are called by one goroutine, in
// log order. They must not block, and must not wait for a call of the Replicator.
type Applier interface {
	Apply(index uint64, c *controlpb.Command) *controlpb.CommandResult
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// LeadershipChanged with leading true comes after everything that earlier
	// leaders committed was applied.
	LeadershipChanged(leading bool, term uint64)
}

// Status is an immutable copy of what a replica knows.
type Status struct {
	// Identity and Address are the replica's own.
	Identity string
	Address  string
	// Leading is true between the two calls of LeadershipChanged.
	Leading bool
	Term    uint64
	// LeaderIdentity and LeaderAddress are empty when no leader is known.
	LeaderIdentity string
	LeaderAddress  string
	// LeaderLastContact is the time of base/clock at which a follower last heard from
	// the leader.
	LeaderLastContact time.Duration
	// HasMembership is false until the replica has a membership.
	HasMembership bool
	Committed     uint64
	Applied       uint64
	// Members carry match index and activity on the leader only.
	Members []*controlpb.VoterStatus
}
