package probe

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/clock"
)

// ErrUnreachable is the error of calls to a server of a Fake that is down.
var ErrUnreachable = errors.New("the server does not answer")

// FakeServer is the state of one server of a Fake.
type FakeServer struct {
	Down       bool
	InRecovery bool
	LSN        uint64
	Timeline   uint32
	// ReceiverAge is the age that a replica reports for its WAL receiver.
	ReceiverAge time.Duration
	// Following is the address that Follow set last, or "".
	Following string
}

// Fake is a Dialer of servers in memory, for tests.
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

// Update changes a server, which is created if it does not exist.
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
	return fakeHandle{fake: f, address: address}
}

type fakeHandle struct {
	fake    *Fake
	address string
}

func (h fakeHandle) update(change func(*FakeServer)) error {
	if h.fake.Get(h.address).Down {
		return ErrUnreachable
	}
	h.fake.Update(h.address, change)
	return nil
}

// Probe implements Server.
func (h fakeHandle) Probe(context.Context) (Result, error) {
	state := h.fake.Get(h.address)
	result := Result{Address: h.address, SentAt: clock.Now()}
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
func (h fakeHandle) Promote(context.Context) error {
	return h.update(func(s *FakeServer) {
		if s.InRecovery {
			s.InRecovery = false
			s.Timeline++
		}
	})
}

// Follow implements Server.
func (h fakeHandle) Follow(_ context.Context, primary string) error {
	return h.update(func(s *FakeServer) { s.Following = primary })
}

// Close implements Server.
func (h fakeHandle) Close() {}
