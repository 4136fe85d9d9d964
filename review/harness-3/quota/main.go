// Command quota plays a tenant that sends many times its usual while the machines of the core have no power.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-3/fleet"
)

const (
	// core is the number of nodes with a disk.
	core = 3
	// powerOff is how long the core is lost.
	powerOff = 2 * time.Second
	// hotFactor is how many times its usual the tenant sends for hotTime.
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
)

func main() { os.Exit(run()) }

func envInt(name string, d int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return d
}

type op struct{ sent, arrived time.Duration }

// session is one consumer's session, which is opened again after it was closed.
type session struct {
	mu   sync.Mutex
	node int
	c    *fleet.Client
}

func run() int {
	rate, others, sessions := envInt("RATE", 10), envInt("OTHERS", 13), envInt("SESSIONS", 48)
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := fleet.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	group, err := standin.NewGroup("vaxskra", "i-1", "i-2", "i-3")
	if err != nil {
		return 2
	}
	defer group.Close()
	for _, s := range group.Servers() {
		s.SetLag(8 * time.Millisecond)
	}
	platform, err := fleet.NewPlatform(record, group)
	if err != nil {
		return 2
	}
	defer platform.Close()
	f, err := fleet.New(os.Args[1], core, others, platform.Address, record)
	if err != nil {
		return 2
	}
	defer f.Close()
	var mu sync.Mutex
	sentAt := map[string]time.Duration{}
	var ops []op
	seen := map[string]bool{}
	group.OnExecution(func(e standin.Execution) {
		at := record.Now()
		mu.Lock()
		defer mu.Unlock()
		if e.ID == "-" || seen[e.ID] {
			return
		}
		seen[e.ID] = true
		ops = append(ops, op{sentAt[e.ID], at})
	})
	if err := f.Start(); err != nil {
		return 2
	}
	announcer := f.Announce(group, record)
	defer announcer.Close()
	// The limit is 1.6 times what the tenant usually sends.
	config := map[string]any{
		"version":  7,
		"routes":   []map[string]any{{"name": "r-1", "host": "intake", "path_prefix": "/", "type": "primary", "timeout_ms": 1000, "goal_ms": 200, "priority": 1, "service": "vaxskra", "attempts": 2, "public": false}},
		"services": []map[string]any{{"name": "vaxskra", "health_path": "/health", "max_conns": 50, "protocol": "h1", "tls": false, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants":  []map[string]any{{"name": "t0", "api_keys": []string{"key0"}, "priority": 1, "rate_per_s": rate, "burst": rate}},
	}
	if err := f.Put(config, 20*time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	time.Sleep(5 * time.Second)
	all := make([]*session, sessions)
	for i := range all {
		all[i] = &session{node: i % len(f.Nodes)}
	}
	// query sends one operation in a session that is free.
	var wg sync.WaitGroup
	query := func(k int) {
		defer wg.Done()
		s := all[k%len(all)]
		if !s.mu.TryLock() {
			return
		}
		defer s.mu.Unlock()
		if s.c == nil {
			var err error
			if s.c, err = f.Nodes[s.node].Connect("intake", "key0", 500*time.Millisecond); err != nil {
				s.c = nil
				s.node = rand.Intn(len(f.Nodes))
				return
			}
		}
		id := fmt.Sprintf("q%d", k)
		mu.Lock()
		sentAt[id] = record.Now()
		mu.Unlock()
		a, err := s.c.Query(id, "READ x", time.Second)
		record.Printf("%s %s %v", id, a.Refusal, err)
		if err != nil {
			s.c.Close()
			s.c = nil
			s.node = rand.Intn(len(f.Nodes))
		}
	}
	k := 0
	load := func(perSecond float64, d time.Duration) {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			k++
			wg.Add(1)
			go query(k)
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		}
	}
	usual := float64(rate) / 1.6
	load(usual, 6*time.Second)
	if trouble {
		for _, n := range f.Nodes[:core] {
			n.Kill()
		}
		time.AfterFunc(powerOff, func() {
			for _, n := range f.Nodes[:core] {
				if err := n.Start(); err != nil {
					record.Say("%v", err)
				}
			}
		})
		record.Say("the core is lost for %v, and the tenant sends %v times its usual", powerOff, hotFactor)
		load(hotFactor*usual, hotTime)
	} else {
		load(usual, hotTime)
	}
	load(usual, 3*time.Second)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	sort.Slice(ops, func(i, j int) bool { return ops[i].sent < ops[j].sent })
	limit := (float64(rate)*5+float64(rate))*1.1 + 20
	most, at := 0, time.Duration(0)
	for i := range ops {
		end := ops[i].sent + 5*time.Second
		n := 0
		for _, o := range ops[i:] {
			if o.arrived <= end {
				n++
			}
		}
		if n > most {
			most, at = n, ops[i].sent
		}
	}
	record.Say("%d ran in all; at most %d in 5 s, from %.3f s; the limit is %.1f", len(ops), most, at.Seconds(), limit)
	if float64(most) > limit {
		return 1
	}
	return 0
}
