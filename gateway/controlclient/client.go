// Package attend is a node's side of its connection to the leader: it reports, takes
// over configuration, topology and request tokens, and knows until when the node may
// serve.
package controlclient

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/base/inbox"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
)

const (
	// reportInterval is the time between reports when nothing is urgent.
	reportInterval = 250 * time.Millisecond
	// urgentGap bounds how often urgent reports are sent.
	urgentGap = 5 * time.Millisecond
	// silenceLimit ends a stream whose leader does not answer.
	silenceLimit = 600 * time.Millisecond
	// openLimit bounds one attempt to open a stream.
	openLimit = 500 * time.Millisecond
	// retryPause is the time between two attempts.
	retryPause = 50 * time.Millisecond
	// silentFor is how long a leader that went silent is not asked again while another node
	// can be. Nodes that have not noticed yet still name it.
	silentFor = time.Second
	// sendTimes is how many reports may be unanswered.
	sendTimes = 1024
)

// TokenHolder holds the request tokens of the node.
type TokenHolder interface {
	Report(now time.Duration) []*controlpb.TokenDemand
	ApplyGrant(now, sentAt time.Duration, g *controlpb.TokenGrant)
	StartStream(now time.Duration)
	RecordAnswer(now time.Duration)
}

// Voter describes the replica of a node with a data folder. Both are empty without one.
type Voter struct {
	Identity, Address string
}

// Options configure a Client.
type Options struct {
	Node string
	// Seeds are addresses of nodes, any of which may name the leader.
	Seeds func() []string
	// Lease is how long the node may serve after it sent a report that was answered.
	Lease  time.Duration
	Tokens TokenHolder
	// Primaries tells how the node sees the primaries that it uses.
	Primaries func(now time.Duration) []*controlpb.PrimaryView
	// Voter describes the node's replica.
	Voter       func() Voter
	DialOptions []grpc.DialOption
	Log         *logrus.Entry
}

// View is what a node was told last. It is not changed once it was published.
type View struct {
	Catalog  *catalog.Catalog
	Topology *controlpb.Topology
	// Nodes is the number of nodes that attend.
	Nodes  int
	Voters []string
	Leader string
}

// Client attends the leader. Run owns its state; the other methods are safe for
// concurrent use.
type Client struct {
	opts        Options
	incarnation string
	view        atomic.Pointer[View]
	leaseUntil  atomic.Int64
	urgent      chan struct{}
	leaving     chan struct{}
	left        chan struct{}
	changed     func(*View)
	observed    func(PrimaryPosition)

	// held is the configuration of the newest view, as it was sent.
	held *controlpb.Catalog
	// silent is an address that did not answer, at silentAt.
	silent      string
	silentAt    time.Duration
	connections connections
	next        int
	sequence    uint64
	sentAt      [sendTimes]time.Duration
}

// PrimaryPosition says that every commit of a service that was acknowledged before At is
// covered by Position.
type PrimaryPosition struct {
	Service, Upstream string
	Position          position.Position
	At                time.Duration
}

// New returns a client. changed is called, by Run, after each new view, and observed
// for each position that the leader spreads.
func New(opts Options, changed func(*View), observed func(PrimaryPosition)) *Client {
	c := &Client{
		opts: opts, incarnation: rand.Text(), changed: changed, observed: observed,
		urgent: make(chan struct{}, 1), leaving: make(chan struct{}), left: make(chan struct{}),
		connections: connections{options: opts.DialOptions, open: map[string]*grpc.ClientConn{}},
	}
	c.view.Store(&View{})
	return c
}

// View returns what the node was told last.
func (c *Client) View() *View {
	return c.view.Load()
}

// MayServe reports whether the configuration is known to be current enough.
func (c *Client) MayServe(now time.Duration) bool {
	return int64(max(now, clock.Now())) < c.leaseUntil.Load()
}

// Leader returns the leader that the node attends, or nothing, and the voters.
func (c *Client) Leader() (string, []string) {
	v := c.View()
	return v.Leader, v.Voters
}

// ReportNow asks for a report before the next interval. It does not block.
func (c *Client) ReportNow() {
	select {
	case c.urgent <- struct{}{}:
	default:
	}
}

// Leave sends a last report and ends Run.
func (c *Client) Leave(ctx context.Context) {
	close(c.leaving)
	select {
	case <-c.left:
	case <-ctx.Done():
	}
}

var (
	errSilent = errors.New("the leader did not answer in time")
	errLeft   = errors.New("the node has left")
)

