package fleet

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// applyCommand applies the body of a command and returns the text that explain shows for
// it; an empty text means that nothing changed.
func (s *State) applyCommand(c *controlpb.Command) (text, subject string, err *rescode.Error) {
	switch body := c.Change.(type) {
	case *controlpb.Command_InitializeCluster:
		return s.initializeCluster(body.InitializeCluster)
	case *controlpb.Command_PutTeam:
		return s.putTeam(body.PutTeam)
	case *controlpb.Command_RemoveTeam:
		return removeObject(s.pb.Teams, "team", body.RemoveTeam.Name)
	case *controlpb.Command_PutKey:
		return s.putKey(body.PutKey)
	case *controlpb.Command_WithdrawKey:
		return s.withdrawKey(body.WithdrawKey)
	case *controlpb.Command_PutService:
		return s.putService(body.PutService)
	case *controlpb.Command_RemoveService:
		return removeObject(s.pb.Services, "service", body.RemoveService.Name)
	case *controlpb.Command_PutRoute:
		return s.putRoute(body.PutRoute)
	case *controlpb.Command_RemoveRoute:
		return removeObject(s.pb.Routes, "route", body.RemoveRoute.Name)
	case *controlpb.Command_RegisterProxy:
		return s.registerProxy(body.RegisterProxy)
	case *controlpb.Command_RemoveProxy:
		return removeObject(s.pb.Proxies, "proxy", body.RemoveProxy.Name)
	default:
		return s.applyGroupCommand(c)
	}
}

func (s *State) initializeCluster(c *controlpb.InitializeCluster) (string, string, *rescode.Error) {
	if len(s.pb.TokenKey) > 0 {
		return "", "", rescode.New(rescode.AlreadyExists, "the cluster is initialized")
	}
	if len(c.TokenKey) == 0 {
		return "", "", rescode.New(rescode.InvalidCommand, "the token key is empty")
	}
	s.pb.TokenKey = slices.Clone(c.TokenKey)
	return "cluster initialized", "cluster", nil
}

func (s *State) putTeam(t *controlpb.Team) (string, string, *rescode.Error) {
	if t.Name == "" {
		return "", "", rescode.New(rescode.InvalidCommand, "the team has no name")
	}
	if !validLimit(t.Rate) || !validLimit(t.Burst) {
		return "", "", rescode.New(rescode.InvalidCommand, "rate and burst must be numbers from 0 to %g", float64(maxLimit))
	}
	team := proto.Clone(t).(*controlpb.Team)
	team.Keys = map[string]*controlpb.Key{}
	if current, ok := s.pb.Teams[t.Name]; ok {
		// Keys and the salt they were derived with are changed only by their own commands.
		team.Keys = current.Keys
		team.ScramSalt = current.ScramSalt
		team.ScramIterations = current.ScramIterations
	}
	s.pb.Teams[t.Name] = team
	return fmt.Sprintf("team set to rate %g/s, burst %g", t.Rate, t.Burst), t.Name, nil
}

// validLimit also rejects NaN, which compares false with everything.
func validLimit(v float64) bool {
	return v >= 0 && v <= maxLimit
}

func (s *State) putKey(c *controlpb.PutKey) (string, string, *rescode.Error) {
	team, ok := s.pb.Teams[c.Team]
	if !ok {
		return "", "", unknownObject("team", c.Team)
	}
	if c.Key == nil || c.Key.Id == "" || len(c.Key.StoredKey) == 0 || len(c.Key.ServerKey) == 0 {
		return "", "", rescode.New(rescode.InvalidCommand, "the key is incomplete")
	}
	if _, ok := team.Keys[c.Key.Id]; ok {
		return "", "", rescode.New(rescode.AlreadyExists, "team %q has a key %q", c.Team, c.Key.Id)
	}
	if team.Keys == nil {
		team.Keys = map[string]*controlpb.Key{}
	}
	team.Keys[c.Key.Id] = proto.Clone(c.Key).(*controlpb.Key)
	return "key " + c.Key.Id + " given", c.Team, nil
}

func (s *State) withdrawKey(c *controlpb.WithdrawKey) (string, string, *rescode.Error) {
	team, ok := s.pb.Teams[c.Team]
	if !ok {
		return "", "", unknownObject("team", c.Team)
	}
	if _, ok := team.Keys[c.KeyId]; !ok {
		return "", "", unknownObject("key", c.KeyId)
	}
	delete(team.Keys, c.KeyId)
	return "key " + c.KeyId + " withdrawn", c.Team, nil
}

func (s *State) putService(v *controlpb.Service) (string, string, *rescode.Error) {
	if v.Name == "" || len(v.SlotGroups) == 0 {
		return "", "", rescode.New(rescode.InvalidCommand, "a service needs a name and at least one slot")
	}
	for slot, name := range v.SlotGroups {
		group, ok := s.pb.Groups[name]
		if ok && group.Service != v.Name {
			return "", "", rescode.New(rescode.InvalidCommand,
				"slot %d: group %q belongs to service %q", slot, name, group.Service)
		}
	}
	s.pb.Services[v.Name] = proto.Clone(v).(*controlpb.Service)
	return fmt.Sprintf("service set to %d slots", len(v.SlotGroups)), v.Name, nil
}

func (s *State) putRoute(r *controlpb.Route) (string, string, *rescode.Error) {
	if r.Name == "" || r.Service == "" {
		return "", "", rescode.New(rescode.InvalidCommand, "a route needs a name and a service")
	}
	if !r.Read && r.MaxAgeMs > 0 {
		return "", "", rescode.New(rescode.InvalidCommand, "only a read route may allow an age")
	}
	if r.Read && r.Acknowledgement == controlpb.Acknowledgement_ACKNOWLEDGEMENT_REPLICA {
		return "", "", rescode.New(rescode.InvalidCommand, "a read route has no acknowledgement")
	}
	s.pb.Routes[r.Name] = proto.Clone(r).(*controlpb.Route)
	return "route set", r.Name, nil
}

func (s *State) registerProxy(p *controlpb.ProxyMember) (string, string, *rescode.Error) {
	if p.Name == "" {
		return "", "", rescode.New(rescode.InvalidCommand, "the proxy has no name")
	}
	member := proto.Clone(p).(*controlpb.ProxyMember)
	if current, ok := s.pb.Proxies[p.Name]; ok {
		member.Number = current.Number
		if proto.Equal(member, current) {
			return "", p.Name, nil
		}
	} else {
		member.Number = s.freeProxyNumber()
	}
	s.pb.Proxies[p.Name] = member
	return fmt.Sprintf("proxy registered as number %d", member.Number), p.Name, nil
}

// freeProxyNumber returns the lowest number from 1 that no proxy has.
func (s *State) freeProxyNumber() uint32 {
	used := make(map[uint32]bool, len(s.pb.Proxies))
	for _, p := range s.pb.Proxies {
		used[p.Number] = true
	}
	number := uint32(1)
	for used[number] {
		number++
	}
	return number
}

func removeObject[V any](m map[string]V, kind, name string) (string, string, *rescode.Error) {
	if _, ok := m[name]; !ok {
		return "", "", unknownObject(kind, name)
	}
	delete(m, name)
	return kind + " removed", name, nil
}

func unknownObject(kind, name string) *rescode.Error {
	return rescode.New(rescode.UnknownObject, "%s %q does not exist", kind, name)
}
