// Package controlclient maintains a gateway node's control stream to the leader. It sends
// reports, applies the updates of configuration, topology and limits, and holds the
// node's serving lease.
package controlclient

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/catalog"
	"github.com/jayloom/jayloom/gateway/position"
	"github.com/jayloom/jayloom/gateway/topology"
	"github.com/jayloom/jayloom/policy/warmup"
)

const (
	// reportInterval is the time between regular reports.
	reportInterval = 250 * time.Millisecond
	// minUrgentInterval is the minimum time between an urgent report and the report
	// before it.
	minUrgentInterval = 5 * time.Millisecond
	// answerTimeout is the time without an update after which a stream is closed.
	answerTimeout = 600 * time.Millisecond
	// firstAnswerTimeout is the time without an update after which a new stream is closed. A
	// new leader of hundreds of nodes answers all of them at the same time.
	firstAnswerTimeout = 1200 * time.Millisecond
	// maxTransferTime limits the wait for an update of which bytes still arrive. It is below the
	// time for which nodes go on with the newest limits of teams.
	maxTransferTime = 3 * time.Second
	// preloadTimeout limits the wait for the first bytes of a stored configuration.
	preloadTimeout = 500 * time.Millisecond
	// openTimeout limits one attempt to open a stream.
	openTimeout = 500 * time.Millisecond
	// retryInterval is the time between two attempts to call the leader, and the first pause
	// between two attempts to open a stream. Each further pause is longer by retryFactor, up to
	// maxRetryInterval, and varies by retryJitter: all nodes lose a leader at the same time.
	retryInterval    = 50 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond
	retryFactor      = 1.6
	retryJitter      = 0.3
	// silentBackoff is how long an unresponsive address is skipped while there are others.
	// Nodes that have not detected the failure yet still redirect to it.
	silentBackoff = time.Second
	// maxUnansweredReports is the number of reports whose send times are kept. Answers to
	// older reports extend no lease and bring no positions.
	maxUnansweredReports = 1024
)

// Gate counts the requests of teams and limits them.
type Gate interface {
	// Report returns the counts for the next report.
	Report(now time.Duration) []*controlpb.TeamUsage
	// Throttles returns the limits in force, for the first report to another leader.
	Throttles(now time.Duration) []*controlpb.TeamThrottle
	// Apply sets limits. The first ones of a stream replace those of an earlier leader.
	Apply(throttles []*controlpb.TeamThrottle, first bool)
	// RecordAnswer records an answer of the leader, newest if it is to the newest report.
	RecordAnswer(now time.Duration, newest bool)
	StartStream()
	// SetFleetSize sets the number of nodes that report to the leader.
	SetFleetSize(nodes int)
	// UrgentAt returns the time from which a report is urgent.
	UrgentAt() time.Duration
}

// Warmup asks for permits for upstreams that warm up and holds them.
type Warmup interface {
	// Demands returns the demands for the report that is sent now.
	Demands(now time.Duration) []*controlpb.WarmupDemand
	// Add adds permits from an answer to the report that was sent at sentAt.
	Add(sentAt time.Duration, grants []*controlpb.WarmupGrant)
	// UrgentAt returns the time from which a report is urgent.
	UrgentAt() time.Duration
}

// Voter identifies the replica of a node with a data folder. Both fields are empty on a node
// without one.
type Voter struct {
	Identity, Address string
}

// Options configure a Client.
type Options struct {
	Node string
	// Address is the address at which other nodes reach this one.
	Address string
	// Place is the place of this node, and ForwardAddress the address at which it takes forwarded statements, or empty.
	Place, ForwardAddress string
	// LinkMbps is the bandwidth of this node's link, or 0 if it is not known.
	LinkMbps int
	// Seeds returns addresses of nodes, any of which may redirect to the leader.
	Seeds func() []string
	// Lease is the duration of the serving lease, which starts when an answered report
	// was sent.
	Lease time.Duration
	Gate  Gate
	// Warmup is optional.
	Warmup Warmup
	// Primaries returns the node's view of the primaries of all services.
	Primaries func(now time.Duration) []*controlpb.PrimaryView
	// Voter returns the identity and address of the node's replica.
	Voter func() Voter
	// Local is the service of this node; nil on a node that cannot lead.
	Local LocalService
	// Dial is optional.
	Dial        DialFunc
	DialOptions []grpc.DialOption
	Log         *logrus.Entry
}

