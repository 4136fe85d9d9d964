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

// Prober probes a set of targets, each from its own goroutine, so that a server that
// does not answer delays no other probe.
type Prober struct {
	dialer   Dialer
	interval time.Duration
	timeout  time.Duration
	onResult func(Result)

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu struct {
		sync.Mutex
		workers map[Target]*worker
	}
}

// worker is the handle of one probe goroutine.
type worker struct {
	stop context.CancelFunc
	// probeNow requests a probe before the interval has passed.
	probeNow chan struct{}
}

// New returns a Prober without targets. onResult is called concurrently.
func New(dialer Dialer, interval, timeout time.Duration, onResult func(Result)) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{dialer: dialer, interval: interval, timeout: timeout, onResult: onResult, ctx: ctx, cancel: cancel}
	p.mu.workers = map[Target]*worker{}
	return p
}

// SetTargets starts and stops workers so that exactly the given targets are probed.
func (p *Prober) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[Target]bool, len(targets))
	for _, target := range targets {
		wanted[target] = true
		if _, ok := p.mu.workers[target]; !ok {
			p.startWorkerLocked(target)
		}
	}
	for target, w := range p.mu.workers {
		if !wanted[target] {
			w.stop()
			delete(p.mu.workers, target)
		}
	}
}

func (p *Prober) startWorkerLocked(target Target) {
	ctx, cancel := context.WithCancel(p.ctx)
	w := &worker{stop: cancel, probeNow: make(chan struct{}, 1)}
	p.mu.workers[target] = w
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.runWorker(ctx, target, w.probeNow)
	}()
}

// ProbeNow requests a probe of an address before the interval has passed.
func (p *Prober) ProbeNow(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, running := range p.mu.workers {
		if target.Address != address {
			continue
		}
		select {
		case running.probeNow <- struct{}{}:
		default:
		}
	}
}

func (p *Prober) runWorker(ctx context.Context, target Target, probeNow <-chan struct{}) {
	server := p.dialer.Server(target.Address, target.Service)
	defer server.Close()
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.probe(ctx, server)
		select {
		case <-ctx.Done():
			return
		case <-probeNow:
		case <-ticker.C:
		}
	}
}

func (p *Prober) probe(ctx context.Context, server Server) {
	probeCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	result, err := server.Probe(probeCtx)
	if err != nil {
		probeFailures.Inc()
	}
	if ctx.Err() == nil {
		p.onResult(result)
	}
}

// Stop cancels all probes and waits until the workers have returned.
func (p *Prober) Stop() {
	p.cancel()
	p.wg.Wait()
}
