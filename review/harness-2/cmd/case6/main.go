// Command case6 plays a promotion order that gets no answer and is carried out late, in a group with a synchronous
// replica whose primary has come back meanwhile.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-2/fleet"
)

const (
	folder = "review/6"
	// lateAfter is when the order is carried out that got no answer. The pages name 2 to 12 s.
	lateAfter = 11 * time.Second
	// promotionTime is that of the site.
	promotionTime = time.Second
	// slowLag is how far replicas are behind on the sheet, fastLag the time to one in another zone.
	slowLag, fastLag = 8 * time.Millisecond, time.Millisecond
	// backAfter is when a crashed primary is back after the late order was given; it was down for some 1 s then.
	backAfter  = 100 * time.Millisecond
	writers    = 6
	writePause = 4 * time.Millisecond
	warmUp     = 6 * time.Second
	// quietRun is how long the case runs without the disruption.
	quietRun = 15 * time.Second
	orderMax = 8 * time.Second
)

// services are the three databases; only the last one's order is late.
var services = []string{"wax1", "wax2", "wax3"}

// cloud is the infrastructure: it leaves one order unanswered and carries it out late.
type cloud struct {
	record *fleet.Record
	groups map[string]*standin.Group

	mu      sync.Mutex
	fences  map[string]uint64
	lateFor string
	onLate  func(order)
	applied chan order
}

