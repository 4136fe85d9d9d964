package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// applyGroupCommand applies the commands about upstreams and their groups.
func (s *State) applyGroupCommand(c *controlpb.Command) (text, subject string, err *rescode.Error) {
	switch body := c.Change.(type) {
	case *controlpb.Command_AnnounceUpstream:
		return s.announceUpstream(body.AnnounceUpstream)
	case *controlpb.Command_RemoveUpstream:
		return s.removeUpstream(body.RemoveUpstream)
	case *controlpb.Command_AdoptPrimary:
		return s.adoptPrimary(body.AdoptPrimary)
	case *controlpb.Command_FenceGroup:
		return s.fenceGroup(body.FenceGroup)
	case *controlpb.Command_BeginPromotion:
		return s.beginPromotion(body.BeginPromotion)
	case *controlpb.Command_CompletePromotion:
		return s.completePromotion(body.CompletePromotion)
	case *controlpb.Command_ReadmitUpstream:
		return s.readmitUpstream(body.ReadmitUpstream)
	default:
		return "", "", rescode.New(rescode.InvalidCommand, "the command has no known change")
	}
}

func (s *State) announceUpstream(c *controlpb.AnnounceUpstream) (string, string, *rescode.Error) {
	u := c.Upstream
	if u == nil || u.Address == "" || u.Group == "" || c.Service == "" {
		return "", "", rescode.New(rescode.InvalidCommand, "an upstream needs service, group and address")
	}
	if group, ok := s.pb.Groups[u.Group]; ok && group.Service != c.Service {
		return "", "", rescode.New(rescode.InvalidCommand,
			"group %q belongs to service %q", u.Group, group.Service)
	}
	if current, ok := s.pb.Upstreams[u.Address]; ok {
		if err := checkAnnouncement(current, u); err != nil {
			return "", "", err
		}
		if proto.Equal(current, u) {
			return "", u.Address, nil
		}
	}
	if _, ok := s.pb.Groups[u.Group]; !ok {
		s.pb.Groups[u.Group] = &controlpb.Group{Name: u.Group, Service: c.Service}
	}
	s.pb.Upstreams[u.Address] = proto.Clone(u).(*controlpb.Upstream)
	return fmt.Sprintf("upstream of group %s is %s", u.Group, stateName(u.State)), u.Address, nil
}

// checkAnnouncement refuses changes that an announcement must not make. An upstream
// stays marked as diverged until the leader's probes see it replicate again.
func checkAnnouncement(current, announced *controlpb.Upstream) *rescode.Error {
	if current.Group != announced.Group {
		return rescode.New(rescode.InvalidCommand,
			"upstream %q belongs to group %q; remove it first", current.Address, current.Group)
	}
	if current.State == controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		return rescode.New(rescode.InvalidCommand, "upstream %q has diverged", current.Address)
	}
	return nil
}

func (s *State) readmitUpstream(c *controlpb.ReadmitUpstream) (string, string, *rescode.Error) {
	u, ok := s.pb.Upstreams[c.Address]
	if !ok {
		return "", "", unknownObject("upstream", c.Address)
	}
	group, ok := s.pb.Groups[u.Group]
	if !ok {
		return "", "", unknownObject("group", u.Group)
	}
	if group.Term != c.Term || group.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		return "", "", termMismatchError(group)
	}
	if u.State != controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		return "", "", rescode.New(rescode.InvalidCommand, "upstream %q has not diverged", c.Address)
	}
	u.State = controlpb.UpstreamState_UPSTREAM_STATE_JOINING
	return "upstream replicates again and is joining", c.Address, nil
}

func stateName(state controlpb.UpstreamState) string {
	switch state {
	case controlpb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return "leaving"
	case controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED:
		return "diverged"
	default:
		return "joining"
	}
}

func (s *State) removeUpstream(c *controlpb.RemoveUpstream) (string, string, *rescode.Error) {
	u, ok := s.pb.Upstreams[c.Address]
	if !ok {
		return "", "", unknownObject("upstream", c.Address)
	}
	if s.pb.Groups[u.Group].GetPrimary() == c.Address {
		return "", "", rescode.New(rescode.InvalidCommand, "the upstream is the primary of %q", u.Group)
	}
	if s.pb.Groups[u.Group].GetCandidate() == c.Address {
		return "", "", rescode.New(rescode.InvalidCommand, "the upstream is being promoted in %q", u.Group)
	}
	delete(s.pb.Upstreams, c.Address)
	return "upstream removed", c.Address, nil
}

