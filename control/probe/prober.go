package probe

import (
	"context"
	"sync"
	"time"
)

// Target is an upstream to be probed.
type Target struct {
	Address string
	Service string
}

// Prober probes a set of targets, each from a goroutine of its own, so that a
// silent server delays no other probe.
type Prober struct {
	dialer   Dialer
	interval time.Duration
	timeout  time.Duration
	results  func(Result)

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu struct {
		sync.Mutex
		running map[Target]*probing
	}
}

// probing is the handle of one probe goroutine.
type probing struct {
	stop context.CancelFunc
	// now asks for a probe ahead of the interval.
	now chan struct{}
}

// New starts a watcher without targets. results is called from many goroutines.
func New(dialer Dialer, interval, timeout time.Duration, results func(Result)) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Prober{dialer: dialer, interval: interval, timeout: timeout, results: results, ctx: ctx, cancel: cancel}
	w.mu.running = map[Target]*probing{}
	return w
}

// SetTargets starts and stops probes so that exactly targets are watched.
func (w *Prober) SetTargets(targets []Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, target := range targets {
		wanted[target] = true
		if _, ok := w.mu.running[target]; !ok {
			w.startLocked(target)
		}
	}
	for target, running := range w.mu.running {
		if !wanted[target] {
			running.stop()
			delete(w.mu.running, target)
		}
	}
}

func (w *Prober) startLocked(target Target) {
	ctx, cancel := context.WithCancel(w.ctx)
	running := &probing{stop: cancel, now: make(chan struct{}, 1)}
	w.mu.running[target] = running
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.probeLoop(ctx, target, running.now)
	}()
}

// ProbeNow asks for a probe of an address ahead of the interval.
func (w *Prober) ProbeNow(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for target, running := range w.mu.running {
		if target.Address != address {
			continue
		}
		select {
		case running.now <- struct{}{}:
		default:
		}
	}
}

func (w *Prober) probeLoop(ctx context.Context, target Target, now <-chan struct{}) {
	server := w.dialer.Server(target.Address, target.Service)
	defer server.Close()
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		w.probe(ctx, server)
		select {
		case <-ctx.Done():
			return
		case <-now:
		case <-ticker.C:
		}
	}
}

func (w *Prober) probe(ctx context.Context, server Server) {
	probeCtx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	result, err := server.Probe(probeCtx)
	if err != nil {
		probeFailures.Inc()
	}
	if ctx.Err() == nil {
		w.results(result)
	}
}

// Stop ends all probes and waits for them.
func (w *Prober) Stop() {
	w.cancel()
	w.wg.Wait()
}
