// Command lost plays a partition of the primary while a replica is replaced.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
	"github.com/jayloom/jayloom/review/harness-3/fleet"
)

const (
	// lag is how far replicas are behind.
	lag = 8 * time.Millisecond
	// cutTime is how long the primary is cut off.
	cutTime = 6500 * time.Millisecond
	// startBehindCut is when the new server starts in the second form, and newCutTime how long it is cut off.
	startBehindCut = 1500 * time.Millisecond
	newCutTime     = 4500 * time.Millisecond
)

func main() { os.Exit(run()) }

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Type     string `json:"type"`
	Timeout  int    `json:"timeout_ms"`
	Goal     int    `json:"goal_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
	MaxStale int    `json:"max_stale_ms,omitempty"`
	Public   bool   `json:"public"`
}

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	delay := 300
	if v, err := strconv.Atoi(os.Getenv("START_AFTER_MS")); err == nil {
		delay = v
	}
	record, err := fleet.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	group, err := standin.NewGroup("vaxskra", "i-1", "i-2", "i-3")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer group.Close()
	group.SetSyncReplicas(1)
	platform, err := fleet.NewPlatform(record, group)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer platform.Close()
	// partitioned plays the second form: the new server is cut off from the core and from control, so that the leader
	// learns of it only afterwards, and the platform checks the fence of an order once more as it takes effect.
	partitioned := os.Getenv("PARTITIONED") == "1"
	platform.Recheck = partitioned
	f, err := fleet.New(os.Args[1], 3, 4, platform.Address, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.Close()
	var relay *fleet.Relay
	for _, s := range group.Servers() {
		s.SetLag(lag)
		if s.ID == "i-1" {
			if relay, err = f.NewRelay(s.Address); err != nil {
				fmt.Println(err)
				return 2
			}
			s.SetAnnouncedAddress(relay.Address)
		}
	}
	if err := f.Start(); err != nil {
		fmt.Println(err)
		return 2
	}
	announcer := f.Announce(group, record)
	defer announcer.Close()
	config := map[string]any{
		"version":  7,
		"routes":   []route{{Name: "r-1", Host: "intake", Prefix: "/", Type: "primary", Timeout: 1000, Goal: 200, Priority: 1, Service: "vaxskra", Attempts: 2}},
		"services": []map[string]any{{"name": "vaxskra", "health_path": "/health", "max_conns": 50, "protocol": "h1", "tls": false, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants":  []map[string]any{{"name": "drivers", "api_keys": []string{"secret"}, "priority": 1, "rate_per_s": 500, "burst": 500}},
	}
	if err := f.Put(config, 20*time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	if err := f.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return 2
	}
	// Consumers write at all nodes.
	var acked sync.Map
	var count atomic.Int64
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for w := range 14 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			n := f.Nodes[w%7]
			var c *fleet.Client
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if c == nil {
					if c, err = n.Connect("intake", "secret", 2*time.Second); err != nil {
						c = nil
						continue
					}
				}
				id := fmt.Sprintf("w%d-%d", w, i)
				a, err := c.Query(id, "WRITE "+id+" x", 2*time.Second)
				if err == nil && a.Refusal == "" && a.Digest != "" && a.Digest != "-" {
					record.Printf("acknowledged %s %s", id, a.Digest)
					acked.Store(id, record.Now())
					count.Add(1)
					continue
				}
				record.Printf("answered %s %s %v", id, a.Refusal, err)
				if err != nil {
					c.Close()
					c = nil
				}
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if count.Load() < 50 {
		fmt.Println("too few writes")
		return 2
	}
	cutOff := f.Nodes[:4]
	draining := false
	var drainMu sync.Mutex
	announcer.SetState(func(id string) string {
		drainMu.Lock()
		defer drainMu.Unlock()
		if id == "i-3" && draining {
			return "draining"
		}
		return "ready"
	})
	cutAt := time.Now()
	if trouble {
		record.Say("the primary i-1 is cut off from the core and one more node, four of seven")
		relay.Cut(true, cutOff...)
		if partitioned {
			time.Sleep(startBehindCut)
		}
		for !partitioned && platform.Ordered() == 0 && time.Since(cutAt) < cutTime-2*time.Second {
			time.Sleep(time.Millisecond)
		}
		if !partitioned {
			time.Sleep(time.Duration(delay) * time.Millisecond)
		}
	}
	record.Say("the release of a replica: the new server i-4 starts in place of i-3")
	if trouble && partitioned {
		announcer.Cut("i-4", true)
	}
	startedAt := time.Now()
	added, err := group.AddServer("i-4")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	added.SetLag(lag)
	var addedRelay *fleet.Relay
	if trouble && partitioned {
		if addedRelay, err = f.NewRelay(added.Address); err != nil {
			fmt.Println(err)
			return 2
		}
		addedRelay.Cut(true, f.Nodes[:3]...)
		added.SetAnnouncedAddress(addedRelay.Address)
		record.Say("i-4 is cut off from the core and from control")
	}
	time.Sleep(time.Second)
	drainMu.Lock()
	draining = true
	drainMu.Unlock()
	record.Say("i-3 drains")
	if trouble && partitioned {
		time.Sleep(newCutTime - time.Since(startedAt))
		record.Say("the cut of i-4 ends")
		announcer.Cut("i-4", false)
		addedRelay.Cut(false, f.Nodes[:3]...)
	}
	time.Sleep(cutTime - time.Since(cutAt))
	if trouble {
		record.Say("the cut ends")
		relay.Cut(false, cutOff...)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	writers.Wait()
	lost := 0
	for _, c := range group.Commits() {
		for _, id := range c.IDs {
			if at, ok := acked.Load(id); ok && c.RolledBack {
				lost++
				record.Printf("LOST: %s was acknowledged at %.3f s and is not in the log of the promoted server", id, at.(time.Duration).Seconds())
			}
		}
	}
	record.Say("%d writes acknowledged, primary %s, %d lost", count.Load(), group.Primary(), lost)
	if lost > 0 {
		return 1
	}
	return 0
}
