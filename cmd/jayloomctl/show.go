package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/policy/failover"
)

type show struct{}

// Execute prints the state of the system.
func (c *show) Execute([]string) error {
	var reply *controlpb.ShowReply
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		var err error
		reply, err = client.Show(ctx, &controlpb.ShowRequest{})
		return err
	})
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		fmt.Println(protojson.Format(reply))
		return nil
	}
	printState(reply)
	return nil
}

// table writes aligned columns to standard output.
type table struct {
	w *tabwriter.Writer
}

func newTable(header string) table {
	t := table{w: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, header)
	return t
}

func (t table) printRow(format string, args ...any) {
	fmt.Fprintf(t.w, format+"\n", args...)
}

func (t table) flush() {
	t.printRow("")
	_ = t.w.Flush()
}

func printState(reply *controlpb.ShowReply) {
	state := reply.State
	fmt.Printf("revision %d, control leader %s in term %d\n\n", state.Revision, reply.Leader, reply.LeaderTerm)
	printMembers(reply)
	printProxies(reply)
	printGroups(state)
	printUpstreams(reply)
	printServices(state)
	printRoutes(state)
	printTeams(state)
}

func printMembers(reply *controlpb.ShowReply) {
	t := newTable("CONTROL VM\tIDENTITY\tROLE\tACTIVE\tSTORED INDEX")
	for _, voter := range reply.Voters {
		role := "voter"
		if voter.Learner {
			role = "learner"
		}
		t.printRow("%s\t%s\t%s\t%t\t%d", voter.Address, voter.Identity, role, voter.Active, voter.MatchIndex)
	}
	t.flush()
}

func printProxies(reply *controlpb.ShowReply) {
	t := newTable("PROXY VM\tNUMBER\tPLACE\tREVISION\tLAST REPORT")
	statuses := map[string]*controlpb.ProxyStatus{}
	for _, p := range reply.Proxies {
		statuses[p.Name] = p
	}
	for _, name := range slices.Sorted(maps.Keys(reply.State.Proxies)) {
		member := reply.State.Proxies[name]
		if status, ok := statuses[name]; ok {
			t.printRow("%s\t%d\t%s\t%d\t%d ms ago", name, member.Number, member.Place, status.AppliedRevision, status.LastReportAgeMs)
			continue
		}
		t.printRow("%s\t%d\t%s\t-\tnot connected", name, member.Number, member.Place)
	}
	t.flush()
}

func printGroups(state *controlpb.FleetState) {
	t := newTable("GROUP\tSERVICE\tTERM\tPRIMARY\tPHASE")
	for _, name := range slices.Sorted(maps.Keys(state.Groups)) {
		g := state.Groups[name]
		t.printRow("%s\t%s\t%d\t%s\t%s", name, g.Service, g.Term, g.Primary, phaseName(g))
	}
	t.flush()
}

func phaseName(g *controlpb.Group) string {
	if g.Switchover {
		return "switchover"
	}
	switch g.Phase {
	case controlpb.GroupPhase_GROUP_PHASE_FENCED:
		return "fenced"
	case controlpb.GroupPhase_GROUP_PHASE_PROMOTING:
		return "promoting"
	default:
		return "healthy"
	}
}

func printUpstreams(reply *controlpb.ShowReply) {
	health := map[string]*controlpb.UpstreamHealth{}
	for _, h := range reply.Health {
		health[h.Address] = h
	}
	t := newTable("UPSTREAM\tGROUP\tPLACE\tSTATE\tREACHABLE\tIN RECOVERY\tLSN\tTIMELINE\tAGE")
	for _, address := range slices.Sorted(maps.Keys(reply.State.Upstreams)) {
		u := reply.State.Upstreams[address]
		h := health[address]
		t.printRow("%s\t%s\t%s\t%s\t%t\t%t\t%X/%X\t%d\t%s", address, u.Group, u.Place, upstreamStateName(u.State),
			h.GetReachable(), h.GetInRecovery(), h.GetLsn()>>32, uint32(h.GetLsn()), h.GetTimeline(), formatAge(h.GetAgeMs()))
	}
	t.flush()
}

func formatAge(ms uint32) string {
	if ms == failover.AgeUnknown {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", ms)
}

func upstreamStateName(state controlpb.UpstreamState) string {
	switch state {
	case controlpb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return "leaving"
	case controlpb.UpstreamState_UPSTREAM_STATE_DIVERGED:
		return "diverged"
	default:
		return "serving"
	}
}

func printServices(state *controlpb.FleetState) {
	t := newTable("SERVICE\tSLOTS")
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		t.printRow("%s\t%v", name, state.Services[name].SlotGroups)
	}
	t.flush()
}

func printRoutes(state *controlpb.FleetState) {
	t := newTable("ROUTE\tSERVICE\tREAD\tIDEMPOTENT\tMAX AGE\tOPEN\tDEADLINE\tACK")
	for _, name := range slices.Sorted(maps.Keys(state.Routes)) {
		r := state.Routes[name]
		ack := "primary"
		if r.Acknowledgement == controlpb.Acknowledgement_ACKNOWLEDGEMENT_REPLICA {
			ack = "replica"
		}
		t.printRow("%s\t%s\t%t\t%t\t%d ms\t%t\t%d ms\t%s", name, r.Service, r.Read, r.Idempotent, r.MaxAgeMs, r.Open, r.DeadlineMs, ack)
	}
	t.flush()
}

func printTeams(state *controlpb.FleetState) {
	t := newTable("TEAM\tRATE\tBURST\tKEYS\tROUTES")
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		team := state.Teams[name]
		t.printRow("%s\t%g/s\t%g\t%v\t%v", name, team.Rate, team.Burst, slices.Sorted(maps.Keys(team.Keys)), team.Routes)
	}
	t.flush()
}

type explain struct {
	Limit uint32 `long:"limit" default:"50" description:"number of events"`
	Args  struct {
		Subject string `positional-arg-name:"NAME" description:"team, group, upstream or VM; none: all"`
	} `positional-args:"yes"`
}

// Execute prints recent events in chronological order.
func (c *explain) Execute([]string) error {
	var reply *controlpb.ExplainReply
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		var err error
		reply, err = client.Explain(ctx, &controlpb.ExplainRequest{Subject: c.Args.Subject, Limit: c.Limit})
		return err
	})
	if err != nil {
		return err
	}
	if globalOptions.JSON {
		fmt.Println(protojson.Format(reply))
		return nil
	}
	t := newTable("TIME\tREVISION\tACTOR\tABOUT\tWHAT")
	for _, e := range reply.Events {
		at := time.UnixMilli(e.UnixMs).UTC().Format(time.RFC3339Nano)
		t.printRow("%s\t%d\t%s\t%s\t%s", at, e.Revision, e.Actor, e.Subject, e.Text)
	}
	t.flush()
	return nil
}

func changeMembership(request *controlpb.ChangeMembershipRequest) error {
	var result *controlpb.CommandResult
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		reply, err := client.ChangeMembership(ctx, request)
		if err != nil {
			return err
		}
		result = reply.Result
		return resultError(result)
	})
	if err != nil {
		return err
	}
	return printResult(result)
}
