package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// changeGroup applies the commands about upstreams and their groups.
func (s *State) changeGroup(c *controlpb.Command) (text, subject string, err *rescode.Error) {
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
	if _, ok := s.pb.Groups[u.Group]; !ok {
		s.pb.Groups[u.Group] = &controlpb.Group{Name: u.Group, Service: c.Service}
	}
	s.pb.Upstreams[u.Address] = proto.Clone(u).(*controlpb.Upstream)
	return fmt.Sprintf("upstream of group %s is %s", u.Group, stateName(u.State)), u.Address, nil
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
		return "", "", unknown("upstream", c.Address)
	}
	if s.pb.Groups[u.Group].GetPrimary() == c.Address {
		return "", "", rescode.New(rescode.InvalidCommand, "the upstream is the primary of %q", u.Group)
	}
	delete(s.pb.Upstreams, c.Address)
	return "upstream removed", c.Address, nil
}

func (s *State) adoptPrimary(c *controlpb.AdoptPrimary) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknown("group", c.Group)
	}
	if group.Primary != "" {
		return "", "", rescode.New(rescode.AlreadyExists, "group %q has a primary", c.Group)
	}
	if u, ok := s.pb.Upstreams[c.Address]; !ok || u.Group != c.Group {
		return "", "", unknown("upstream", c.Address)
	}
	group.Term = 1
	group.Primary = c.Address
	group.History = []*controlpb.TermStart{{Term: 1, StartLsn: c.StartLsn, Timeline: c.Timeline}}
	return "primary " + c.Address + " adopted in term 1", c.Group, nil
}

func (s *State) fenceGroup(c *controlpb.FenceGroup) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknown("group", c.Group)
	}
	if group.Term != c.Term || group.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY {
		return "", "", termMismatch(group)
	}
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_FENCED
	return fmt.Sprintf("term %d fenced: %s", c.Term, c.Reason), c.Group, nil
}

func (s *State) beginPromotion(c *controlpb.BeginPromotion) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknown("group", c.Group)
	}
	fenced := group.Phase != controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	if !fenced || c.Term <= group.Term || c.Term <= group.CandidateTerm {
		return "", "", termMismatch(group)
	}
	if u, ok := s.pb.Upstreams[c.Candidate]; !ok || u.Group != c.Group {
		return "", "", unknown("upstream", c.Candidate)
	}
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_PROMOTING
	group.Candidate = c.Candidate
	group.CandidateTerm = c.Term
	return fmt.Sprintf("promotion of %s to term %d begun", c.Candidate, c.Term), c.Group, nil
}

func (s *State) completePromotion(c *controlpb.CompletePromotion) (string, string, *rescode.Error) {
	group, ok := s.pb.Groups[c.Group]
	if !ok {
		return "", "", unknown("group", c.Group)
	}
	promoting := group.Phase == controlpb.GroupPhase_GROUP_PHASE_PROMOTING
	if !promoting || group.CandidateTerm != c.Term || group.Candidate != c.Primary {
		return "", "", termMismatch(group)
	}
	if replaced, ok := s.pb.Upstreams[group.Primary]; ok && group.Primary != c.Primary {
		replaced.State = controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED
	}
	group.Term = c.Term
	group.Primary = c.Primary
	group.Phase = controlpb.GroupPhase_GROUP_PHASE_HEALTHY
	group.Candidate = ""
	group.CandidateTerm = 0
	start := &controlpb.TermStart{Term: c.Term, StartLsn: c.StartLsn, Timeline: c.Timeline}
	group.History = append(group.History, start)
	return fmt.Sprintf("%s is primary in term %d", c.Primary, c.Term), c.Group, nil
}

func termMismatch(g *controlpb.Group) *rescode.Error {
	return rescode.New(rescode.TermMismatch, "group %q is in term %d, phase %s", g.Name, g.Term, g.Phase)
}
