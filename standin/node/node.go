// Package node implements streaming replication for the stand-in: a node is a
// primary, or a replica that follows one.
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

// Account holds the credentials that a replica presents to its primary.
type Account struct {
	User, Password string
}

// Config holds the initial settings of a node.
type Config struct {
	// PrimaryAddress is the primary to follow. It is empty on a primary.
	PrimaryAddress string
	Account        Account
	Lag            time.Duration
	Logger         *logrus.Entry
	// BlockWhileFrozen, if set, is called before received data is processed. It
	// blocks while the server is frozen.
	BlockWhileFrozen func()
}

// Node holds the replication role and the data of one server.
type Node struct {
	Store *store.Store

	log              *commitlog.Log
	account          Account
	logger           *logrus.Entry
	inRecovery       atomic.Bool
	startedAsReplica bool
	applyDelay       *applyDelay
	blockWhileFrozen func()
	// lastMessageAt is the time of the last message from the primary in Unix
	// nanoseconds, or 0 while there is no stream.
	lastMessageAt atomic.Int64

	mu              sync.Mutex
	pendingConninfo string // primary_conninfo, effective after a reload
	conninfo        string
	stopReceiver    func() // stops the receiver and waits for its end
}

// New returns a node. A replica starts following its primary immediately.
func New(c Config) *Node {
	n := &Node{account: c.Account, logger: c.Logger, applyDelay: newApplyDelay(c.Lag), blockWhileFrozen: c.BlockWhileFrozen, stopReceiver: func() {}}
	if n.blockWhileFrozen == nil {
		n.blockWhileFrozen = func() {}
	}
	if c.PrimaryAddress == "" {
		n.log = commitlog.New()
		n.Store = store.New(n.log)
		return n
	}
	n.log = commitlog.NewFollower()
	n.Store = store.New(n.log)
	n.startedAsReplica = true
	n.inRecovery.Store(true)
	n.Follow(c.PrimaryAddress)
	return n
}

// Close stops the receiver.
func (n *Node) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopReceiver()
	n.stopReceiver = func() {}
}

// InRecovery reports whether the node is a replica.
func (n *Node) InRecovery() bool { return n.inRecovery.Load() }

// Timeline returns the current timeline.
func (n *Node) Timeline() uint32 { return n.log.History().Timeline() }

// Position returns the position up to which data can be read.
func (n *Node) Position() value.LSN { return n.Store.Position() }

// Replayed returns the position up to which a replica has applied records. The
// second result is false on a node that has never been a replica.
func (n *Node) Replayed() (value.LSN, bool) {
	return n.Store.Position(), n.startedAsReplica
}

// Receiver describes the stream from the primary. The second result is false while
// there is none.
func (n *Node) Receiver() (engine.Receiver, bool) {
	last := n.lastMessageAt.Load()
	return engine.Receiver{LastMessage: time.Unix(0, last)}, last != 0
}

// SetLag sets the delay between the commit of a record on the primary and its
// application on this replica.
func (n *Node) SetLag(d time.Duration) { n.applyDelay.set(d) }

// Promote makes a replica a primary on a new timeline. Received records
// that are not applied yet because of the lag are lost, as if they had not arrived.
func (n *Node) Promote(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.inRecovery.Load() {
		return nil
	}
	n.stopReceiver()
	n.stopReceiver = func() {}
	timeline := n.Store.StartTimeline(time.Now())
	n.inRecovery.Store(false)
	n.logger.WithFields(logrus.Fields{"timeline": timeline, "position": n.Position()}).Info("promoted")
	return nil
}

// SetPrimaryConninfo changes the setting. It takes effect with ReloadSettings.
func (n *Node) SetPrimaryConninfo(conninfo string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingConninfo = conninfo
}

// ReloadSettings applies primary_conninfo. It has no effect on a primary, as in
// PostgreSQL, where only a restart turns a primary into a replica.
func (n *Node) ReloadSettings() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pendingConninfo == n.conninfo || !n.inRecovery.Load() {
		return
	}
	n.conninfo = n.pendingConninfo
	n.stopReceiver()
	n.stopReceiver = n.startReceiver(n.conninfo)
}

// Follow sets primary_conninfo to address and applies it.
func (n *Node) Follow(address string) {
	n.SetPrimaryConninfo(conninfoFor(address))
	n.ReloadSettings()
}

// WaitFor blocks until all data up to position can be read.
func (n *Node) WaitFor(ctx context.Context, position value.LSN) error {
	for {
		_, appended := n.log.RecordsFrom(position)
		if n.Position() >= position {
			return nil
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
