// Package voters decides how the leader repairs the set of voters.
//
// Each voter is one disk with everything that was confirmed. While voters are replaced, the
// set has at most one voter less or more than wanted: with fewer, too few disks would hold
// what is confirmed, and with more, too many would be needed for a quorum.
package voters

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
)

// learnerLostAfter is the time of inactivity after which a learner is removed. It is added
// again when it returns.
const learnerLostAfter = 3 * time.Second

// Spare is a connected node with a data folder. It may be a member.
type Spare struct {
	Identity, Address string
}

// Repair plans the changes of the membership, one at a time. It is kept for one term of the
// leader.
type Repair struct {
	// Self is the identity of the leader, which is never removed.
	Self string
	// Wanted is the target number of voters, which is odd. There are fewer if there are too
	// few disks.
	Wanted int
	// InactiveAfter is the time without a reply after which a member is reported as inactive.
	InactiveAfter time.Duration
	// silentSince is when each inactive member replied last, at the latest, and learnerSince
	// when each learner was first seen.
	silentSince, learnerSince map[string]time.Duration
	// wasVoter holds the members that were voters under this leader.
	wasVoter map[string]bool
}

// Next returns the membership change to make now, or nil if there is none. The first rule that
// applies decides:
//
//  1. A lost voter is removed at once, unless there are fewer than wanted already. A quorum
//     of the others is as large as before.
//  2. A spare that is not a member is added as a learner, so that it receives the state.
//  3. A ready learner is promoted while fewer voters than wanted are active. There is then
//     one more than wanted if an inactive voter may return with its disk.
//  4. A voter is removed while there are more than wanted, an inactive one before others.
//  5. A lost learner is removed.
//
// Spares are in the order of their addresses.
func (r *Repair) Next(
	now time.Duration, members []*controlpb.VoterStatus, spares []Spare,
) *controlpb.ChangeMembershipRequest {
	r.observe(now, members)
	if len(members) == 0 {
		return nil
	}
	voters, active := countVoters(members)
	ready := readyLearner(members)
	if id := r.lostVoter(members, spares, ready); id != "" && voters >= r.Wanted {
		return removal(id)
	}
	if s := unknownSpare(members, spares); s != nil {
		return addition(*s)
	}
	if ready != "" && active < r.Wanted && voters <= r.Wanted {
		return promotion(ready)
	}
	if id := r.surplusVoter(members); id != "" && voters > r.Wanted {
		return removal(id)
	}
	if id := r.lostLearner(now, members, spares); id != "" {
		return removal(id)
	}
	return nil
}

func removal(id string) *controlpb.ChangeMembershipRequest {
	return &controlpb.ChangeMembershipRequest{Kind: controlpb.ChangeMembershipRequest_KIND_REMOVE, Identity: id}
}

func promotion(id string) *controlpb.ChangeMembershipRequest {
	return &controlpb.ChangeMembershipRequest{Kind: controlpb.ChangeMembershipRequest_KIND_PROMOTE_LEARNER, Identity: id}
}

func addition(s Spare) *controlpb.ChangeMembershipRequest {
	return &controlpb.ChangeMembershipRequest{
		Kind: controlpb.ChangeMembershipRequest_KIND_ADD_LEARNER, Identity: s.Identity, Address: s.Address,
	}
}

// observe updates what is known of the members.
func (r *Repair) observe(now time.Duration, members []*controlpb.VoterStatus) {
	if r.wasVoter == nil {
		r.wasVoter = map[string]bool{}
	}
	for _, m := range members {
		r.wasVoter[m.Identity] = r.wasVoter[m.Identity] || !m.Learner
	}
	r.silentSince = since(now-r.InactiveAfter, members, r.silentSince, func(m *controlpb.VoterStatus) bool { return !m.Active })
	r.learnerSince = since(now, members, r.learnerSince, func(m *controlpb.VoterStatus) bool { return m.Learner })
}

