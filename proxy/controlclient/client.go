// Package controlclient keeps a proxy's control stream to the control leader: it sends
// reports, applies updates, and publishes snapshots of the control state.
package controlclient

import (
	"context"
	"crypto/rand"
	"math"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/inbox"
	"github.com/jayloom/jayloom/proxy/view"
)

const (
	// reportInterval is the time between regular reports.
	reportInterval = 250 * time.Millisecond
	// minUrgentInterval is the minimum time between an urgent report and the report
	// before it.
	minUrgentInterval = 2 * time.Millisecond
	// answerTimeout is the time without an update after which a stream is closed. It is
	// shorter than the primary lease minus one attempt to reach another leader, so that
	// the leases can be renewed there in time.
	answerTimeout = 900 * time.Millisecond
	// minBackoff and maxBackoff limit the time between the starts of two attempts.
	// maxBackoff can be short, because a control VM that knows no leader holds an attempt
	// for up to 600 ms.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// receiveAnySize lifts gRPC's limit of 4 MiB on a received message. A full copy of the state is one message;
// a proxy that cannot receive it would get it again on each new stream and serve nothing.
var receiveAnySize = grpc.MaxCallRecvMsgSize(math.MaxInt32)

// Options configure a Client.
type Options struct {
	Voters []string
	Member *controlpb.ProxyMember
	// DialOptions contain the transport credentials.
	DialOptions []grpc.DialOption
	Tokens      TokenReporter
	Shares      ShareReporter
	// Groups returns the groups that the proxy serves. They are sent to the leader when
	// there are more than AllGroupsUpTo groups; otherwise the proxy asks for all.
	Groups        GroupReporter
	AllGroupsUpTo int
	Log           *logrus.Entry
}

// Client maintains the control stream to the leader. Run must be called once; ReportNow and
// Leave are safe for concurrent use with it.
type Client struct {
	opts            Options
	incarnation     string
	applier         *applier
	selection       selection
	reportRequested chan struct{}
	// leaving is closed by Leave, left when Run returns.
	leaving chan struct{}
	left    chan struct{}
	// leaderHint is the leader's address according to the control VM that refused the last
	// attempt, if it knew one.
	leaderHint     string
	nextVoterIndex int
	// lostLeader is the address of a leader whose stream has ended. The other voters are
	// tried first, because that leader has probably failed.
	lostLeader string
}

// New returns a client that publishes to store.
func New(store *view.Store, opts Options) *Client {
	return &Client{
		opts:            opts,
		incarnation:     rand.Text(),
		applier:         newApplier(opts.Member.Name, store),
		selection:       selection{allGroupsUpTo: opts.AllGroupsUpTo},
		reportRequested: make(chan struct{}, 1),
		leaving:         make(chan struct{}),
		left:            make(chan struct{}),
	}
}

// ReportNow requests a report before the regular interval ends. It does not block.
func (c *Client) ReportNow() {
	select {
	case c.reportRequested <- struct{}{}:
	default:
	}
}

// Leave makes Run send a last report, which tells the leader that the proxy leaves, and
// return. It waits for that until ctx ends. It must be called at most once.
func (c *Client) Leave(ctx context.Context) {
	close(c.leaving)
	select {
	case <-c.left:
	case <-ctx.Done():
	}
}

var (
	errLeft           = errors.New("the proxy has left")
	errAnswerTimeout  = errors.New("no update arrived in time")
	errReplacedLeader = errors.New("the control VM is a replaced leader")
)

// Run maintains the control stream until ctx ends or Leave is called.
func (c *Client) Run(ctx context.Context) {
	defer close(c.left)
	backoff := minBackoff
	lastLeader := ""
	for ctx.Err() == nil {
		address, hinted := c.nextCandidate()
		startedAt := clock.Now()
		updates, err := c.runStream(ctx, address)
		if errors.Is(err, errLeft) {
			return
		}
		if updates > 0 {
			backoff = minBackoff
			lastLeader, c.lostLeader = address, address
			startedAt = clock.Now()
			c.opts.Log.WithError(err).WithField("control", address).Warn("control stream ended")
		}
		metricStreamEnds.Inc()
		c.leaderHint = leaderFromRefusal(err)
		if c.leaderHint != "" && !hinted && c.leaderHint != lastLeader {
			continue
		}
		if !c.pause(ctx, backoff-(clock.Now()-startedAt)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextCandidate returns the address to try next, and whether a control VM named it as the
// leader.
func (c *Client) nextCandidate() (string, bool) {
	if c.leaderHint != "" {
		return c.leaderHint, true
	}
	address := c.nextAddress()
	if address == c.lostLeader {
		c.lostLeader = ""
		address = c.nextAddress()
	}
	return address, false
}

func (c *Client) nextAddress() string {
	c.nextVoterIndex++
	return c.opts.Voters[(c.nextVoterIndex-1)%len(c.opts.Voters)]
}

// pause waits for a random time between d and 2*d, so that proxies do not all reconnect at
// the same time. It returns false if the client should stop.
func (c *Client) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	n, err := rand.Int(rand.Reader, big.NewInt(int64(d)))
	if err == nil {
		d += time.Duration(n.Int64())
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.leaving:
		return false
	}
}

// leaderFromRefusal returns the leader's address from the NotLeader detail of err, empty if
// there is none.
func leaderFromRefusal(err error) string {
	for _, detail := range status.Convert(err).Details() {
		if notLeader, ok := detail.(*controlpb.NotLeader); ok {
			return notLeader.LeaderAddress
		}
	}
	return ""
}

// runStream opens one stream and runs it until it ends. It returns the number of updates
// received.
func (c *Client) runStream(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	options := append([]grpc.DialOption{grpc.WithDefaultCallOptions(receiveAnySize)}, c.opts.DialOptions...)
	conn, err := grpc.NewClient(address, options...)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	openTimer := time.AfterFunc(answerTimeout, cancel)
	stream, err := controlpb.NewControlClient(conn).Attend(ctx)
	if err != nil {
		return 0, err
	}
	openTimer.Stop()
	s := &controlStream{client: c, stream: stream, received: inbox.Receive(ctx, stream.Recv)}
	err = s.run(ctx)
	return s.updates, err
}

// controlStream is the state of one open stream.
type controlStream struct {
	client     *Client
	stream     grpc.BidiStreamingClient[controlpb.Report, controlpb.Update]
	received   <-chan inbox.Message[*controlpb.Update]
	updates    int
	lastSentAt time.Duration
}

func (s *controlStream) run(ctx context.Context) error {
	c := s.client
	c.applier.sends.reset()
	c.selection.startStream()
	c.opts.Tokens.StartStream(clock.Now())
	c.opts.Shares.StartStream(clock.Now())
	if err := s.sendReport(false); err != nil {
		return err
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	answerTimer := time.NewTimer(answerTimeout)
	defer answerTimer.Stop()
	for {
		var err error
		select {
		case r := <-s.received:
			answerTimer.Reset(answerTimeout)
			err = s.handleUpdate(r)
		case <-ticker.C:
			err = s.sendReport(false)
		case <-c.reportRequested:
			err = s.sendUrgentReport(ctx)
		case <-answerTimer.C:
			err = errAnswerTimeout
		case <-c.leaving:
			return s.sendLeaving()
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// sendUrgentReport sends a report, but no sooner than minUrgentInterval after the last one.
func (s *controlStream) sendUrgentReport(ctx context.Context) error {
	if wait := s.lastSentAt + minUrgentInterval - clock.Now(); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	metricUrgentReports.Inc()
	return s.sendReport(false)
}

// sendLeaving sends the last report and waits until the leader has received it.
func (s *controlStream) sendLeaving() error {
	if err := s.sendReport(true); err == nil {
		_ = s.stream.CloseSend()
		// The leader ends the stream once it has received the report.
		timer := time.NewTimer(answerTimeout)
		defer timer.Stop()
		for r := (inbox.Message[*controlpb.Update]{}); r.Err == nil; {
			select {
			case r = <-s.received:
			case <-timer.C:
				return errLeft
			}
		}
	}
	return errLeft
}

func (s *controlStream) sendReport(leaving bool) error {
	c := s.client
	now := clock.Now()
	s.lastSentAt = now
	report := &controlpb.Report{
		Sequence:           c.applier.sends.recordSend(now),
		Proxy:              c.opts.Member,
		Incarnation:        c.incarnation,
		AppliedRevision:    c.applier.reportedRevision(),
		FencesAcknowledged: c.applier.fencedTerms(),
		Tokens:             c.opts.Tokens.Report(now),
		Shares:             c.opts.Shares.Report(now),
		Leaving:            leaving,
	}
	report.Groups = c.selection.update(c.applier.store.Current(), c.opts.Groups.Groups(now), report.Shares)
	return s.stream.Send(report)
}

func (s *controlStream) handleUpdate(r inbox.Message[*controlpb.Update]) error {
	if r.Err != nil {
		return r.Err
	}
	c := s.client
	if r.Body.LeaderTerm < c.applier.leaderTerm {
		return errReplacedLeader
	}
	s.updates++
	changed, sentAt, answered := c.applier.apply(r.Body)
	now := clock.Now()
	if answered {
		for _, grant := range r.Body.Grants {
			c.opts.Tokens.ApplyGrant(now, sentAt, grant)
		}
		for _, grant := range r.Body.Shares {
			c.opts.Shares.ApplyGrant(now, sentAt, grant)
		}
	}
	if changed {
		// The leader waits for fences to be acknowledged and revisions to be applied.
		return s.sendReport(false)
	}
	return nil
}
