package soak

import (
	"context"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

const (
	largeTeam = "melt"
	smallTeam = "sorters"
	largeKey  = "key-melt"
	// spareKey is a second key of the large team, which is withdrawn and added again.
	spareKey = "key-melt-2"
	smallKey = "key-sorters"
	// smallRate and smallBurst are below what the callers of the small team ask for.
	smallRate  = 20
	smallBurst = 20
	largeRate  = 5000
	// putTimeout is how long the operator keeps trying to send one configuration.
	putTimeout = 20 * time.Second
	// readInterval is the time between two reads of the configuration.
	readInterval = 150 * time.Millisecond
)

// plan is the variable part of the next configuration.
type plan struct {
	version  int
	spareKey bool
}

func (p plan) configuration() standin.Configuration {
	keys := []string{largeKey}
	if p.spareKey {
		keys = append(keys, spareKey)
	}
	return standin.Configuration{Version: p.version, Service: service, Teams: []standin.Team{
		{Name: largeTeam, Keys: keys, Rate: largeRate, Burst: largeRate},
		{Name: smallTeam, Keys: []string{smallKey}, Rate: smallRate, Burst: smallBurst},
	}}
}

// sentConfiguration is a configuration with the times at which it was first sent and
// acknowledged.
type sentConfiguration struct {
	plan
	sentAt, acknowledgedAt time.Time
}

// versionRead is the configuration version that a node returned.
type versionRead struct {
	node    string
	version int
	sentAt  time.Time
}

// operator sends configurations and reads them back.
type operator struct {
	fleet   *fleet
	history *history

	mu   sync.Mutex
	plan plan
}

func newOperator(f *fleet, h *history) *operator {
	return &operator{fleet: f, history: h, plan: plan{spareKey: true}}
}

// start sends the first configuration, waits until all nodes are ready and starts to poll
// the configuration version.
func (o *operator) start(ctx context.Context, t *testing.T) {
	t.Helper()
	o.changeConfiguration(func(*plan) {})
	for end := time.Now().Add(startTimeout); ; {
		ready := 0
		for _, p := range o.fleet.nodes {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(o.fleet.nodes) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d nodes are ready after %s", ready, len(o.fleet.nodes), startTimeout)
		}
		sleep(ctx, readInterval)
	}
	go o.pollVersion(ctx)
}

// changeConfiguration sends a configuration with the next version to random nodes until it
// is acknowledged or putTimeout has passed.
func (o *operator) changeConfiguration(edit func(*plan)) {
	o.mu.Lock()
	o.plan.version++
	edit(&o.plan)
	s := &sentConfiguration{plan: o.plan}
	o.mu.Unlock()
	s.sentAt = time.Now()
	o.history.recordConfiguration(s)
	for end := s.sentAt.Add(putTimeout); time.Now().Before(end); {
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		if p.node.PutConfiguration(context.Background(), s.configuration()) == http.StatusOK {
			o.history.recordAcknowledgement(s, time.Now())
			return
		}
		time.Sleep(readInterval)
	}
}

// pollVersion reads the configuration version of random nodes until ctx ends.
func (o *operator) pollVersion(ctx context.Context) {
	for ctx.Err() == nil {
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		at := time.Now()
		if version, ok := p.node.ConfigurationVersion(ctx); ok {
			o.history.recordVersionRead(versionRead{p.node.Name, version, at})
		}
		sleep(ctx, readInterval)
	}
}

// readFinalVersion records the configuration version that is in effect at the end.
func (o *operator) readFinalVersion(ctx context.Context, t *testing.T) {
	t.Helper()
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); sleep(ctx, readInterval) {
		at := time.Now()
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		if version, ok := p.node.ConfigurationVersion(ctx); ok {
			o.history.recordVersionRead(versionRead{p.node.Name, version, at})
			o.history.finalVersion = version
			return
		}
	}
	t.Error("no node returned its configuration version")
}
