package proxy

import (
	"sync"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/proxy/view"
)

// registry holds all connected callers, to end them when their key is withdrawn and to
// find the one that a cancel request names.
type registry struct {
	mu       sync.Mutex
	sessions map[uint64]*caller
	// bySecret finds a caller by the secret of its cancel key.
	bySecret map[uint32]*caller
	lastID   uint64
	draining bool
	// drained is closed when the proxy is draining and the last session has ended.
	drained chan struct{}
}

func newRegistry() *registry {
	return &registry{
		sessions: map[uint64]*caller{},
		bySecret: map[uint32]*caller{},
		drained:  make(chan struct{}),
	}
}

// add registers a session and assigns its ID and cancel secret. A draining proxy refuses
// it: nothing waits for a session that begins after the last one has ended.
func (r *registry) add(s *caller, secret func() uint32) *rescode.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return rescode.New(rescode.ProxyDraining, "")
	}
	r.lastID++
	s.id = r.lastID
	s.cancelSecret = secret()
	for r.bySecret[s.cancelSecret] != nil {
		s.cancelSecret = secret()
	}
	r.sessions[s.id] = s
	r.bySecret[s.cancelSecret] = s
	return nil
}

func (r *registry) remove(s *caller) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s.id)
	delete(r.bySecret, s.cancelSecret)
	r.closeIfDrained()
}

// closeIfDrained closes drained at most once. The caller holds mu.
func (r *registry) closeIfDrained() {
	if r.draining && len(r.sessions) == 0 {
		select {
		case <-r.drained:
		default:
			close(r.drained)
		}
	}
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}

func (r *registry) find(secret uint32) *caller {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bySecret[secret]
}

// handleSnapshot ends the callers whose key or team is not in the new snapshot any more.
func (r *registry) handleSnapshot(old, next *view.Snapshot) {
	if old.Config == next.Config {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if !s.hasActiveKey(next) {
			s.end(rescode.New(rescode.KeyWithdrawn, "team %q", s.team))
		}
	}
}

// drain ends idle callers now and the others at the end of their transactions.
func (r *registry) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for _, s := range r.sessions {
		s.drain()
	}
	r.closeIfDrained()
}

// endAll ends all sessions and returns how many there are. Their connections stay open
// until each caller has its last answer.
func (r *registry) endAll() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		s.end(rescode.New(rescode.ProxyDraining, ""))
	}
	return len(r.sessions)
}

// closeAll closes the connections of all callers.
func (r *registry) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		// An error means that the connection is closed already.
		_ = s.net.Close()
	}
}
