package coordinator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/replica"
	"github.com/jayloom/jayloom/policy/voters"
)

// changeTimeout limits one membership change.
const changeTimeout = 2 * time.Second

// membership is the state of the repair of the voter set. One change is made at a time.
type membership struct {
	inProgress bool
	repair     *voters.Repair
}

// membershipChangeDone reports the end of an attempt to change the membership.
type membershipChangeDone struct{ confirmed bool }

func (l *Leader) newMembership() membership {
	return membership{repair: &voters.Repair{
		Self: l.replica().Status().Identity, Wanted: l.config.Voters, InactiveAfter: replica.MemberInactiveAfter,
	}}
}

// continueRepair starts the next change right after a confirmed one: further disks may be lost
// at any time. After a failure the next tick tries again.
func (l *Leader) continueRepair(ctx context.Context, e membershipChangeDone) {
	if l.leading && e.confirmed {
		l.stepMembership(ctx, clock.Now())
	}
}

// stepMembership starts the next membership change, if one is due.
func (l *Leader) stepMembership(ctx context.Context, now time.Duration) {
	if l.membership.inProgress {
		return
	}
	members := l.replica().Status().Members
	change := l.membership.repair.Next(now, members, l.spares())
	if change == nil {
		return
	}
	l.membership.inProgress = true
	metricMembershipChanges.Inc()
	go l.changeMembership(ctx, change, members)
}

func (l *Leader) changeMembership(
	ctx context.Context, change *controlpb.ChangeMembershipRequest, members []*controlpb.VoterStatus,
) {
	done := membershipChangeDone{}
	defer func() { l.post(ctx, done) }()
	callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := l.replica().ChangeMembership(callCtx, change)
	fields := logrus.Fields{
		"event": "membership_change", "kind": change.Kind.String(), "member": change.Identity, "address": change.Address,
		"members_before": describeMembers(members),
	}
	if err != nil {
		l.log.WithFields(fields).WithError(err).Warn("membership change was not confirmed; will retry if still needed")
		return
	}
	done.confirmed = result.Code == uint32(rescode.OK)
	l.log.WithFields(fields).WithField("code", result.Code).Info(result.Message)
}

// spares returns all connected nodes with a data folder, members included, sorted by address.
func (l *Leader) spares() []voters.Spare {
	var out []voters.Spare
	for s := range l.streams {
		if s.voterIdentity != "" {
			out = append(out, voters.Spare{Identity: s.voterIdentity, Address: s.voterAddress})
		}
	}
	slices.SortFunc(out, func(a, b voters.Spare) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return out
}

// describeMembers returns the members for the log, each with its role, and whether it is silent.
func describeMembers(members []*controlpb.VoterStatus) []string {
	var out []string
	for _, m := range members {
		role, silent := "voter", ""
		if m.Learner {
			role = "learner"
		}
		if !m.Active {
			silent = ", silent"
		}
		out = append(out, fmt.Sprintf("%s at %s (%s%s)", m.Identity, m.Address, role, silent))
	}
	return out
}
