// Package node holds the replication role of a stand-in: primary, or replica that
// follows one.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/engine"
	"github.com/jayloom/jayloom/standin/store"
	"github.com/jayloom/jayloom/standin/value"
)

// Account is the user that a replica connects to its primary as.
type Account struct {
	User, Password string
}

// Config describes a node at its start.
type Config struct {
	// Follow is the primary's address; a node without one is a primary.
	Follow  string
	Account Account
	Lag     time.Duration
	Logger  *logrus.Entry
	// Gate, if set, holds back what is received while the server is frozen.
	Gate func()
}

// Node is the role and the data of one server.
type Node struct {
	Store *store.Store

	log        *commitlog.Log
	account    Account
	logger     *logrus.Entry
	recovering atomic.Bool
	wasReplica bool
	lag        *lag
	gate       func()
	// lastMessage is the time of the last message from the primary in Unix
	// nanoseconds, 0 while none streams.
	lastMessage atomic.Int64

	mu       sync.Mutex
	pending  string // primary_conninfo that is not in force yet
	conninfo string
	stop     func() // ends the receiver and waits for it
}

// New returns a node; a replica begins to follow its primary at once.
func New(c Config) *Node {
	n := &Node{account: c.Account, logger: c.Logger, lag: newLag(c.Lag), gate: c.Gate, stop: func() {}}
	if n.gate == nil {
		n.gate = func() {}
	}
	if c.Follow == "" {
		n.log = commitlog.New()
		n.Store = store.New(n.log)
		return n
	}
	n.log = commitlog.NewFollower()
	n.Store = store.New(n.log)
	n.wasReplica = true
	n.recovering.Store(true)
	n.Follow(c.Follow)
	return n
}

// Close ends the receiver.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop()
	n.stop = func() {}
}

// InRecovery reports whether the node is a replica.
func (n *Node) InRecovery() bool { return n.recovering.Load() }

// Timeline returns the current timeline.
func (n *Node) Timeline() uint32 { return n.log.History().Timeline() }

// Position returns the end of what can be read.
func (n *Node) Position() value.LSN { return n.Store.Position() }

// Replayed returns the position that a replica has applied; it is false on a node
// that never was one.
func (n *Node) Replayed() (value.LSN, bool) {
	return n.Store.Position(), n.wasReplica
}

// Receiver describes the stream from the primary; it is false while there is none.
func (n *Node) Receiver() (engine.Receiver, bool) {
	last := n.lastMessage.Load()
	return engine.Receiver{LastMessage: time.Unix(0, last)}, last != 0
}

// SetLag changes how long after their commit changes are applied.
func (n *Node) SetLag(d time.Duration) { n.lag.set(d) }

// Promote makes a replica a primary on a new timeline. What was received and is
// not applied yet because of the lag is lost, as if it were still on its way.
func (n *Node) Promote(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.recovering.Load() {
		return nil
	}
	n.stop()
	n.stop = func() {}
	timeline := n.Store.StartTimeline(time.Now())
	n.recovering.Store(false)
	n.logger.WithFields(logrus.Fields{"timeline": timeline, "position": n.Position()}).Info("promoted")
	return nil
}

// SetPrimaryConninfo keeps the setting until it is reloaded.
func (n *Node) SetPrimaryConninfo(conninfo string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending = conninfo
}

// ReloadSettings puts primary_conninfo in force. On a primary it has no effect, as
// in PostgreSQL, where only a restart makes a replica of it.
func (n *Node) ReloadSettings() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending == n.conninfo || !n.recovering.Load() {
		return
	}
	n.conninfo = n.pending
	n.stop()
	n.stop = n.startReceiver(n.conninfo)
}

// Follow puts a primary_conninfo for address in force.
func (n *Node) Follow(address string) {
	n.SetPrimaryConninfo(conninfoOf(address))
	n.ReloadSettings()
}

// WaitFor waits until everything before position can be read.
func (n *Node) WaitFor(ctx context.Context, position value.LSN) error {
	for {
		_, grown := n.log.RecordsFrom(position)
		if n.Position() >= position {
			return nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