func (s *State) adoptPrimary(c *controlpb.AdoptPrimary) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknownObject("group", c.Group)
	}
	if group.Primary != "" {
		return "", "", rescode.New(rescode.AlreadyExists, "group %q has a primary", c.Group)
	}
	if err := s.checkPromotable(c.Group, c.Address); err != nil {
		return "", "", err
	}
	group.Term = 1
	group.Primary = c.Address
	group.History = []*controlpb.TermStart{{Term: 1, StartLsn: c.StartLsn, Timeline: c.Timeline}}
	return "primary " + c.Address + " adopted in term 1", c.Group, nil
}

func (s *State) fenceGroup(c *controlpb.FenceGroup) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknownObject("group", c.Group)
	}
	if group.Term != c.Term || group.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		return "", "", termMismatchError(group)
	}
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
	group.Switchover = c.Switchover
	return fmt.Sprintf("term %d fenced: %s", c.Term, c.Reason), c.Group, nil
}

func (s *State) beginPromotion(c *controlpb.BeginPromotion) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknownObject("group", c.Group)
	}
	fenced := group.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	if !fenced || c.Term <= group.Term || c.Term <= group.CandidateTerm {
		return "", "", termMismatchError(group)
	}
	if err := s.checkPromotable(c.Group, c.Candidate); err != nil {
		return "", "", err
	}
	s.markCandidateDiverged(group, c.Candidate)
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_PROMOTING
	group.Candidate = c.Candidate
	group.CandidateTerm = c.Term
	group.CandidateLsn = c.CandidateLsn
	// A switchover that has become a failover stays a failover.
	group.Switchover = group.Switchover && c.Switchover
	return fmt.Sprintf("%s of %s to term %d begun", promotionKind(group), c.Candidate, c.Term), c.Group, nil
}

// promotionKind returns the name of the promotion that is shown to operators.
func promotionKind(group *controlpb.Group) string {
	switch {
	case group.Candidate == group.Primary:
		return "confirmation"
	case group.Switchover:
		return "switchover"
	default:
		return "promotion"
	}
}

// checkPromotable refuses upstreams of other groups and diverged ones.
func (s *State) checkPromotable(group, address string) *rescode.Error {
	u, ok := s.pb.Upstreams[address]
	if !ok || u.Group != group {
		return unknownObject("upstream", address)
	}
	if u.State == controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED {
		return rescode.New(rescode.InvalidCommand, "upstream %q has diverged", address)
	}
	return nil
}

// markCandidateDiverged marks an abandoned candidate as diverged, because it may leave
// recovery at any time. The fenced primary is no replica and may still be confirmed.
func (s *State) markCandidateDiverged(group *controlpb.Group, next string) {
	if group.Candidate == next || group.Candidate == group.Primary {
		return
	}
	if u, ok := s.pb.Upstreams[group.Candidate]; ok {
		u.State = controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED
	}
}

func (s *State) completePromotion(c *controlpb.CompletePromotion) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknownObject("group", c.Group)
	}
	promoting := group.Phase == controlpb.GroupPhase_GROUP_PHASE_PROMOTING
	if !promoting || group.CandidateTerm != c.Term || group.Candidate != c.Primary {
		return "", "", termMismatchError(group)
	}
	if replaced, ok := s.pb.Upstreams[group.Primary]; ok && group.Primary != c.Primary {
		replaced.State = controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED
	}
	if n := len(group.History); n > 0 && c.StartLsn < group.History[n-1].StartLsn {
		s.markOthersDiverged(group, c.Primary)
	}
	group.Term = c.Term
	group.Primary = c.Primary
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	group.Candidate = ""
	group.CandidateTerm = 0
	group.CandidateLsn = 0
	group.Switchover = false
	start := &controlpb.TermStart{Term: c.Term, StartLsn: c.StartLsn, Timeline: c.Timeline}
	group.History = append(group.History, start)
	return fmt.Sprintf("%s is primary in term %d", c.Primary, c.Term), c.Group, nil
}

// markOthersDiverged marks the other upstreams of a group whose new primary missed the
// last term: they may hold log of that term, under the new term's timeline number.
func (s *State) markOthersDiverged(group *controlpb.Group, primary string) {
	for _, u := range s.pb.Upstreams {
		if u.Group == group.Name && u.Address != primary {
			u.State = controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED
		}
	}
}

func termMismatchError(g *controlpb.Group) *rescode.Error {
	return rescode.New(rescode.TermMismatch, "group %q is in term %d, phase %s", g.Name, g.Term, g.Phase)
}
