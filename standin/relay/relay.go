// Package relay forwards TCP connections to one address and injects network faults:
// it holds data back without closing connections, in one or both directions, delays
// data, or closes connections.
package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Direction is a direction of data through the relay.
type Direction string

// Directions. Up is from the client to the target.
const (
	Up   Direction = "up"
	Down Direction = "down"
	Both Direction = "both"
)

// dialTimeout bounds the dial to the target.
const dialTimeout = 5 * time.Second

// Relay is a TCP relay that accepts connections until it is closed.
type Relay struct {
	listener net.Listener
	target   string
	up, down *link
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Start listens on address and forwards to target until ctx ends or Close is
// called.
func Start(ctx context.Context, address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	r := &Relay{
		listener: listener,
		target:   target,
		up:       newLink(),
		down:     newLink(),
		conns:    map[net.Conn]bool{},
	}
	ctx, r.cancel = context.WithCancel(ctx)
	context.AfterFunc(ctx, r.shutDown)
	r.tasks.Go(func() { r.accept(ctx) })
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut stops forwarding without closing connections. Data that arrives is buffered and
// forwarded after Heal, as TCP would retransmit it.
func (r *Relay) Cut(d Direction) error {
	return r.apply(d, func(l *link) { l.setCut(true) })
}

// Heal ends cuts and delays.
func (r *Relay) Heal() {
	for _, l := range []*link{r.up, r.down} {
		l.setDelay(0)
		l.setCut(false)
	}
}

// Delay forwards data the given time after it arrived.
func (r *Relay) Delay(d Direction, by time.Duration) error {
	if by < 0 {
		return errors.New("a delay must not be negative")
	}
	return r.apply(d, func(l *link) { l.setDelay(by) })
}

func (r *Relay) apply(d Direction, f func(*link)) error {
	switch d {
	case Up:
		f(r.up)
	case Down:
		f(r.down)
	case Both, "":
		f(r.up)
		f(r.down)
	default:
		return errors.Newf("direction %q is none of %q, %q and %q", d, Up, Down, Both)
	}
	return nil
}

// Drop closes the open connections. New connections are still accepted.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Close stops the relay, closes its connections and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	r.shutDown()
	r.tasks.Wait()
}

func (r *Relay) shutDown() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Drop()
	r.up.close()
	r.down.close()
}

func (r *Relay) accept(ctx context.Context) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		r.tasks.Go(func() { r.serve(ctx, client) })
	}
}

func (r *Relay) serve(ctx context.Context, client net.Conn) {
	defer client.Close()
	// A connection made during a cut reaches the target only after Heal.
	r.up.waitUntilOpen(ctx)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	if !r.track(client, target) {
		return
	}
	defer r.untrack(client, target)
	var directions sync.WaitGroup
	directions.Go(func() { r.up.forward(ctx, target, client) })
	directions.Go(func() { r.down.forward(ctx, client, target) })
	directions.Wait()
}

// track registers connections for Drop. It reports false if the relay is closed.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	return !r.closed
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}
