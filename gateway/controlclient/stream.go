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

// controlStream is one control stream to a leader.
type controlStream struct {
	client        *Client
	address       string
	stream        grpc.BidiStreamingClient[controlpb.NodeReport, controlpb.NodeUpdate]
	received      <-chan inbox.Message[*controlpb.NodeUpdate]
	updates       int
	firstSequence uint64
	reportedVoter Voter
	lastReportAt  time.Duration
}

func (s *controlStream) run(ctx context.Context) error {
	c := s.client
	c.opts.Tokens.StartStream(clock.Now())
	s.firstSequence = c.sequence + 1
	if err := s.sendReport(regularReport); err != nil {
		return err
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	answerTimer := time.NewTimer(answerTimeout)
	defer answerTimer.Stop()
	for {
		var err error
		select {
		case in := <-s.received:
			answerTimer.Reset(answerTimeout)
			err = s.handleUpdate(in)
		case <-ticker.C:
			err = s.sendReport(regularReport)
		case <-c.reportRequested:
			if clock.Now()-s.lastReportAt < minUrgentInterval {
				time.AfterFunc(minUrgentInterval, c.ReportNow)
				continue
			}
			err = s.sendReport(urgentReport)
		case <-answerTimer.C:
			err = errNoAnswer
		case <-c.leaving:
			_ = s.sendReport(lastReport)
			_ = s.stream.CloseSend()
			return errLeft
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// reportKind is the reason why a report is sent.
type reportKind uint8

const (
	// regularReport is sent every reportInterval and includes the node's view of the primaries.
	regularReport reportKind = iota
	// urgentReport is sent when request tokens are needed, many times a second under load.
	urgentReport
	// lastReport is sent when the node leaves.
	lastReport
)

func (s *controlStream) sendReport(kind reportKind) error {
	c := s.client
	now := clock.Now()
	s.lastReportAt = now
	c.sequence++
	c.sentAt[c.sequence%maxUnansweredReports] = now
	v, voter := c.View(), c.opts.Voter()
	report := &controlpb.NodeReport{
		Sequence: c.sequence, TopologyRevision: v.Topology.GetRevision(),
		Tokens: c.opts.Tokens.Report(now), Leaving: kind == lastReport,
	}
	if kind == regularReport {
		report.Primaries = c.opts.Primaries(now)
	}
	if v.Catalog != nil {
		report.CatalogVersion = v.Catalog.Version
	}
	if c.sequence == s.firstSequence {
		report.Node, report.Incarnation, report.Topology = c.opts.Node, c.incarnation, v.Topology
	}
	if c.sequence == s.firstSequence || voter != s.reportedVoter {
		s.reportedVoter = voter
		report.VoterIdentity, report.VoterAddress = voter.Identity, voter.Address
	}
	return s.stream.Send(report)
}

func (s *controlStream) handleUpdate(in inbox.Message[*controlpb.NodeUpdate]) error {
	if in.Err != nil {
		return in.Err
	}
	c, u := s.client, in.Body
	now := clock.Now()
	if s.updates == 0 {
		c.opts.Log.WithFields(logrus.Fields{"event": "leader_found", "leader": s.address, "nodes": u.Nodes}).Info("control stream to the leader established")
	}
	s.updates++
	if err := c.apply(u, s.address); err != nil {
		return err
	}
	if u.Sequence < s.firstSequence || u.Sequence+maxUnansweredReports <= c.sequence {
		return nil
	}
	sentAt := c.sentAt[u.Sequence%maxUnansweredReports]
	if until := int64(sentAt + c.opts.Lease); until > c.leaseUntil.Load() {
		c.leaseUntil.Store(until)
	}
	for _, p := range u.Positions {
		c.onPosition(PrimaryPosition{
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
