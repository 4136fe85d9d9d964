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
	// spareKey is a second key of the large team, which is withdrawn and given again.
	spareKey = "key-melt-2"
	smallKey = "key-sorters"
	// Limits of the small team, which asks for more.
	smallRate  = 20
	smallBurst = 20
	largeRate  = 5000
	// putPatience is how long the operator tries to send one configuration.
	putPatience = 20 * time.Second
	// readInterval is the time between two reads of the configuration.
	readInterval = 150 * time.Millisecond
)

// plan is what the next configuration says.
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

// sent is a configuration with the times at which it was sent first and acknowledged.
type sent struct {
	plan
	at, acknowledged time.Time
}

// reading is a configuration that was read back.
type reading struct {
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

// begin sends the first configuration, waits until all nodes are ready and starts to read.
func (o *operator) begin(ctx context.Context, t *testing.T) {
	t.Helper()
	o.change(func(*plan) {})
	for end := time.Now().Add(startTime); ; {
		ready := 0
		for _, p := range o.fleet.nodes {
			if p.ready() {
				ready++
			}
		}
		if ready == len(o.fleet.nodes) {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d nodes are ready after %s", ready, len(o.fleet.nodes), startTime)
		}
		wait(ctx, readInterval)
	}
	go o.read(ctx)
}

// change sends a configuration of the next version until it is acknowledged.
func (o *operator) change(edit func(*plan)) {
	o.mu.Lock()
	o.plan.version++
	edit(&o.plan)
	s := &sent{plan: o.plan}
	o.mu.Unlock()
	s.at = time.Now()
	o.history.configured(s)
	for end := s.at.Add(putPatience); time.Now().Before(end); {
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		if p.place.PutConfiguration(context.Background(), s.configuration()) == http.StatusOK {
			o.history.acknowledged(s, time.Now())
			return
		}
		time.Sleep(readInterval)
	}
}

// read reads the configuration at any node until ctx ends.
func (o *operator) read(ctx context.Context) {
	for ctx.Err() == nil {
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		at := time.Now()
		if version, ok := p.place.ConfigurationVersion(ctx); ok {
			o.history.read(reading{p.place.Name, version, at})
		}
		wait(ctx, readInterval)
	}
}

// end reads back the configuration in force.
func (o *operator) end(ctx context.Context, t *testing.T) {
	t.Helper()
	for end := time.Now().Add(recoverTime); time.Now().Before(end); wait(ctx, readInterval) {
		at := time.Now()
		p := o.fleet.nodes[rand.Intn(len(o.fleet.nodes))]
		if version, ok := p.place.ConfigurationVersion(ctx); ok {
			o.history.read(reading{p.place.Name, version, at})
			o.history.last = version
			return
		}
	}
	t.Error("no node tells the configuration in force")
}
