// Command case8 plays a server that starts while a promotion is under way, in a group with a synchronous replica whose
// primary is partitioned from its replicas, the core and some nodes.
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
	folder  = "review/8"
	service = "wax"
	// promotionTime is that of the site.
	promotionTime = time.Second
	lag           = time.Millisecond
	// partitioned stands for a replica that receives nothing.
	partitioned = time.Hour
	// newServerAfter is when the new server of the release starts, from the order of the promotion on.
	newServerAfter = 300 * time.Millisecond
	beat           = 1200 * time.Millisecond
	writePause     = 4 * time.Millisecond
	warmUp         = 6 * time.Second
	quietRun       = 8 * time.Second
	orderMax       = 10 * time.Second
	// cutTeam uses the nodes that are cut off from the primary, otherTeam the others.
	cutTeam, otherTeam = "team-a", "team-b"
	// systemName is what the system itself shows in START.
	systemName = "-"
)

// cloud is the infrastructure: it answers an order at once, and its server leads after promotionTime.
type cloud struct {
	record  *fleet.Record
	group   *standin.Group
	ordered chan order
	applied chan order

	mu    sync.Mutex
	fence uint64
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, ok := parseOrder(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.record.Printf("infrastructure: promote %s, fence %d, by %s", o.id, o.fence, r.Header.Get("Duty-Holder"))
	select {
	case c.ordered <- o:
	default:
	}
	if !c.accept(o) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.AfterFunc(promotionTime, func() { c.execute(o) })
}

// accept answers a call at once. The server leads promotionTime later.
func (c *cloud) accept(o order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := server(c.group, o.id)
	if o.fence < c.fence || s == nil || s.Stopped() {
		c.record.Printf("infrastructure: order for %s refused", o.id)
		return false
	}
	c.fence = o.fence
	return true
}

// execute carries an order out unless a higher fence was seen.
func (c *cloud) execute(o order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.fence < c.fence {
		c.record.Printf("infrastructure: order for %s refused, fence %d is below %d", o.id, o.fence, c.fence)
		return false
	}
	c.fence = o.fence
	before := c.group.Primary()
	ok := c.group.Promote(o.id)
	c.record.Printf("infrastructure: order carried out, %s leads now (before: %s), accepted %t", o.id, before, ok)
	if ok {
		select {
		case c.applied <- o:
		default:
		}
	}
	return ok
}

// writer writes items until the end, and keeps those that were acknowledged.
type writer struct {
	record       *fleet.Record
	address, key string
	name         string

	acked []string
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
			opened, err := fleet.Connect(w.address, "intake", w.key)
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			s = opened
		}
		item := fmt.Sprintf("%s-%d", w.name, i)
		r, err := s.Query("id-"+item, "WRITE "+item+" x")
		if err == nil && r.Error == "" && r.Digest != "" && r.Digest != "-" {
			w.record.Detail("consumer: write of %s acknowledged, digest %s", item, r.Digest)
			w.acked = append(w.acked, item)
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
	group, err := standin.NewGroup(service, "i-1", "i-2", "i-3")
	if err != nil {
		return err
	}
	defer group.Close()
	group.SetSyncReplicas(1)
	for _, s := range group.Servers() {
		s.SetLag(lag)
	}
	relay, err := fleet.NewRelay(server(group, "i-1").Address)
	if err != nil {
		return err
	}
	defer relay.Close()
	server(group, "i-1").SetAnnouncedAddress(relay.Address())

	fleet.RecordRuns(record, group)
	c := &cloud{record: record, group: group, ordered: make(chan order, 1), applied: make(chan order, 1)}
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := &announcer{record: record, group: group, nodes: nodes}
	for _, s := range group.Servers() {
		go a.announce(ctx, s)
	}
	if f.PutConfig(1, configuration, time.Now().Add(20*time.Second), nodes...) == nil {
		return fmt.Errorf("%w: no node acknowledged the configuration", fleet.ErrCannotRun)
	}
	all, stop := startWriters(record, nodes)
	time.Sleep(warmUp)
	if fleet.Trouble() {
		err = disturb(ctx, record, c, relay, a)
	} else {
		time.Sleep(quietRun)
	}
	if err != nil {
		stop()
		return err
	}
	time.Sleep(2 * time.Second)
	stop()
	f.KeepLogs("promotion_ordered", "promotion_answered", "primary_changed", "replica_paused", "replica_resumed", "promotion_waits", "leadership", "upstream_changed")
	return judge(record, group, all)
}

func server(g *standin.Group, id string) *standin.Server {
	for _, s := range g.Servers() {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// startNodes starts three nodes with a disk and two without.
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

// startWriters starts three writers at each node: those of cutTeam at the nodes with a disk, those of otherTeam at the
// others.
func startWriters(record *fleet.Record, nodes []*fleet.Node) ([]*writer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all []*writer
	var running sync.WaitGroup
	for i, n := range nodes {
		team := cutTeam
		if !n.Disk {
			team = otherTeam
		}
		for j := range 3 {
			w := &writer{record: record, address: n.Caller(), key: "key-of-" + team, name: fmt.Sprintf("%s-%d-%d", team, i+1, j)}
			all = append(all, w)
			running.Go(func() { w.run(ctx) })
		}
	}
	return all, func() {
		cancel()
		running.Wait()
	}
}

// disturb partitions the primary from its replicas, the core and the nodes with a disk. While the promotion is under
// way, the new server of a release starts, which the primary reaches.
func disturb(ctx context.Context, record *fleet.Record, c *cloud, relay *fleet.Relay, a *announcer) error {
	record.Printf("primary_cut: i-1 is partitioned from its replicas, the core and three of five nodes")
	a.cutOff("i-1")
	relay.Cut(systemName, cutTeam)
	for _, id := range []string{"i-2", "i-3"} {
		server(c.group, id).SetLag(partitioned)
	}
	select {
	case <-c.ordered:
	case <-time.After(orderMax):
		return fmt.Errorf("%w: no promotion was ordered", fleet.ErrCannotRun)
	}
	time.Sleep(newServerAfter)
	added, err := c.group.AddServer("i-4")
	if err != nil {
		return err
	}
	fleet.LimitSlots(added)
	added.SetLag(lag)
	record.Printf("release: i-4 starts, with the log of the primary")
	go a.announce(ctx, added)
	select {
	case <-c.applied:
	case <-time.After(orderMax):
		return fmt.Errorf("%w: no order was carried out", fleet.ErrCannotRun)
	}
	return nil
}

// judge looks for acknowledged commits that are not in the log of the primary.
func judge(record *fleet.Record, group *standin.Group, all []*writer) error {
	lost, acked := 0, 0
	for _, w := range all {
		for _, item := range w.acked {
			acked++
			if !group.HasItem(item) {
				lost++
				record.Printf("LOST: the acknowledged write of %s is not in the log of %s", item, group.Primary())
			}
		}
	}
	record.Printf("%d writes acknowledged, primary %s", acked, group.Primary())
	if acked == 0 {
		return fmt.Errorf("%w: no write was acknowledged", fleet.ErrCannotRun)
	}
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d acknowledged commits", fleet.ErrBroken, lost)
	}
	return nil
}
