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
	client     *Client
	address    string
	connection *nodeConnection
	stream     grpc.BidiStreamingClient[controlpb.NodeReport, controlpb.NodeUpdate]
	received   <-chan inbox.Message[*controlpb.NodeUpdate]
	updates    int
	// lastUpdateAt is when the last update arrived, or the stream was opened.
	lastUpdateAt  time.Duration
	firstSequence uint64
	reportedVoter Voter
	lastReportAt  time.Duration
	// wantedTopology is the topology of an earlier leader that the leader has asked for.
	wantedTopology *controlpb.Topology
}

func (s *controlStream) run(ctx context.Context) error {
	c := s.client
	c.opts.Gate.StartStream()
	c.contacts.startStream()
	s.firstSequence = c.sequence + 1
	s.lastUpdateAt = clock.Now()
	if err := s.sendReport(regularReport); err != nil {
		return err
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	answerTimer := time.NewTimer(firstAnswerTimeout)
	defer answerTimer.Stop()
	urgentTimer := time.NewTimer(reportInterval)
	defer urgentTimer.Stop()
	for {
		var err error
		select {
		case in := <-s.received:
			answerTimer.Reset(answerTimeout)
			s.lastUpdateAt = clock.Now()
			err = s.handleUpdate(in)
		case <-ticker.C:
			err = s.sendReport(regularReport)
		case <-c.reportRequested:
			err = s.sendUrgentReport(urgentTimer)
		case <-urgentTimer.C:
			err = s.sendUrgentReport(urgentTimer)
		case <-answerTimer.C:
			wait := remainingWait(clock.Now(), s.lastUpdateAt, s.connection.receivedAt())
			if wait <= 0 {
				return errNoAnswer
			}
			answerTimer.Reset(wait)
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

// remainingWait returns how long to wait on for an update when none has arrived in time, or 0 if the
// leader counts as silent.
//
// Load pattern: the configuration grows by hundreds of kilobytes, or an operator reads it, on a node
// with a thin link. The answers to reports arrive behind it.
func remainingWait(now, lastUpdateAt, receivedAt time.Duration) time.Duration {
	if now-lastUpdateAt >= maxTransferTime {
		return 0
	}
	return max(0, receivedAt+answerTimeout-now)
}

// sendUrgentReport sends a report if one is urgent now, and else starts timer for the time from
// which one will be.
func (s *controlStream) sendUrgentReport(timer *time.Timer) error {
	opts := s.client.opts
	at := max(min(opts.Gate.UrgentAt(), opts.Warmup.UrgentAt()), s.lastReportAt+minUrgentInterval)
	wait := at - clock.Now()
	switch {
	case wait <= 0:
		return s.sendReport(urgentReport)
	case wait < reportInterval:
		timer.Reset(wait)
	}
	// A regular report comes before any later time.
	return nil
}

// reportKind is the reason why a report is sent.
type reportKind uint8

const (
	// regularReport is sent every reportInterval and includes the node's view of the primaries.
	regularReport reportKind = iota
	// urgentReport is sent when a team has used much since the last report.
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
		Usage: c.opts.Gate.Report(now), Leaving: kind == lastReport, Stopping: c.stopping.Load(),
		WarmupDemands: c.opts.Warmup.Demands(now),
	}
	if kind == regularReport {
		views := c.opts.Primaries(now)
		report.Regular = true
		report.Contacts = c.contacts.take(now)
		addPrimaries(report, views, v.Topology)
		if c.sequence == s.firstSequence {
			report.ReadServices = readServices(views)
		}
	}
	if v.Catalog != nil {
		report.CatalogVersion = v.Catalog.Version
	}
	if c.sequence == s.firstSequence {
		report.Node, report.Incarnation, report.Throttles = c.opts.Node, c.incarnation, c.opts.Gate.Throttles(now)
		report.Place, report.ForwardAddress, report.LinkMbps = c.opts.Place, c.opts.ForwardAddress, uint32(c.opts.LinkMbps)
	}
	if s.wantedTopology != nil {
		report.Topology, s.wantedTopology = s.wantedTopology, nil
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
	if u.TopologyWanted {
		// The update may replace it.
		s.wantedTopology = c.View().Topology
	}
	if err := c.apply(u, s.address); err != nil {
		return err
	}
	c.contacts.forget(u.UnknownContacts)
	c.opts.Gate.Apply(u.Throttles, s.updates == 1)
	if u.Sequence < s.firstSequence || u.Sequence+maxUnansweredReports <= c.sequence {
		return nil
	}
	// The limits have to be known before the lease lets requests in.
	c.opts.Gate.RecordAnswer(now, u.Sequence == c.sequence)
	sentAt := c.sentAt[u.Sequence%maxUnansweredReports]
	if until := int64(sentAt + c.opts.Lease); until > c.leaseUntil.Load() {
		c.leaseUntil.Store(until)
	}
	c.opts.Warmup.Add(sentAt, u.WarmupGrants)
	for _, p := range u.Positions {
		if service, upstream, ok := primaryOf(p, c.View().Topology); ok {
			c.onPosition(PrimaryPosition{
				Service: service, Upstream: upstream, Position: position.Position{Term: p.Term, Number: p.Number},
				At: sentAt - time.Duration(p.AgeMs)*time.Millisecond,
			})
		}
	}
	return nil
}