// Run attends until ctx ends or Leave was called.
func (c *Client) Run(ctx context.Context) {
	defer close(c.left)
	defer c.connections.closeAll()
	named := ""
	for ctx.Err() == nil {
		address := named
		if address == "" {
			address = c.candidate()
		}
		updates, err := c.attend(ctx, address)
		if errors.Is(err, errLeft) {
			return
		}
		if updates > 0 {
			c.opts.Log.WithError(err).WithFields(logrus.Fields{
				"event": "leader_lost", "leader": address,
				"serves_for_ms": (time.Duration(c.leaseUntil.Load()) - clock.Now()).Milliseconds(),
			}).Warn("stream to the leader ended")
		}
		if errors.Is(err, errSilent) {
			c.silent, c.silentAt = address, clock.Now()
		}
		c.connections.drop(address)
		c.setLeader("")
		named = c.redirected(err, address, updates)
		select {
		case <-ctx.Done():
		case <-c.leaving:
			return
		case <-time.After(retryPause):
		}
	}
}

// redirected takes over a redirect and returns the leader that it names.
func (c *Client) redirected(err error, address string, updates int) string {
	for _, detail := range status.Convert(err).Details() {
		r, ok := detail.(*controlpb.Redirect)
		if !ok {
			continue
		}
		if len(r.Voters) > 0 {
			c.learnVoters(r.Voters)
		}
		if r.Leader != address && updates == 0 && !c.isSilent(r.Leader) {
			return r.Leader
		}
	}
	return ""
}

// isSilent reports whether an address did not answer lately.
func (c *Client) isSilent(address string) bool {
	return address == c.silent && clock.Now()-c.silentAt < silentFor
}

func (c *Client) learnVoters(voters []string) {
	v := *c.View()
	v.Voters = voters
	c.view.Store(&v)
}

func (c *Client) setLeader(address string) {
	v := *c.View()
	v.Leader = address
	c.view.Store(&v)
}

// candidate returns the next address to ask: voters that were named, and seeds.
func (c *Client) candidate() string {
	all := map[string]bool{}
	for _, a := range c.View().Voters {
		all[a] = true
	}
	for _, a := range c.opts.Seeds() {
		all[a] = true
	}
	addresses := slices.Sorted(maps.Keys(all))
	if len(addresses) == 0 {
		return ""
	}
	c.next++
	if len(addresses) > 1 && c.isSilent(addresses[c.next%len(addresses)]) {
		c.next++
	}
	return addresses[c.next%len(addresses)]
}

// attend holds one stream until it fails. It returns the number of updates received.
func (c *Client) attend(ctx context.Context, address string) (int, error) {
	if address == "" {
		return 0, errors.New("no address of a node is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connection, err := c.connections.to(address)
	if err != nil {
		return 0, err
	}
	opening := time.AfterFunc(openLimit, cancel)
	stream, err := controlpb.NewGatewayClient(connection).Attend(ctx)
	if !opening.Stop() {
		return 0, errSilent
	}
	if err != nil {
		return 0, err
	}
	r := &streamRun{client: c, address: address, stream: stream, received: inbox.Receive(ctx, stream.Recv)}
	err = r.run(ctx)
	return r.updates, err
}

// apply publishes what an update changes. A configuration never goes back.
func (c *Client) apply(u *controlpb.NodeUpdate, address string) error {
	before := c.View()
	next := &View{
		Catalog: before.Catalog, Topology: before.Topology, Nodes: int(u.Nodes),
		Voters: u.Voters, Leader: address,
	}
	if len(u.Voters) == 0 {
		next.Voters = before.Voters
	}
	if err := c.applyCatalog(u, next, address); err != nil {
		return err
	}
	if u.Topology != nil {
		next.Topology = u.Topology
	}
	c.view.Store(next)
	if next.Catalog != before.Catalog || next.Topology != before.Topology || next.Nodes != before.Nodes {
		c.changed(next)
	}
	return nil
}

// applyCatalog takes over the configuration of an update, or what has changed in it.
func (c *Client) applyCatalog(u *controlpb.NodeUpdate, next *View, leader string) error {
	sent := u.Catalog
	if u.CatalogChange != nil {
		changed, err := catalog.Apply(c.held, u.CatalogChange)
		if err != nil {
			return err
		}
		sent = changed
	}
	if sent == nil || (next.Catalog != nil && sent.Version <= next.Catalog.Version) {
		return nil
	}
	compiled, err := catalog.New(sent)
	if err != nil {
		return errors.Wrap(err, "configuration from the leader")
	}
	c.held, next.Catalog = sent, compiled
	c.opts.Log.WithFields(logrus.Fields{"event": "catalog_in_force", "version": compiled.Version, "leader": leader}).
		Info("configuration in force")
	return nil
}
