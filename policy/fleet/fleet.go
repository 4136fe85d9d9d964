// Package fleet implements the replicated control state: teams, keys, services, routes,
// groups, upstreams and proxies. Every control VM applies the same commands in the
// same order, and every proxy applies the same changes, so Apply must not depend
// on time, randomness or map order.
package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// maxResults bounds the results kept for resent commands.
	maxResults = 4096
	// maxEvents bounds the history of state changes that explain returns.
	maxEvents = 2048
	// maxLimit bounds rate and burst so that token counts stay exact in a float64.
	maxLimit = 1e12
)

// State is the control state. It is not safe for concurrent use; Clone returns an
// independent copy.
type State struct {
	pb *controlpb.FleetState
	// results indexes pb.Results by request identity.
	results map[string]*controlpb.CommandResult
}

// New returns the empty state.
func New() *State {
	return FromProto(&controlpb.FleetState{})
}

// FromProto returns a state that takes ownership of pb.
func FromProto(pb *controlpb.FleetState) *State {
	initMaps(pb)
	s := &State{pb: pb, results: make(map[string]*controlpb.CommandResult, len(pb.Results))}
	for _, r := range pb.Results {
		s.results[r.RequestId] = r
	}
	return s
}

func initMaps(pb *controlpb.FleetState) {
	if pb.Teams == nil {
		pb.Teams = map[string]*controlpb.Team{}
	}
	if pb.Services == nil {
		pb.Services = map[string]*controlpb.Service{}
	}
	if pb.Routes == nil {
		pb.Routes = map[string]*controlpb.Route{}
	}
	if pb.Groups == nil {
		pb.Groups = map[string]*controlpb.Group{}
	}
	if pb.Upstreams == nil {
		pb.Upstreams = map[string]*controlpb.Upstream{}
	}
	if pb.Proxies == nil {
		pb.Proxies = map[string]*controlpb.ProxyMember{}
	}
}

// Proto returns the state itself; the caller must not change it.
func (s *State) Proto() *controlpb.FleetState {
	return s.pb
}

// Clone returns an independent copy.
func (s *State) Clone() *State {
	return FromProto(proto.Clone(s.pb).(*controlpb.FleetState))
}

// Revision counts the applied changes.
func (s *State) Revision() uint64 {
	return s.pb.Revision
}

// Apply applies the command of a log index and returns its result. A refused
// command changes only the stored results; a resent one returns its first result.
func (s *State) Apply(index uint64, c *controlpb.Command) *controlpb.CommandResult {
	s.pb.AppliedIndex = index
	if first, ok := s.results[c.RequestId]; ok && c.RequestId != "" {
		return first
	}
	result := s.apply(c)
	s.storeResult(result)
	return result
}

func (s *State) apply(c *controlpb.Command) *controlpb.CommandResult {
	if c.ExpectedRevision != 0 && c.ExpectedRevision != s.pb.Revision {
		err := rescode.New(rescode.RevisionConflict,
			"the revision is %d, the command expects %d", s.pb.Revision, c.ExpectedRevision)
		return s.refusalResult(c, err)
	}
	text, subject, err := s.applyCommand(c)
	if err != nil {
		return s.refusalResult(c, err)
	}
	if text == "" {
		// The state already is as the command asks.
		return &controlpb.CommandResult{RequestId: c.RequestId, Revision: s.pb.Revision}
	}
	s.pb.Revision++
	s.recordEvent(c, subject, text)
	return &controlpb.CommandResult{RequestId: c.RequestId, Revision: s.pb.Revision}
}

func (s *State) refusalResult(c *controlpb.Command, err *rescode.Error) *controlpb.CommandResult {
	return &controlpb.CommandResult{
		RequestId: c.RequestId,
		Revision:  s.pb.Revision,
		Code:      uint32(err.Code),
		Message:   err.Detail,
	}
}

func (s *State) storeResult(result *controlpb.CommandResult) {
	if result.RequestId == "" {
		return
	}
	s.pb.Results = append(s.pb.Results, result)
	s.results[result.RequestId] = result
	if len(s.pb.Results) > maxResults {
		delete(s.results, s.pb.Results[0].RequestId)
		s.pb.Results = slices.Delete(s.pb.Results, 0, 1)
	}
}

func (s *State) recordEvent(c *controlpb.Command, subject, text string) {
	s.pb.Events = append(s.pb.Events, &controlpb.Event{
		Revision: s.pb.Revision,
		UnixMs:   c.UnixMs,
		Actor:    c.Actor,
		Subject:  subject,
		Text:     text,
	})
	if len(s.pb.Events) > maxEvents {
		s.pb.Events = slices.Delete(s.pb.Events, 0, 1)
	}
}

// CopyForProxies returns a copy without the fields that proxies do not need.
func (s *State) CopyForProxies() *controlpb.FleetState {
	return &controlpb.FleetState{
		Revision:     s.pb.Revision,
		AppliedIndex: s.pb.AppliedIndex,
		Teams:        cloneMap(s.pb.Teams),
		Services:     cloneMap(s.pb.Services),
		Routes:       cloneMap(s.pb.Routes),
		Groups:       cloneMap(s.pb.Groups),
		Upstreams:    cloneMap(s.pb.Upstreams),
		Proxies:      cloneMap(s.pb.Proxies),
		TokenKey:     slices.Clone(s.pb.TokenKey),
	}
}

// CopyForOperators returns a copy without secrets. A team's salt stays: it is sent to
// every client that starts to authenticate, and jayloomctl derives verifiers with it.
func (s *State) CopyForOperators() *controlpb.FleetState {
	redacted := s.CopyForProxies()
	redacted.TokenKey = nil
	for _, team := range redacted.Teams {
		for _, key := range team.Keys {
			key.StoredKey = nil
			key.ServerKey = nil
		}
	}
	return redacted
}

func cloneMap[M proto.Message](m map[string]M) map[string]M {
	copied := make(map[string]M, len(m))
	for name, value := range m {
		copied[name] = proto.Clone(value).(M)
	}
	return copied
}

// ApplyChange applies a change that the control leader has applied before. It returns
// false when the change does not follow the state's revision or fails; the caller then
// needs a full copy.
func (s *State) ApplyChange(change *controlpb.Change) bool {
	if change.GetCommand() == nil || change.Revision != s.pb.Revision+1 {
		return false
	}
	command := proto.Clone(change.Command).(*controlpb.Command)
	// The leader has checked the expected revision, and a proxy keeps no results.
	command.ExpectedRevision = 0
	result := s.apply(command)
	return result.Code == 0 && result.Revision == change.Revision
}