// View is the newest state received from the leader. It is immutable.
type View struct {
	Catalog *catalog.Catalog
	// CatalogBytes is the size of the configuration in messages.
	CatalogBytes int
	Topology     *controlpb.Topology
	// DrainEnds holds when the drains of the topology's upstreams end, by ID, as far as that is known.
	DrainEnds map[string]time.Duration
	// PlaceDrains holds the drains of data centres, by place.
	PlaceDrains map[string]topology.PlaceDrain
	// Nodes is the number of nodes among which connections are divided.
	Nodes int
	// Voters is nil if no voter is known.
	Voters *controlpb.VoterSet
	// Leader is the address of the leader that the node is connected to, or empty.
	Leader string
}

// Client maintains the control stream to the leader. Run must be called once; the other
// methods are safe for concurrent use.
type Client struct {
	opts        Options
	incarnation string
	// viewMu serializes changes of view.
	viewMu          sync.Mutex
	view            atomic.Pointer[View]
	leaseUntil      atomic.Int64
	reportRequested chan struct{}
	contacts        *contactRelay
	stopping        atomic.Bool
	// leaving is closed by Leave, left when Run returns.
	leaving      chan struct{}
	left         chan struct{}
	onViewChange func(*View)
	onPosition   func(PrimaryPosition)

	// The remaining fields, except connections, belong to the goroutine of Run.

	// receivedCatalog is the configuration of the newest view in the form received.
	receivedCatalog *controlpb.Catalog
	// silentAddress is the last address that failed to answer; silentAt is when it did.
	silentAddress    string
	silentAt         time.Duration
	connections      *connectionCache
	nextAddressIndex int
	sequence         uint64
	sentAt           [maxUnansweredReports]time.Duration
}

// PrimaryPosition is a primary's log position. Position covers every commit of the service
// that was acknowledged before At.
type PrimaryPosition struct {
	Service, Upstream string
	Position          position.Position
	At                time.Duration
}

// New returns a Client. Run calls onViewChange after each change of the view, and onPosition
// for each position that the leader sends.
func New(opts Options, onViewChange func(*View), onPosition func(PrimaryPosition)) *Client {
	if opts.Warmup == nil {
		opts.Warmup = warmup.NewPermits()
	}
	c := &Client{
		opts: opts, incarnation: rand.Text(), onViewChange: onViewChange, onPosition: onPosition,
		reportRequested: make(chan struct{}, 1), contacts: newContactRelay(), leaving: make(chan struct{}), left: make(chan struct{}),
		connections: newConnectionCache(opts.Dial, opts.DialOptions),
	}
	c.view.Store(&View{})
	return c
}

// View returns the newest state received from the leader.
func (c *Client) View() *View {
	return c.view.Load()
}

// MayServe reports whether the node holds the serving lease, without which its configuration
// may be out of date.
func (c *Client) MayServe(now time.Duration) bool {
	return int64(max(now, clock.Now())) < c.leaseUntil.Load()
}

// Leader returns the addresses of the leader, empty if the node has no stream to one, and of
// the voters.
func (c *Client) Leader() (string, *controlpb.VoterSet) {
	v := c.View()
	return v.Leader, v.Voters
}

// ReportNow requests a report before the next interval. It does not block.
func (c *Client) ReportNow() {
	select {
	case c.reportRequested <- struct{}{}:
	default:
	}
}

// BeginStop tells the leader with the next report that this node is stopping.
func (c *Client) BeginStop() {
	c.stopping.Store(true)
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
	errNoAnswer = errors.New("the leader did not answer in time")
	errLeft     = errors.New("the node has left")
)

