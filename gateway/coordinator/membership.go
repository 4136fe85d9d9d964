package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/api/controlpb"
)

const (
	// memberLostAfter is the silence after which a voter may be replaced by a spare.
	memberLostAfter = 3 * time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
)

// membership repairs the set of voters. One change is made at a time.
type membership struct {
	changing bool
	// silentSince is when each member was first seen inactive.
	silentSince map[string]time.Duration
}

type membershipChanged struct{}

// spare is an attending node with a data folder.
type spare struct {
	identity, address string
}

// stepMembership starts the next membership change, if one is due.
func (l *Leader) stepMembership(ctx context.Context, now time.Duration) {
	if l.members.changing {
		return
	}
	members := l.replica().Status().Members
	l.members.observe(now, members)
	change := nextChange(members, l.spares(), l.members.lost(now), l.config.Voters, l.replica().Status().Identity)
	if change == nil {
		return
	}
	l.members.changing = true
	metricMembershipChanges.Inc()
	go l.changeMembership(ctx, change)
}

func (l *Leader) changeMembership(ctx context.Context, change *controlpb.ChangeMembershipRequest) {
	defer l.post(ctx, membershipChanged{})
	callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := l.replica().ChangeMembership(callCtx, change)
	fields := logrus.Fields{
		"event": "membership_change", "kind": change.Kind.String(), "member": change.Identity, "address": change.Address,
	}
	if err != nil {
		l.log.WithFields(fields).WithError(err).Warn("membership change was not confirmed; tried again if still due")
		return
	}
	l.log.WithFields(fields).WithField("code", result.Code).Info(result.Message)
}

func (l *Leader) spares() []spare {
	var out []spare
	for a := range l.attended {
		if a.voterIdentity != "" {
			out = append(out, spare{a.voterIdentity, a.voterAddress})
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

func (m *membership) observe(now time.Duration, members []*controlpb.VoterStatus) {
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

// lost returns the members that have been silent for long enough to be replaced.
func (m *membership) lost(now time.Duration) map[string]bool {
	lost := map[string]bool{}
	for id, since := range m.silentSince {
		lost[id] = now-since >= memberLostAfter
	}
	return lost
}

// nextChange decides on one membership change, or none:
//
//  1. A member whose address now has another identity has lost its disk: it is removed.
//  2. A spare that is no member becomes a learner, so that it holds the state.
//  3. A lost voter is removed when a learner stands by, or a lost learner at once.
//  4. A learner becomes a voter while there are fewer voters than wanted.
func nextChange(
	members []*controlpb.VoterStatus, spares []spare, lost map[string]bool, wanted int, self string,
) *controlpb.ChangeMembershipRequest {
	if len(members) == 0 {
		return nil
	}
	if id := reincarnated(members, spares); id != "" && id != self {
		return removal(id)
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
			return removal(m.Identity)
		}
	}
	if ready != "" && voters < wanted {
		return &controlpb.ChangeMembershipRequest{
			Kind: controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER, Identity: ready,
		}
	}
	return nil
}

func removal(id string) *controlpb.ChangeMembershipRequest {
	return &controlpb.ChangeMembershipRequest{Kind: controlpb.ChangeMembershipRequest_KIND_REMOVE, Identity: id}
}

// reincarnated returns a member at whose address another identity attends.
func reincarnated(members []*controlpb.VoterStatus, spares []spare) string {
	for _, m := range members {
		for _, s := range spares {
			if s.address == m.Address && s.identity != m.Identity && !m.Active {
				return m.Identity
			}
		}
	}
	return ""
}

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
