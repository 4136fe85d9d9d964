package replica

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/consensus"
)

// MemberInactiveAfter is the time without a reply after which a leader reports a member as
// inactive.
const MemberInactiveAfter = consensus.QuorumTimeout

// Replicator orders and applies commands. It is implemented by *Replica and, for tests,
// by *Fake.
type Replicator interface {
	// Propose returns the result once the command is committed and applied here.
	// Otherwise it returns a *rescode.Error with NotLeader (the command was not
	// accepted) or ControlUnavailable (it may still be applied).
	Propose(ctx context.Context, c *controlpb.Command) (*controlpb.CommandResult, error)
	// Status returns the current status, which must not be modified.
	Status() *Status
	// LeaseValid reports whether this process may act as leader without asking the other
	// members. It is never true once the lease has ended, even if now was read before a
	// pause.
	LeaseValid(now time.Duration) bool
	// ChangeMembership returns once the change is committed, or, for the promotion of a
	// learner, once the new voter has synced the log up to the change. The result holds
	// a refusal.
	ChangeMembership(ctx context.Context, r *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error)
}

// Applier holds the replicated state. One goroutine calls its methods, in log order.
// They must not block and must not wait for a call of the Replicator.
type Applier interface {
	Apply(index uint64, c *controlpb.Command) *controlpb.CommandResult
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// LeadershipChanged is called with leading true only after everything that earlier
	// leaders committed has been applied.
	LeadershipChanged(leading bool, term uint64)
}

// Status is an immutable description of a replica and of its view of the others.
type Status struct {
	// Identity and Address are those of the replica itself.
	Identity string
	Address  string
	// Leading is true between the calls of LeadershipChanged with true and with false.
	Leading bool
	Term    uint64
	// LeaderIdentity and LeaderAddress are empty when no leader is known.
	LeaderIdentity string
	LeaderAddress  string
	// LeaderLastContact is the base/clock time at which a follower last heard from the
	// leader.
	LeaderLastContact time.Duration
	// HasMembership is false until the replica has a membership.
	HasMembership bool
	Committed     uint64
	Applied       uint64
	// Members have a match index and activity on the leader only.
	Members []*controlpb.VoterStatus
}

// VoterSet returns the addresses of all members, each of which is the leader or redirects to it,
// with the committed index that they were known at. It returns nil if there is no membership.
func (s *Status) VoterSet() *controlpb.VoterSet {
	if len(s.Members) == 0 {
		return nil
	}
	out := &controlpb.VoterSet{Index: s.Committed}
	for _, m := range s.Members {
		out.Addresses = append(out.Addresses, m.Address)
	}
	return out
}
