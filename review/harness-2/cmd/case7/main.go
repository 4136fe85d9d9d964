// Command case7 plays planned work on a group with a synchronous replica: a replica is restarted in place, and then the
// primary is released. A copy of the replica's last call before its restart is delayed by a partition, and arrives behind
// the first heartbeat of its new boot.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-2/fleet"
)

const (
	folder  = "review/7"
	service = "wax"
	// promotionTime is that of the site.
	promotionTime = time.Second
	// slowLag is how far replicas are behind on the sheet, fastLag the time to one in another zone.
	slowLag, fastLag = 8 * time.Millisecond, time.Millisecond
	// drainTime is that of the site; a little longer is allowed.
	drainTime = 7200 * time.Millisecond
	// Times behind the replica's first Leave call: it tries the next node after a second without a response, starts again
	// at its address, and the first call arrives. The site's partitions last for 5.5 s at most.
	retryAfter   = time.Second
	restartAfter = 2500 * time.Millisecond
	arrivesAfter = 4500 * time.Millisecond
	// settleTime is the pause between the two pieces of planned work.
	settleTime = 3 * time.Second
	// startsFirst is how long before the primary drains its successor starts.
	startsFirst = time.Second
	beat        = 1200 * time.Millisecond
	writePause  = 4 * time.Millisecond
	warmUp      = 6 * time.Second
	orderMax    = 10 * time.Second
)

// cloud is the infrastructure: it answers an order at once, and its server leads after promotionTime.
type cloud struct {
	record  *fleet.Record
	group   *standin.Group
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
		s.SetLag(slowLag)
	}
	server(group, "i-3").SetLag(fastLag)

	fleet.RecordRuns(record, group)
	c := &cloud{record: record, group: group, applied: make(chan order, 1)}
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
	err = restartReplica(record, group, a)
	if err == nil {
		time.Sleep(settleTime)
		err = releasePrimary(ctx, record, c, a)
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

// startWriters starts three writers at each node.
func startWriters(record *fleet.Record, nodes []*fleet.Node) ([]*writer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all []*writer
	var running sync.WaitGroup
	for i, n := range nodes {
		for j := range 3 {
			w := &writer{record: record, address: n.Caller(), key: "secret-key", name: fmt.Sprintf("item-%d-%d", i+1, j)}
			all = append(all, w)
			running.Go(func() { w.run(ctx) })
		}
	}
	return all, func() {
		cancel()
		running.Wait()
	}
}

// restartReplica restarts i-3 in place, as planned work. With the disruption its first Leave call is delayed.
func restartReplica(record *fleet.Record, group *standin.Group, a *announcer) error {
	replica := server(group, "i-3")
	record.Printf("planned restart: i-3 drains")
	a.drain(replica)
	time.Sleep(drainTime)
	start := time.Now()
	if fleet.Trouble() {
		record.Printf("server i-3: Leave to %s, delayed by a partition", a.nodes[3].Name)
		time.AfterFunc(arrivesAfter, func() { a.leave(replica, a.nodes[3], "delayed") })
		time.Sleep(retryAfter)
	}
	if a.leave(replica, a.nodes[0], "") != http.StatusOK {
		return fmt.Errorf("%w: Leave was not acknowledged", fleet.ErrCannotRun)
	}
	replica.Stop()
	a.cutOff(replica.ID)
	record.Printf("planned restart: i-3 has ended")
	time.Sleep(time.Until(start.Add(restartAfter)))
	if err := replica.Start(); err != nil {
		return err
	}
	// The stand-in keeps a pause over a restart, which PROTOCOL.md says ends it.
	if err := resume(replica); err != nil {
		return err
	}
	record.Printf("planned restart: i-3 starts again under its id at its address")
	a.restart(replica)
	time.Sleep(time.Until(start.Add(arrivesAfter)))
	return nil
}

// releasePrimary replaces the primary, as planned work.
func releasePrimary(ctx context.Context, record *fleet.Record, c *cloud, a *announcer) error {
	added, err := c.group.AddServer("i-4")
	if err != nil {
		return err
	}
	fleet.LimitSlots(added)
	added.SetLag(slowLag)
	record.Printf("release: i-4 starts")
	go a.announce(ctx, added)
	time.Sleep(startsFirst)
	record.Printf("release: the primary i-1 drains")
	a.drain(server(c.group, "i-1"))
	select {
	case <-c.applied:
		return nil
	case <-time.After(orderMax):
		return fmt.Errorf("%w: no promotion took effect", fleet.ErrCannotRun)
	}
}

// resume ends the pause of a replica.
func resume(s *standin.Server) error {
	c, err := net.Dial("tcp4", s.Address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "START %s - %s\r\nQUERY - RESUME\r\n", service, s.ID); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	for range 4 {
		line, err := in.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "DONE") {
			return err
		}
	}
	return fmt.Errorf("%w: i-3 did not resume", fleet.ErrCannotRun)
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
