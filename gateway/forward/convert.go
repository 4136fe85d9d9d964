package forward

import (
	"time"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/gateway/engine"
	"github.com/jayloom/jayloom/gateway/position"
)

// The kinds, outcomes, states and failures of the engine have the same numbers in messages.

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func toHeader(u engine.ForwardedUnit) *controlpb.UnitHeader {
	return &controlpb.UnitHeader{
		Service: u.Target.Service, Upstream: u.Target.ID, Team: u.Team, Priority: u.Priority,
		ObjectiveLeftMs: milliseconds(u.ObjectiveLeft), StatementTimeoutMs: milliseconds(u.StatementTimeout), Repeat: u.Repeat, MaxWaitMs: milliseconds(u.MaxWait),
	}
}

func toStatements(statements []engine.Statement) []*controlpb.UnitStatement {
	out := make([]*controlpb.UnitStatement, 0, len(statements))
	for _, st := range statements {
		out = append(out, &controlpb.UnitStatement{
			Id: []byte(st.ID), Kind: controlpb.StatementKind(st.Kind), Text: []byte(st.Text), Name: []byte(st.Name),
			Value: []byte(st.Value), Writes: st.Writes, Shape: []byte(st.Shape),
			MinTerm: st.MinPosition.Term, MinNumber: st.MinPosition.Number,
		})
	}
	return out
}

func fromStatements(in []*controlpb.UnitStatement) []engine.Statement {
	out := make([]engine.Statement, 0, len(in))
	for _, st := range in {
		out = append(out, engine.Statement{
			ID: string(st.Id), Kind: engine.Kind(st.Kind), Text: string(st.Text), Name: string(st.Name),
			Value: string(st.Value), Writes: st.Writes, Shape: string(st.Shape),
			MinPosition: position.Position{Term: st.MinTerm, Number: st.MinNumber},
		})
	}
	return out
}

// statementBytes returns the size of the texts of statements.
func statementBytes(statements []engine.Statement) int {
	n := 0
	for _, st := range statements {
		n += len(st.ID) + len(st.Text) + len(st.Name) + len(st.Value) + len(st.Shape)
	}
	return n
}

func toRows(rows []string) [][]byte {
	if len(rows) == 0 {
		return nil
	}
	out := make([][]byte, 0, len(rows))
	for _, row := range rows {
		out = append(out, []byte(row))
	}
	return out
}

func fromRows(rows [][]byte) []string {
	if len(rows) == 0 {
		return nil
	}
	out := make([]string, 0, len(rows))
	for _, row := range rows {
		out = append(out, string(row))
	}
	return out
}

func toReplies(replies []engine.Reply) []*controlpb.StatementReply {
	out := make([]*controlpb.StatementReply, 0, len(replies))
	for _, r := range replies {
		out = append(out, &controlpb.StatementReply{
			Rows: toRows(r.Rows), Digest: []byte(r.Digest), Outcome: controlpb.StatementOutcome(r.Outcome),
			State: controlpb.SessionState(r.State), Term: r.Position.Term, Number: r.Position.Number,
		})
	}
	return out
}

func fromReply(r *controlpb.StatementReply) engine.Reply {
	return engine.Reply{
		Rows: fromRows(r.Rows), Digest: string(r.Digest), Outcome: engine.Outcome(r.Outcome), State: engine.State(r.State),
		Position: position.Position{Term: r.Term, Number: r.Number},
	}
}

func toFailure(f *engine.UnitFailure) *controlpb.UnitFailure {
	return &controlpb.UnitFailure{
		Kind: controlpb.UnitFailureKind(f.Kind), Code: uint32(f.Refusal.Code), Reason: string(f.Refusal.Reason),
		RetryAfterMs: milliseconds(f.Refusal.RetryAfter),
	}
}

func fromRefusal(f *controlpb.UnitFailure) engine.Refusal {
	return engine.Refusal{Code: rescode.Code(f.Code), Reason: engine.Reason(f.Reason), RetryAfter: duration(f.RetryAfterMs)}
}

func toLoad(l engine.UpstreamLoad) *controlpb.UpstreamLoad {
	return &controlpb.UpstreamLoad{
		InUse: uint32(max(0, l.InUse)), Waiting: uint32(max(0, l.Waiting)), LatencyUs: uint32(max(0, l.Latency.Microseconds())),
	}
}

func fromLoad(l *controlpb.UpstreamLoad) engine.UpstreamLoad {
	return engine.UpstreamLoad{
		InUse: int(l.InUse), Waiting: int(l.Waiting), Latency: time.Duration(l.LatencyUs) * time.Microsecond,
	}
}
