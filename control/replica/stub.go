// Package replica orders commands; this file only declares its interface.
package replica

import (
	"context"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// Replicator orders commands.
type Replicator interface {
	Propose(ctx context.Context, c *controlpb.Command) (*controlpb.CommandResult, error)
	Status() Status
	LeaseValid(now time.Duration) bool
	ChangeMembership(ctx context.Context, r *controlpb.ChangeMembershipRequest) (*controlpb.CommandResult, error)
}

// Status is what a replica knows of the cluster.
type Status struct {
	LeaderIdentity, LeaderAddress, Identity string
	Term                                    uint64
	Members                                 []Member
}

// Member is a voter or learner.
type Member struct {
	Identity, Address string
	Learner, Active   bool
	MatchIndex        uint64
}
