package control

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/metadata"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// scramSaltBytes is the length of a team's salt.
	scramSaltBytes = 16
	// scramIterations is the minimum of RFC 7677. Keys are random, so more iterations
	// would only slow down logins.
	scramIterations = 4096
	// maxExplainEvents bounds the events in one answer of Explain.
	maxExplainEvents = 2048
)

// Propose implements controlpb.ControlServer. A control VM that does not lead
// forwards the command to the leader.
func (s *Server) Propose(ctx context.Context, r *controlpb.ProposeRequest) (*controlpb.ProposeReply, error) {
	credential := bearerCredential(ctx)
	if err := s.authorize(credential, r.Command); err != nil {
		return &controlpb.ProposeReply{Result: errorResult(r.Command, err)}, nil
	}
	if err := s.checkCommand(r.Command); err != nil {
		refusals(rescode.InvalidCommand).Inc()
		s.log.WithError(err).Warn("command refused")
		// The answer does not repeat the request identity, which may be what is too large.
		return &controlpb.ProposeReply{Result: errorResult(nil, err)}, nil
	}
	result, err := s.submit(ctx, credential, prepareCommand(r.Command))
	if err != nil {
		return &controlpb.ProposeReply{Result: errorResult(r.Command, err)}, nil
	}
	return &controlpb.ProposeReply{Result: result}, nil
}

// authorize accepts the operator credential for configuration commands and the
// announcement credential for announcements. Commands about groups and proxies are
// reserved for the leader.
func (s *Server) authorize(credential string, c *controlpb.Command) error {
	switch c.GetChange().(type) {
	case *controlpb.Command_AnnounceUpstream:
		if s.isAnnouncementCredential(credential) {
			return nil
		}
	case *controlpb.Command_InitializeCluster, *controlpb.Command_RegisterProxy, *controlpb.Command_AdoptPrimary,
		*controlpb.Command_FenceGroup, *controlpb.Command_BeginPromotion, *controlpb.Command_CompletePromotion,
		*controlpb.Command_ReadmitUpstream:
		refusals(rescode.InvalidCommand).Inc()
		return rescode.New(rescode.InvalidCommand, "the command is reserved for the control leader")
	}
	return s.authorizeOperator(credential)
}

func (s *Server) authorizeOperator(credential string) error {
	if credentialMatches(s.settings.OperatorCredentialHash, credential) {
		return nil
	}
	refusals(rescode.OperatorCredentialWrong).Inc()
	return rescode.New(rescode.OperatorCredentialWrong, "the call carries no valid operator credential")
}

func (s *Server) isAnnouncementCredential(credential string) bool {
	return credentialMatches(s.settings.AnnouncementCredentialHash, credential)
}

// prepareCommand sets the time of a command and the random salt of a team. They must be
// the same on every voter, so they are chosen before the command enters the log.
func prepareCommand(c *controlpb.Command) *controlpb.Command {
	c.UnixMs = time.Now().UnixMilli()
	if team := c.GetPutTeam(); team != nil {
		team.ScramSalt = make([]byte, scramSaltBytes)
		// crypto/rand.Read never fails.
		_, _ = rand.Read(team.ScramSalt)
		team.ScramIterations = scramIterations
	}
	return c
}

// submit proposes a command on this VM, or at the leader if another VM leads.
func (s *Server) submit(ctx context.Context, credential string, c *controlpb.Command) (*controlpb.CommandResult, error) {
	result, err := s.replicator.Propose(ctx, c)
	var refusal *rescode.Error
	if !errors.As(err, &refusal) || refusal.Code != rescode.NotLeader {
		return result, err
	}
	leader, err := s.leaderClient()
	if err != nil {
		return nil, err
	}
	outgoing := metadata.AppendToOutgoingContext(ctx, authorizationKey, bearerPrefix+credential)
	reply, err := leader.Propose(outgoing, &controlpb.ProposeRequest{Command: c})
	if err != nil {
		return nil, rescode.New(rescode.ControlUnavailable, "the leader did not confirm the command")
	}
	return reply.Result, nil
}

func errorResult(c *controlpb.Command, err error) *controlpb.CommandResult {
	var refusal *rescode.Error
	if !errors.As(err, &refusal) {
		refusal = rescode.New(rescode.ControlUnavailable, "%s", err.Error())
	}
	return &controlpb.CommandResult{
		RequestId: c.GetRequestId(),
		Code:      uint32(refusal.Code),
		Message:   refusal.Detail,
	}
}

// Show implements controlpb.ControlServer. A follower forwards the call, because only
// the leader has the health of upstreams and the state of proxies.
func (s *Server) Show(ctx context.Context, r *controlpb.ShowRequest) (*controlpb.ShowReply, error) {
	credential := bearerCredential(ctx)
	if err := s.authorizeOperator(credential); err != nil {
		return nil, statusError(err)
	}
	if !s.hasLeaderLease() {
		return forwardToLeader(ctx, s, credential, r, controlpb.ControlClient.Show)
	}
	status := s.replicator.Status()
	reply := &controlpb.ShowReply{
		State:      s.store.CopyForOperators(),
		Leader:     status.LeaderAddress,
		LeaderTerm: status.Term,
		Voters:     status.Members,
	}
	s.leader.addLeaderStatus(ctx, reply)
	return reply, nil
}

// Explain implements controlpb.ControlServer.
func (s *Server) Explain(ctx context.Context, r *controlpb.ExplainRequest) (*controlpb.ExplainReply, error) {
	credential := bearerCredential(ctx)
	if err := s.authorizeOperator(credential); err != nil {
		return nil, statusError(err)
	}
	if !s.hasLeaderLease() {
		return forwardToLeader(ctx, s, credential, r, controlpb.ControlClient.Explain)
	}
	limit := int(r.Limit)
	if limit <= 0 || limit > maxExplainEvents {
		limit = maxExplainEvents
	}
	events := s.store.View().Events
	events = append(events[:len(events):len(events)], s.leader.recentDecisions(ctx)...)
	return &controlpb.ExplainReply{Events: lastEvents(events, r.Subject, limit)}, nil
}

// lastEvents sorts events by time and returns the newest ones that have subject as
// their subject or actor.
func lastEvents(events []*controlpb.Event, subject string, limit int) []*controlpb.Event {
	sortEvents(events)
	var matching []*controlpb.Event
	for _, e := range events {
		if subject == "" || e.Subject == subject || e.Actor == subject {
			matching = append(matching, e)
		}
	}
	if len(matching) > limit {
		matching = matching[len(matching)-limit:]
	}
	return matching
}

// ChangeMembership implements controlpb.ControlServer.
func (s *Server) ChangeMembership(ctx context.Context, r *controlpb.ChangeMembershipRequest) (*controlpb.ChangeMembershipReply, error) {
	credential := bearerCredential(ctx)
	if err := s.authorizeOperator(credential); err != nil {
		return nil, statusError(err)
	}
	if !s.hasLeaderLease() {
		return forwardToLeader(ctx, s, credential, r, controlpb.ControlClient.ChangeMembership)
	}
	result, err := s.replicator.ChangeMembership(ctx, r)
	if err != nil {
		result = errorResult(nil, err)
	}
	return &controlpb.ChangeMembershipReply{Result: result}, nil
}