// since returns when a condition of each member was first seen to hold.
func since(
	now time.Duration, members []*controlpb.VoterStatus, before map[string]time.Duration,
	holds func(*controlpb.VoterStatus) bool,
) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, m := range members {
		if !holds(m) {
			continue
		}
		at, ok := before[m.Identity]
		if !ok {
			at = now
		}
		out[m.Identity] = at
	}
	return out
}

// lostVoter returns the identity of a voter that has lost its disk, or nothing: one at whose
// address another identity is connected, else the one that fell silent last before the ready
// learner came, if that is likely the successor of the voter's VM.
func (r *Repair) lostVoter(members []*controlpb.VoterStatus, spares []Spare, ready string) string {
	predecessor := ""
	for _, m := range members {
		if m.Learner || m.Identity == r.Self {
			continue
		}
		if isReplaced(m, spares) {
			return m.Identity
		}
		silentSince, isSilent := r.silentSince[m.Identity]
		if !isSilent || !r.isSuccessor(ready, silentSince) {
			continue
		}
		if predecessor == "" || silentSince > r.silentSince[predecessor] {
			predecessor = m.Identity
		}
	}
	return predecessor
}

// isSuccessor reports whether a learner is likely that of a VM that came in place of one that
// fell silent at a time: it came later and is not a voter that has returned.
func (r *Repair) isSuccessor(learner string, silentSince time.Duration) bool {
	return learner != "" && !r.wasVoter[learner] && r.learnerSince[learner] > silentSince
}

// hasReplied reports whether a member has replied to this leader, and lately.
func hasReplied(m *controlpb.VoterStatus) bool {
	return m.Active && m.MatchIndex > 0
}

// isReplaced reports whether another identity is connected at the address of a member that
// does not reply.
func isReplaced(m *controlpb.VoterStatus, spares []Spare) bool {
	return !hasReplied(m) && slices.ContainsFunc(spares, func(s Spare) bool {
		return s.Address == m.Address && s.Identity != m.Identity
	})
}

// unknownSpare returns a spare that is not a member, or nil. While a member at its address
// replies, the spare's identity may be that of an earlier process.
func unknownSpare(members []*controlpb.VoterStatus, spares []Spare) *Spare {
	for i, s := range spares {
		known := slices.ContainsFunc(members, func(m *controlpb.VoterStatus) bool {
			return m.Identity == s.Identity || m.Address == s.Address && hasReplied(m)
		})
		if !known {
			return &spares[i]
		}
	}
	return nil
}

// countVoters returns the number of voters and how many of them are active.
func countVoters(members []*controlpb.VoterStatus) (voters, active int) {
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.Active {
			active++
		}
	}
	return voters, active
}

// readyLearner returns the identity of an active learner that has received the state, or
// nothing.
func readyLearner(members []*controlpb.VoterStatus) string {
	for _, m := range members {
		if m.Learner && m.Active && m.MatchIndex > 0 {
			return m.Identity
		}
	}
	return ""
}

// surplusVoter returns the voter to remove first, or nothing if only the leader is left: an
// inactive one, else the one that is furthest behind.
func (r *Repair) surplusVoter(members []*controlpb.VoterStatus) string {
	var surplus *controlpb.VoterStatus
	for _, m := range members {
		if m.Learner || m.Identity == r.Self {
			continue
		}
		if surplus == nil || surplus.Active && (!m.Active || m.MatchIndex < surplus.MatchIndex) {
			surplus = m
		}
	}
	return surplus.GetIdentity()
}

// lostLearner returns the identity of a learner that has lost its disk or was inactive for
// long, or nothing.
func (r *Repair) lostLearner(now time.Duration, members []*controlpb.VoterStatus, spares []Spare) string {
	for _, m := range members {
		silentSince, isSilent := r.silentSince[m.Identity]
		isLost := isSilent && now-silentSince >= learnerLostAfter
		if m.Learner && (isLost || isReplaced(m, spares)) {
			return m.Identity
		}
	}
	return ""
}
