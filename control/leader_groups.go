package control

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/control/probe"
	"github.com/jayloom/jayloom/policy/failover"
)

const (
	// tokenKeyBytes is the length of the key that signs session tokens.
	tokenKeyBytes = 32
	// proposalTimeout bounds one proposal of the leader; the policies retry it.
	proposalTimeout = 2 * time.Second
	// callTimeout bounds one administrative call to an upstream.
	callTimeout = 2 * time.Second
	// leaderActor is the actor of commands that the control leader proposes.
	leaderActor = "control leader"
	// maxDecisions bounds the retained decisions that are not replicated.
	maxDecisions = 512
)

type (
	proposalDone struct {
		// group is set if the failover machine has to know of a failure.
		group  string
		result *controlpb.CommandResult
		err    error
	}
	callDone struct{ event failover.Event }
)

// propose submits a command without blocking the leader's goroutine.
func (l *Leader) propose(ctx context.Context, command *controlpb.Command) {
	l.proposeFor(ctx, "", command)
}

func (l *Leader) proposeFor(ctx context.Context, group string, command *controlpb.Command) {
	command.RequestId = rand.Text()
	command.Actor = leaderActor
	command.UnixMs = time.Now().UnixMilli()
	go func() {
		proposeCtx, cancel := context.WithTimeout(ctx, proposalTimeout)
		defer cancel()
		result, err := l.replicator.Propose(proposeCtx, command)
		l.post(proposalDone{group: group, result: result, err: err})
	}()
}

func (l *Leader) handleProposalDone(ctx context.Context, p proposalDone) {
	if p.err == nil && p.result.GetCode() == uint32(rescode.OK) {
		return
	}
	proposalsFailed.Inc()
	l.log.WithError(p.err).WithField("result", p.result.GetMessage()).Warn("proposal of the leader was not applied")
	if l.isLeading() && p.group != "" {
		l.stepFailover(ctx, clock.Now(), failover.ProposalFailed{Group: p.group})
	}
}

// stepFailover passes an event to the failover machine and executes its effects.
func (l *Leader) stepFailover(ctx context.Context, now time.Duration, e failover.Event) {
	for _, effect := range l.failoverMachine.Step(now, e) {
		l.executeEffect(ctx, effect)
	}
}

func (l *Leader) executeEffect(ctx context.Context, effect failover.Effect) {
	switch e := effect.(type) {
	case failover.Propose:
		l.proposeFor(ctx, e.Group, e.Command)
	case failover.Promote:
		l.promote(ctx, e)
	case failover.Follow:
		l.followPrimary(ctx, e)
	case failover.ProbeNow:
		l.prober.ProbeNow(e.Address)
	case failover.RecordEvent:
		l.recordDecision(e.Subject, e.Text)
	case failover.ReportSwitchoverDelay:
		switchovers(switchoverDelayed).Inc()
		l.recordDecision(e.Group, e.Text)
	}
}

func (l *Leader) promote(ctx context.Context, e failover.Promote) {
	promotionsBegun.Inc()
	l.log.WithField("upstream", e.Address).WithField("group", e.Group).Info("promoting upstream")
	l.callUpstream(ctx, e.Address, func(callCtx context.Context, server probe.Server) failover.Event {
		err := server.Promote(callCtx)
		return failover.PromoteResult{Group: e.Group, Address: e.Address, Term: e.Term, Err: err}
	})
}

func (l *Leader) followPrimary(ctx context.Context, e failover.Follow) {
	l.callUpstream(ctx, e.Address, func(callCtx context.Context, server probe.Server) failover.Event {
		err := server.Follow(callCtx, e.Primary)
		return failover.FollowResult{Address: e.Address, Primary: e.Primary, Err: err}
	})
}

// callUpstream runs an administrative call on its own connection, so that it does not
// wait behind a probe.
func (l *Leader) callUpstream(ctx context.Context, address string, f func(context.Context, probe.Server) failover.Event) {
	service := l.view.GetGroups()[l.view.GetUpstreams()[address].GetGroup()].GetService()
	server := l.dialer.Server(address, service)
	go func() {
		defer server.Close()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		l.post(callDone{event: f(callCtx, server)})
	}()
}

func (l *Leader) handleProbe(ctx context.Context, r probe.Result) {
	if !l.isLeading() {
		return
	}
	l.stepFailover(ctx, clock.Now(), failover.ProbeResult{
		Address:        r.Address,
		SentAt:         r.SentAt,
		Answered:       r.Reachable,
		InRecovery:     r.InRecovery,
		LSN:            r.LSN,
		Timeline:       r.Timeline,
		ReceiverActive: r.ReceiverAge >= 0,
		ReceiverAge:    max(r.ReceiverAge, 0),
	})
}

// recordDecision logs and retains a decision of the leader that changes no replicated
// state.
func (l *Leader) recordDecision(subject, text string) {
	l.log.WithField("subject", subject).Info(text)
	l.decisions = append(l.decisions, &controlpb.Event{
		Revision: l.view.GetRevision(),
		UnixMs:   time.Now().UnixMilli(),
		Actor:    leaderActor,
		Subject:  subject,
		Text:     text,
	})
	if len(l.decisions) > maxDecisions {
		l.decisions = slices.Delete(l.decisions, 0, 1)
	}
}