type order struct {
	service, id string
	fence       uint64
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, ok := parseOrder(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	late := c.lateFor == o.service
	if late {
		c.lateFor = ""
	}
	c.mu.Unlock()
	c.record.Printf("infrastructure: promote %s of %s, fence %d, by %s; late %t", o.id, o.service, o.fence, r.Header.Get("Duty-Holder"), late)
	if late {
		go c.onLate(o)
		time.AfterFunc(lateAfter, func() {
			c.record.Printf("infrastructure: the late order for %s is carried out, accepted %t", o.id, c.accept(o))
			time.AfterFunc(promotionTime, func() {
				c.execute(o)
				c.applied <- o
			})
		})
		<-r.Context().Done()
		return
	}
	if !c.accept(o) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(promotionTime, func() { c.execute(o) })
}

// accept checks an order and its fence. Its server leads promotionTime later.
func (c *cloud) accept(o order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.fence < c.fences[o.service] {
		return false
	}
	for _, s := range c.groups[o.service].Servers() {
		if s.ID == o.id && !s.Stopped() {
			c.fences[o.service] = o.fence
			return true
		}
	}
	return false
}

// execute carries an order out unless a higher fence was seen for the service.
func (c *cloud) execute(o order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.fence < c.fences[o.service] {
		c.record.Printf("infrastructure: order for %s of %s refused, fence %d is below %d", o.id, o.service, o.fence, c.fences[o.service])
		return false
	}
	c.fences[o.service] = o.fence
	g := c.groups[o.service]
	before := g.Primary()
	ok := g.Promote(o.id)
	c.record.Printf("infrastructure: order carried out, %s leads %s now (before: %s), accepted %t", o.id, o.service, before, ok)
	return ok
}

// writer writes items to one database until the end, and keeps those that were acknowledged.
type writer struct {
	record  *fleet.Record
	address string
	service string
	number  int

	mu    sync.Mutex
	acked []ack
}

type ack struct {
	item string
	at   time.Time
}

func (w *writer) run(ctx context.Context) {
	var s *fleet.Session
	defer func() {
		if s != nil {
			s.Close()
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(writePause)
		if s == nil {
			opened, err := fleet.Connect(w.address, w.service+"-intake", "secret-key")
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			s = opened
		}
		item := fmt.Sprintf("%s-%d-%d", w.service, w.number, i)
		r, err := s.Query("id-"+item, "WRITE "+item+" x")
		if err == nil && r.Error == "" && r.Digest != "" && r.Digest != "-" {
			w.record.Detail("consumer: write of %s acknowledged, digest %s", item, r.Digest)
			w.mu.Lock()
			w.acked = append(w.acked, ack{item, time.Now()})
			w.mu.Unlock()
			continue
		}
		w.record.Detail("consumer: write of %s: error %q, %v", item, r.Error, err)
		s.Close()
		s = nil
	}
}

func main() {
	record, err := fleet.NewRecord(folder)
	if err != nil {
		fleet.Exit(err)
	}
	err = play(record)
	record.Printf("result: %v", err)
	record.Close()
	fleet.Exit(err)
}

func play(record *fleet.Record) error {
	f, err := fleet.New(record)
	if err != nil {
		return err
	}
	defer f.Close()
	c := &cloud{record: record, groups: map[string]*standin.Group{}, fences: map[string]uint64{}, applied: make(chan order, 1)}
	for i, s := range services {
		g, err := standin.NewGroup(s, fmt.Sprintf("i-%d1", i+1), fmt.Sprintf("i-%d2", i+1), fmt.Sprintf("i-%d3", i+1))
		if err != nil {
			return err
		}
		defer g.Close()
		fleet.RecordRuns(record, g)
		g.SetSyncReplicas(1)
		for _, server := range g.Servers() {
			server.SetLag(fastLag)
		}
		c.groups[s] = g
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	f.CloudAddress = l.Addr().String()
	go func() { _ = http.Serve(l, c) }()

	nodes, err := startNodes(f)
	if err != nil {
		return err
	}
	announcer := standin.NewInfrastructure(c.groups[services[0]], c.groups[services[1]], c.groups[services[2]])
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var controls []string
	for _, n := range nodes {
		controls = append(controls, n.Control())
	}
	go announcer.Announce(ctx, controls)
	if f.PutConfig(1, configuration(), time.Now().Add(20*time.Second), nodes...) == nil {
		return fmt.Errorf("%w: no node acknowledged the configuration", fleet.ErrCannotRun)
	}
	all, stop := startWriters(record, nodes)
	time.Sleep(warmUp)
	if fleet.Trouble() {
		err = disturb(record, c)
	} else {
		time.Sleep(quietRun)
	}
	if err != nil {
		stop()
		return err
	}
	time.Sleep(2 * time.Second)
	stop()
	f.KeepLogs("promotion_ordered", "promotion_answered", "primary_changed", "replica_paused", "replica_resumed", "promotion_waits", "leadership")
	return judge(record, c, all)
}

func startNodes(f *fleet.Fleet) ([]*fleet.Node, error) {
	var nodes []*fleet.Node
	for host := 1; host <= 5; host++ {
		nodes = append(nodes, f.Add(host, host <= 3))
	}
	for _, n := range nodes {
		if err := n.WriteSettings(nodes[:3]...); err != nil {
			return nil, err
		}
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

func startWriters(record *fleet.Record, nodes []*fleet.Node) ([]*writer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all []*writer
	var running sync.WaitGroup
	for _, s := range services {
		for i := range writers {
			w := &writer{record: record, address: nodes[i%len(nodes)].Caller(), service: s, number: i}
			all = append(all, w)
			running.Go(func() { w.run(ctx) })
		}
	}
	return all, func() {
		cancel()
		running.Wait()
	}
}

// disturb crashes the primaries of all services for a moment. The order for the last service gets no answer and is
// carried out late; by then its primary has been back for long.
func disturb(record *fleet.Record, c *cloud) error {
	back := make(chan struct{})
	c.mu.Lock()
	c.lateFor = services[len(services)-1]
	c.onLate = func(o order) {
		// The network to the replica of the order is the slower one, as it may be.
		for _, s := range c.groups[o.service].Servers() {
			if s.ID == o.id {
				s.SetLag(slowLag)
			}
		}
		time.Sleep(backAfter)
		close(back)
	}
	c.mu.Unlock()
	var crashed []*standin.Server
	for _, s := range services {
		g := c.groups[s]
		for _, server := range g.Servers() {
			if server.ID == g.Primary() {
				crashed = append(crashed, server)
			}
		}
	}
	record.Printf("srv_crash: the primaries of all services crash")
	start := time.Now()
	for _, s := range crashed {
		s.Stop()
	}
	select {
	case <-back:
	case <-time.After(orderMax):
		return fmt.Errorf("%w: no promotion was ordered", fleet.ErrCannotRun)
	}
	for _, s := range crashed {
		if err := s.Start(); err != nil {
			return err
		}
	}
	record.Printf("srv_crash: they are back after %v", time.Since(start).Round(time.Millisecond))
	o := <-c.applied
	record.Printf("applied_late: the order for %s of %s was carried out %v after it was sent", o.id, o.service, lateAfter)
	return nil
}

// judge looks for acknowledged commits that are not in the log of the primary.
func judge(record *fleet.Record, c *cloud, all []*writer) error {
	lost, acked := 0, map[string]int{}
	for _, w := range all {
		for _, a := range w.acked {
			acked[w.service]++
			if !c.groups[w.service].HasItem(a.item) {
				lost++
				record.Printf("LOST: the acknowledged write of %s is not in the log of %s", a.item, c.groups[w.service].Primary())
			}
		}
	}
	for _, s := range services {
		record.Printf("%s: %d writes acknowledged, primary %s", s, acked[s], c.groups[s].Primary())
		if acked[s] == 0 {
			return fmt.Errorf("%w: no write to %s was acknowledged", fleet.ErrCannotRun, s)
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d acknowledged commits", fleet.ErrBroken, lost)
	}
	return nil
}
