package controlclient

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/inbox"
	"github.com/jayloom/jayloom/gateway/position"
)

// streamRun is the life of one stream.
type streamRun struct {
	client   *Client
	address  string
	stream   grpc.BidiStreamingClient[controlpb.NodeReport, controlpb.NodeUpdate]
	received <-chan inbox.Message[*controlpb.NodeUpdate]
	updates  int
	first    uint64
	voter    Voter
	lastSend time.Duration
}

func (r *streamRun) run(ctx context.Context) error {
	c := r.client
	c.opts.Tokens.StartStream(clock.Now())
	r.first = c.sequence + 1
	if err := r.report(regular); err != nil {
		return err
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	for {
		var err error
		select {
		case in := <-r.received:
			silence.Reset(silenceLimit)
			err = r.handle(in)
		case <-ticker.C:
			err = r.report(regular)
		case <-c.urgent:
			if clock.Now()-r.lastSend < urgentGap {
				time.AfterFunc(urgentGap, c.ReportNow)
				continue
			}
			err = r.report(urgent)
		case <-silence.C:
			err = errSilent
		case <-c.leaving:
			_ = r.report(last)
			_ = r.stream.CloseSend()
			return errLeft
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// reportKind says why a report is sent.
type reportKind uint8

const (
	// regular reports are sent at the interval and also say how the node sees primaries.
	regular reportKind = iota
	// urgent reports are sent for request tokens, many times a second under load.
	urgent
	// last is the report of a node that leaves.
	last
)

func (r *streamRun) report(kind reportKind) error {
	c := r.client
	now := clock.Now()
	r.lastSend = now
	c.sequence++
	c.sentAt[c.sequence%sendTimes] = now
	v, voter := c.View(), c.opts.Voter()
	report := &controlpb.NodeReport{
		Sequence: c.sequence, TopologyRevision: v.Topology.GetRevision(),
		Tokens: c.opts.Tokens.Report(now), Leaving: kind == last,
	}
	if kind == regular {
		report.Primaries = c.opts.Primaries(now)
	}
	if v.Catalog != nil {
		report.CatalogVersion = v.Catalog.Version
	}
	if c.sequence == r.first {
		report.Node, report.Incarnation, report.Topology = c.opts.Node, c.incarnation, v.Topology
	}
	if c.sequence == r.first || voter != r.voter {
		r.voter = voter
		report.VoterIdentity, report.VoterAddress = voter.Identity, voter.Address
	}
	return r.stream.Send(report)
}

func (r *streamRun) handle(in inbox.Message[*controlpb.NodeUpdate]) error {
	if in.Err != nil {
		return in.Err
	}
	c, u := r.client, in.Body
	now := clock.Now()
	if r.updates == 0 {
		c.opts.Log.WithFields(logrus.Fields{"event": "leader_found", "leader": r.address, "nodes": u.Nodes}).Info("attends the leader")
	}
	r.updates++
	if err := c.apply(u, r.address); err != nil {
		return err
	}
	if u.Sequence < r.first || u.Sequence+sendTimes <= c.sequence {
		return nil
	}
	sentAt := c.sentAt[u.Sequence%sendTimes]
	if until := int64(sentAt + c.opts.Lease); until > c.leaseUntil.Load() {
		c.leaseUntil.Store(until)
	}
	for _, p := range u.Positions {
		c.observed(PrimaryPosition{
			Service: p.Service, Upstream: p.Upstream, Position: position.Position{Term: p.Term, Number: p.Number},
			At: sentAt - time.Duration(p.AgeMs)*time.Millisecond,
		})
	}
	c.opts.Tokens.RecordAnswer(now)
	for _, g := range u.Grants {
		c.opts.Tokens.ApplyGrant(now, sentAt, g)
	}
	return nil
}