// apply publishes a new view from an update. An older configuration never replaces a newer one.
func (c *Client) apply(u *controlpb.NodeUpdate, address string) error {
	previous := c.View()
	next := &View{
		Catalog: previous.Catalog, CatalogBytes: previous.CatalogBytes, Topology: previous.Topology,
		DrainEnds: previous.DrainEnds, PlaceDrains: previous.PlaceDrains, Nodes: int(u.Nodes), Leader: address,
	}
	if len(u.Voters) > 0 {
		next.Voters = &controlpb.VoterSet{Addresses: u.Voters, Index: u.VotersIndex}
	}
	if err := c.applyCatalog(u, next, address); err != nil {
		return err
	}
	if err := applyTopology(u, next); err != nil {
		return err
	}
	if next.Topology != previous.Topology || len(u.Drains) > 0 {
		next.DrainEnds = topology.NodeDrainEnds(previous.DrainEnds, next.Topology, u.Drains, c.reportSentAt(u.DrainsSequence))
	}
	if u.PlaceDrains != nil {
		next.PlaceDrains = topology.NodePlaceDrains(previous.PlaceDrains, u.PlaceDrains, c.reportSentAt(u.PlaceDrains.ReportSequence))
	}
	c.publish(next)
	if next.Nodes != previous.Nodes {
		c.opts.Gate.SetFleetSize(next.Nodes)
	}
	if next.Catalog != previous.Catalog || next.Topology != previous.Topology || len(u.Drains) > 0 || u.PlaceDrains != nil ||
		next.Nodes != previous.Nodes {
		c.onViewChange(next)
	}
	return nil
}

// reportSentAt returns when a report was sent, or 0 if that is no longer known.
func (c *Client) reportSentAt(sequence uint64) time.Duration {
	if sequence == 0 || sequence > c.sequence || sequence+maxUnansweredReports <= c.sequence {
		return 0
	}
	return c.sentAt[sequence%maxUnansweredReports]
}

// setCatalog sets the configuration of a view that is not published yet.
func (c *Client) setCatalog(next *View, received *controlpb.Catalog, compiled *catalog.Catalog) {
	c.receivedCatalog = received
	next.Catalog, next.CatalogBytes = compiled, proto.Size(received)
}

// applyTopology sets next.Topology from the complete topology or the change of it in an update.
func applyTopology(u *controlpb.NodeUpdate, next *View) error {
	received, err := decode(u.Topology, u.CompressedTopology, &controlpb.Topology{})
	if err != nil {
		return errors.Wrap(err, "topology from the leader")
	}
	change, err := decode(u.TopologyChange, u.CompressedTopologyChange, &controlpb.TopologyChange{})
	if err != nil {
		return errors.Wrap(err, "topology change from the leader")
	}
	if received != nil {
		next.Topology = received
	}
	if change == nil {
		return nil
	}
	changed, err := topology.Apply(next.Topology, change)
	if err != nil {
		return err
	}
	next.Topology = changed
	return nil
}

// applyCatalog sets next.Catalog from the complete configuration or the configuration change
// in an update.
func (c *Client) applyCatalog(u *controlpb.NodeUpdate, next *View, leader string) error {
	received, err := decode(u.Catalog, u.CompressedCatalog, &controlpb.Catalog{})
	if err != nil {
		return errors.Wrap(err, "configuration from the leader")
	}
	change, err := decode(u.CatalogChange, u.CompressedCatalogChange, &controlpb.CatalogChange{})
	if err != nil {
		return errors.Wrap(err, "configuration change from the leader")
	}
	if change != nil {
		if received, err = catalog.Apply(c.receivedCatalog, change); err != nil {
			return err
		}
	}
	if received == nil || (next.Catalog != nil && received.Version <= next.Catalog.Version) {
		return nil
	}
	compiled, refusal := catalog.New(received)
	if refusal != nil {
		return errors.Wrap(refusal, "invalid configuration from the leader")
	}
	c.setCatalog(next, received, compiled)
	c.opts.Log.WithFields(logrus.Fields{"event": "catalog_in_force", "version": compiled.Version, "leader": leader}).
		Info("configuration is in force")
	return nil
}
