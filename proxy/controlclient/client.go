package controlclient

import (
	"context"
	"crypto/rand"
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
	// reportInterval is the time between reports when nothing is urgent.
	reportInterval = 250 * time.Millisecond
	// urgentGap bounds how often urgent reports are sent.
	urgentGap = 2 * time.Millisecond
	// silenceLimit ends a stream whose leader does not answer. It is below the
	// primary lease less one attempt at another leader.
	silenceLimit = 900 * time.Millisecond
	// minBackoff and maxBackoff bound the time between the starts of two attempts. A
	// control VM without a leader keeps an attempt for up to 600 ms, so few are made.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	Voters []string
	Member *controlpb.ProxyMember
	// DialOptions hold the transport credentials.
	DialOptions []grpc.DialOption
	Tokens      TokenReporter
	Shares      ShareReporter
	// Groups tells which groups the proxy serves. It is asked when there are more
	// than AllGroupsUpTo.
	Groups        GroupReporter
	AllGroupsUpTo int
	Log           *logrus.Entry
}

// Client attends control. Run owns its state.
type Client struct {
	opts        Options
	incarnation string
	applier     *applier
	selection   selection
	urgent      chan struct{}
	leave       chan struct{}
	left        chan struct{}
	// preferred is the address that a control VM named as leader.
	preferred string
	nextVoter int
	// lost is the address of a leader whose stream has ended. The others are asked
	// first, because it is likely gone.
	lost string
}

// New returns a client that publishes to store.
func New(store *view.Store, opts Options) *Client {
	return &Client{
		opts:        opts,
		incarnation: rand.Text(),
		applier:     newApplier(opts.Member.Name, store),
		selection:   selection{allUpTo: opts.AllGroupsUpTo},
		urgent:      make(chan struct{}, 1),
		leave:       make(chan struct{}),
		left:        make(chan struct{}),
	}
}

// ReportNow asks for a report before the next interval. It does not block.
func (c *Client) ReportNow() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// Leave sends a last report and ends Run. It waits until that is done or ctx ends.
func (c *Client) Leave(ctx context.Context) {
	close(c.leave)
	select {
	case <-c.left:
	case <-ctx.Done():
	}
}

var (
	errLeft    = errors.New("the proxy has left")
	errSilent  = errors.New("no update arrived in time")
	errIgnored = errors.New("the control VM is a replaced leader")
)

// Run attends until ctx ends or Leave was called.
func (c *Client) Run(ctx context.Context) {
	defer close(c.left)
	backoff := minBackoff
	attached := ""
	for ctx.Err() == nil {
		address, named := c.candidate()
		begun := clock.Now()
		updates, err := c.attend(ctx, address)
		if errors.Is(err, errLeft) {
			return
		}
		if updates > 0 {
			backoff = minBackoff
			attached, c.lost = address, address
			begun = clock.Now()
			c.opts.Log.WithError(err).WithField("control", address).Warn("control stream ended")
		}
		metricStreamEnds.Inc()
		c.preferred = namedLeader(err)
		if c.preferred != "" && !named && c.preferred != attached {
			continue
		}
		if !c.pause(ctx, backoff-(clock.Now()-begun)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// candidate returns the address to try next, and whether another control VM named it.
func (c *Client) candidate() (string, bool) {
	if c.preferred != "" {
		return c.preferred, true
	}
	address := c.nextAddress()
	if address == c.lost {
		c.lost = ""
		address = c.nextAddress()
	}
	return address, false
}

func (c *Client) nextAddress() string {
	c.nextVoter++
	return c.opts.Voters[(c.nextVoter-1)%len(c.opts.Voters)]
}

// pause waits for a random time up to twice d, so that proxies do not return together.
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
	case <-c.leave:
		return false
	}
}

// namedLeader returns the leader's address that a refusal names.
func namedLeader(err error) string {
	for _, detail := range status.Convert(err).Details() {
		if notLeader, ok := detail.(*controlpb.NotLeader); ok {
			return notLeader.LeaderAddress
		}
	}
	return ""
}

// attend holds one stream until it fails. It returns the number of updates received.
func (c *Client) attend(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient(address, c.opts.DialOptions...)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	opening := time.AfterFunc(silenceLimit, cancel)
	stream, err := controlpb.NewControlClient(conn).Attend(ctx)
	if err != nil {
		return 0, err
	}
	opening.Stop()
	s := &streamRun{client: c, stream: stream, received: inbox.Receive(ctx, stream.Recv)}
	err = s.run(ctx)
	return s.updates, err
}

// streamRun is the life of one stream.
type streamRun struct {
	client   *Client
	stream   grpc.BidiStreamingClient[controlpb.Report, controlpb.Update]
	received <-chan inbox.Message[*controlpb.Update]
	updates  int
	lastSend time.Duration
}

func (s *streamRun) run(ctx context.Context) error {
	c := s.client
	c.applier.sends.reset()
	c.selection.startStream()
	c.opts.Tokens.StartStream(clock.Now())
	c.opts.Shares.StartStream(clock.Now())
	if err := s.report(false); err != nil {
		return err
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	for {
		var err error
		select {
		case r := <-s.received:
			silence.Reset(silenceLimit)
			err = s.handle(r)
		case <-ticker.C:
			err = s.report(false)
		case <-c.urgent:
			err = s.reportUrgent(ctx)
		case <-silence.C:
			err = errSilent
		case <-c.leave:
			return s.sayGoodbye()
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// reportUrgent reports at once, but not twice within urgentGap.
func (s *streamRun) reportUrgent(ctx context.Context) error {
	if wait := s.lastSend + urgentGap - clock.Now(); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	metricUrgentReports.Inc()
	return s.report(false)
}

func (s *streamRun) sayGoodbye() error {
	if err := s.report(true); err == nil {
		_ = s.stream.CloseSend()
		// The stream's end shows that the report has arrived.
		timer := time.NewTimer(silenceLimit)
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

func (s *streamRun) report(leaving bool) error {
	c := s.client
	now := clock.Now()
	s.lastSend = now
	report := &controlpb.Report{
		Sequence:           c.applier.sends.next(now),
		Proxy:              c.opts.Member,
		Incarnation:        c.incarnation,
		AppliedRevision:    c.applier.revision(),
		FencesAcknowledged: c.applier.fences(),
		Tokens:             c.opts.Tokens.Report(now),
		Shares:             c.opts.Shares.Report(now),
		Leaving:            leaving,
	}
	report.Groups = c.selection.next(c.applier.store.Current(), c.opts.Groups.Groups(now), report.Shares)
	return s.stream.Send(report)
}

func (s *streamRun) handle(r inbox.Message[*controlpb.Update]) error {
	if r.Err != nil {
		return r.Err
	}
	c := s.client
	if r.Body.LeaderTerm < c.applier.leaderTerm {
		return errIgnored
	}
	s.updates++
	changed, sentAt, valid := c.applier.apply(r.Body)
	now := clock.Now()
	if valid {
		for _, grant := range r.Body.Grants {
			c.opts.Tokens.ApplyGrant(now, sentAt, grant)
		}
		for _, grant := range r.Body.Shares {
			c.opts.Shares.ApplyGrant(now, sentAt, grant)
		}
	}
	if changed {
		// The leader waits for fence acknowledgements and applied revisions.
		return s.report(false)
	}
	return nil
}
