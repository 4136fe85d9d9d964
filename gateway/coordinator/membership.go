package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// memberLostAfter is the time of inactivity after which a member counts as lost and may
	// be replaced.
	memberLostAfter = 3 * time.Second
	// changeTimeout limits one membership change.
	changeTimeout = 2 * time.Second
)

// membership is the state of the repair of the voter set. One change is made at a time.
type membership struct {
	inProgress bool
	// silentSince is when each inactive member was first observed to be inactive.
	silentSince map[string]time.Duration
}

// membershipChangeDone reports the end of an attempt to change the membership.
type membershipChangeDone struct{}

// spare is a connected node with a data folder.
type spare struct {
	identity, address string
}

// stepMembership starts the next membership change, if one is due.
func (l *Leader) stepMembership(ctx context.Context, now time.Duration) {
	if l.membership.inProgress {
		return
	}
	members := l.replica().Status().Members
	l.membership.updateSilence(now, members)
	change := nextMembershipChange(members, l.spares(), l.membership.lostMembers(now), l.config.Voters, l.replica().Status().Identity)
	if change == nil {
		return
	}
	l.membership.inProgress = true
	metricMembershipChanges.Inc()
	go l.changeMembership(ctx, change)
}

func (l *Leader) changeMembership(ctx context.Context, change *controlpb.ChangeMembershipRequest) {
	defer l.post(ctx, membershipChangeDone{})
	callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := l.replica().ChangeMembership(callCtx, change)
	fields := logrus.Fields{
		"event": "membership_change", "kind": change.Kind.String(), "member": change.Identity, "address": change.Address,
	}
	if err != nil {
		l.log.WithFields(fields).WithError(err).Warn("membership change was not confirmed; will retry if still needed")
		return
	}
	l.log.WithFields(fields).WithField("code", result.Code).Info(result.Message)
}

// spares returns all connected nodes with a data folder, members included, sorted by address.
func (l *Leader) spares() []spare {
	var out []spare
	for s := range l.streams {
		if s.voterIdentity != "" {
			out = append(out, spare{s.voterIdentity, s.voterAddress})
		}
	}
	slices.SortFunc(out, func(a, b spare) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return out
}

// updateSilence updates silentSince from the activity of the members.
func (m *membership) updateSilence(now time.Duration, members []*controlpb.VoterStatus) {
	silent := map[string]time.Duration{}
	for _, member := range members {
		if member.Active {
			continue
		}
		since, ok := m.silentSince[member.Identity]
		if !ok {
			since = now
		}
		silent[member.Identity] = since
	}
	m.silentSince = silent
}

// lostMembers returns the members that have been inactive for long enough to be replaced.
func (m *membership) lostMembers(now time.Duration) map[string]bool {
	lost := map[string]bool{}
	for id, since := range m.silentSince {
		lost[id] = now-since >= memberLostAfter
	}
	return lost
}

// nextMembershipChange returns the membership change to make, or nil if there is none. The
// first rule that applies decides:
//
//  1. An inactive member at whose address a node with another identity is connected has lost
//     its disk and is removed.
//  2. A spare that is not a member is added as a learner, so that it receives the state.
//  3. A lost voter is removed if a learner is ready to replace it; a lost learner is removed
//     at once.
//  4. A ready learner is promoted to voter while there are fewer voters than wanted.
//
// The leader itself is never removed.
func nextMembershipChange(
	members []*controlpb.VoterStatus, spares []spare, lost map[string]bool, wanted int, self string,
) *controlpb.ChangeMembershipRequest {
	if len(members) == 0 {
		return nil
	}
	if id := memberWithLostDisk(members, spares); id != "" && id != self {
		return removalRequest(id)
	}
	if s := unknownSpare(members, spares); s != nil {
		return &controlpb.ChangeMembershipRequest{
			Kind: controlpb.ChangeMembershipRequest_KIND_ADD_LEARNER, Identity: s.identity, Address: s.address,
		}
	}
	voters, ready := 0, ""
	for _, m := range members {
		if !m.Learner {
			voters++
		} else if m.Active && m.MatchIndex > 0 && ready == "" {
			ready = m.Identity
		}
	}
	for _, m := range members {
		if lost[m.Identity] && m.Identity != self && (m.Learner || ready != "") {
			return removalRequest(m.Identity)
		}
	}
	if ready != "" && voters < wanted {
		return &controlpb.ChangeMembershipRequest{
			Kind: controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER, Identity: ready,
		}
	}
	return nil
}

func removalRequest(id string) *controlpb.ChangeMembershipRequest {
	return &controlpb.ChangeMembershipRequest{Kind: controlpb.ChangeMembershipRequest_KIND_REMOVE, Identity: id}
}

// memberWithLostDisk returns the identity of an inactive member at whose address a node with
// another identity is connected, or nothing.
func memberWithLostDisk(members []*controlpb.VoterStatus, spares []spare) string {
	for _, m := range members {
		for _, s := range spares {
			if s.address == m.Address && s.identity != m.Identity && !m.Active {
				return m.Identity
			}
		}
	}
	return ""
}

// unknownSpare returns a spare that is not a member, or nil.
func unknownSpare(members []*controlpb.VoterStatus, spares []spare) *spare {
	for i, s := range spares {
		known := slices.ContainsFunc(members, func(m *controlpb.VoterStatus) bool {
			return m.Identity == s.identity || m.Address == s.address
		})
		if !known {
			return &spares[i]
		}
	}
	return nil
}
