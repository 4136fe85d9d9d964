package forward

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/gateway/engine"
)

const (
	// connectWait is how long a statement waits for a new link.
	connectWait = 60 * time.Millisecond
	// watchInterval is the time between two checks of the links on which units wait.
	watchInterval = 50 * time.Millisecond
	// silenceTimeout is the time without a byte on a link on which units wait after which the node is asked whether it
	// runs, and pingTimeout is how long it may take to answer.
	silenceTimeout = 80 * time.Millisecond
	pingTimeout    = 150 * time.Millisecond
	// probeInterval is the pause between two attempts to reach a silent node.
	probeInterval = 100 * time.Millisecond
	// silentConnRetention is how long a connection that has gone silent stays open. It is above the longest wait for a
	// statement that may write.
	silentConnRetention = 30 * time.Second
	// refusalPeriod is how long no unit for an upstream is sent to a node that refused one.
	refusalPeriod = 150 * time.Millisecond
)

// Options configure a Client.
type Options struct {
	// Dial opens a network connection to a node.
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	DialOptions []grpc.DialOption
	Log         *logrus.Entry
}

// Client forwards units of work over links that it keeps open to other nodes. It is safe for concurrent use.
type Client struct {
	options Options
	mu      sync.Mutex
	links   map[string]*link
}

// NewClient returns a Client without links.
func NewClient(o Options) *Client {
	return &Client{options: o, links: map[string]*link{}}
}

// Open implements engine.Forwarder.
func (c *Client) Open(ctx context.Context, address string, u engine.ForwardedUnit) engine.Conn {
	l := c.link(address)
	if l == nil {
		countFallback(fallbackNoLink)
		return nil
	}
	if reason := l.unusable(ctx, clock.Now(), u.Target.ID); reason != "" {
		countFallback(reason)
		return nil
	}
	return newUnitConn(l, u)
}

// link returns the link to an address, or nil if there can be none.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l
	}
	l, err := newLink(address, c.options)
	if err != nil {
		c.options.Log.WithError(err).WithFields(logrus.Fields{"event": "holder_link_failed", "address": address}).
			Warn("no link to a node can be made")
		return nil
	}
	c.links[address] = l
	metricOpenLinks.Add(1)
	return l
}

// Retain implements engine.Forwarder. It opens the likely links, and closes those to nodes that are not possible any
// more and on which no unit is open.
func (c *Client) Retain(possible, likely []string) {
	for _, address := range likely {
		if l := c.link(address); l != nil {
			l.currentConn().Connect()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if !slices.Contains(possible, address) && l.isIdle() {
			l.close()
			delete(c.links, address)
			metricOpenLinks.Add(-1)
		}
	}
}

// Run watches the links until ctx ends, and closes them then.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeAll()
			return
		case <-ticker.C:
			for _, l := range c.allLinks() {
				l.watch(clock.Now())
			}
		}
	}
}

func (c *Client) allLinks() []*link {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]*link, 0, len(c.links))
	for _, l := range c.links {
		out = append(out, l)
	}
	return out
}

func (c *Client) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		l.close()
		delete(c.links, address)
	}
}
