package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { plays["large-answer"] = largeAnswer }

const (
	memoryLimitMB = 284
	// restartAfter is the delay after which the platform starts a process again.
	restartAfter = time.Second
)

// guardMemory does what the platform does: it kills a process that uses more than its memory and starts
// it again.
func (w *world) guardMemory(ends map[string]int, peak map[string]int, mu *sync.Mutex, stop chan struct{}) {
	var seeds []string
	for _, n := range w.nodes {
		seeds = append(seeds, n.control())
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, n := range w.nodes {
			mb := residentMB(n.cmd.Process.Pid)
			mu.Lock()
			peak[n.name] = max(peak[n.name], mb)
			mu.Unlock()
			if mb <= memoryLimitMB {
				continue
			}
			w.rec.note("%s uses %d MB of %d MB and is killed", n.name, mb, memoryLimitMB)
			_ = n.cmd.Process.Kill()
			<-n.done
			mu.Lock()
			ends[n.name]++
			mu.Unlock()
			time.Sleep(restartAfter)
			if err := w.startNode(n, seeds, false); err != nil {
				w.rec.note("restart: %v", err)
				return
			}
		}
	}
}

// residentMB returns the resident memory of a process that the harness started, without pages of files.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// Sizes of the answer in rows of 64 KiB.
const (
	largeRows = 1600
	smallRows = 16
	// answerRounds is how often the answer is read at each node.
	answerRounds = 3
)

// largeAnswer reads an item with many rows at each node. Fault: processes end by themselves, three times
// on two nodes at least.
func largeAnswer(w *world, trouble bool) (bool, error) {
	c := configuration{version: 3, timeout: 2000, service: serviceName}
	if err := w.begin(c, 3, func(int) time.Duration { return 8 * time.Millisecond }, 8*time.Millisecond); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ends, peak, stop := map[string]int{}, map[string]int{}, make(chan struct{})
	go w.guardMemory(ends, peak, &mu, stop)
	defer close(stop)
	l := w.startLoad("intake", 6, 50*time.Millisecond)
	rows := smallRows
	if trouble {
		rows = largeRows
		if n, err := strconv.Atoi(os.Getenv("ROWS")); err == nil {
			rows = n
		}
	}
	for round := range answerRounds {
		for _, n := range w.nodes {
			if err := w.awaitServing(n, time.Now().Add(15*time.Second)); err != nil {
				return false, err
			}
			x, err := dial(w.rec, n.front(), "intake", "reader")
			if err != nil {
				return false, err
			}
			began := time.Now()
			a := x.query(fmt.Sprintf("READ rows%d", rows), 5*time.Second)
			x.close()
			a.rows = a.rows[:min(1, len(a.rows))]
			w.rec.note("round %d: read of %d MB at %s: %s after %.2f s", round+1, rows*rowBytes>>20, n.name, a, time.Since(began).Seconds())
			time.Sleep(500 * time.Millisecond)
		}
	}
	l.end()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for _, n := range w.nodes {
		w.rec.note("%s: peak %d MB, ended %d times", n.name, peak[n.name], ends[n.name])
		if ends[n.name] >= 3 {
			broken++
		}
	}
	w.rec.note("other sessions: %d writes acknowledged, %d unclear, %d refused", len(l.acknowledged), l.unclear, l.refused)
	return broken >= 2, nil
}
