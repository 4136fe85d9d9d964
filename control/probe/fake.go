package probe

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
)

// ErrUnreachable is what a Fake answers for a server that is down.
var ErrUnreachable = errors.New("the server does not answer")

// FakeServer is the state of one server of a Fake.
type FakeServer struct {
	Down       bool
	InRecovery bool
	LSN        uint64
	Timeline   uint32
	// ReceiverAge is what a replica reports of its WAL receiver.
	ReceiverAge time.Duration
	// Following is the address that Follow set last.
	Following string
}

// Fake is a Dialer whose servers live in memory.
type Fake struct {
	mu struct {
		sync.Mutex
		servers map[string]*FakeServer
	}
}

// NewFake returns a Fake without servers.
func NewFake() *Fake {
	f := &Fake{}
	f.mu.servers = map[string]*FakeServer{}
	return f
}

// Update changes a server, which is created when it does not exist.
func (f *Fake) Update(address string, change func(*FakeServer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	server, ok := f.mu.servers[address]
	if !ok {
		server = &FakeServer{Timeline: 1}
		f.mu.servers[address] = server
	}
	change(server)
}

// Get returns a copy of a server's state.
func (f *Fake) Get(address string) FakeServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if server, ok := f.mu.servers[address]; ok {
		return *server
	}
	return FakeServer{Down: true}
}

// Server implements Dialer.
func (f *Fake) Server(address, _ string) Server {
	return fakeConn{fake: f, address: address}
}

type fakeConn struct {
	fake    *Fake
	address string
}

func (c fakeConn) use(change func(*FakeServer)) error {
	if c.fake.Get(c.address).Down {
		return ErrUnreachable
	}
	c.fake.Update(c.address, change)
	return nil
}

// Probe implements Server.
func (c fakeConn) Probe(context.Context) (Result, error) {
	state := c.fake.Get(c.address)
	result := Result{Address: c.address, SentAt: clock.Now()}
	if state.Down {
		return result, ErrUnreachable
	}
	result.Reachable = true
	result.InRecovery = state.InRecovery
	result.LSN = state.LSN
	result.Timeline = state.Timeline
	result.ReceiverAge = state.ReceiverAge
	return result, nil
}

// Promote implements Server.
func (c fakeConn) Promote(context.Context) error {
	return c.use(func(s *FakeServer) {
		if s.InRecovery {
			s.InRecovery = false
			s.Timeline++
		}
	})
}

// Follow implements Server.
func (c fakeConn) Follow(_ context.Context, primary string) error {
	return c.use(func(s *FakeServer) { s.Following = primary })
}

// Close implements Server.
func (c fakeConn) Close() {}
