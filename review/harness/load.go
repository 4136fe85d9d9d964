package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// load is a number of sessions that write all the time.
type load struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// acknowledged are the identities of the acknowledged writes; unclear counts the writes without
	// an answer or with one that promises nothing.
	acknowledged map[string]time.Time
	unclearIDs   map[string]bool
	unclear      int
	refused      int
}

func (w *world) startLoad(database string, sessions int, pause time.Duration) *load {
	l := &load{w: w, stop: make(chan struct{}), acknowledged: map[string]time.Time{}, unclearIDs: map[string]bool{}}
	for i := range sessions {
		l.wg.Go(func() { l.run(database, i, pause) })
	}
	return l
}

func (l *load) run(database string, i int, pause time.Duration) {
	var c *consumer
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if c == nil {
			node := l.w.nodes[(i+n)%len(l.w.nodes)]
			var err error
			if c, err = dial(l.w.rec, node.front(), database, fmt.Sprintf("s%d", i)); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		a := c.query(fmt.Sprintf("WRITE lot%d x%d", rand.IntN(2000), n), 6*time.Second)
		l.count(a)
		if a.err != nil {
			c.close()
			c = nil
		}
		if !a.done() {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(pause)
	}
}

func (l *load) count(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.done():
		l.acknowledged[a.id] = time.Now()
	case a.err != nil || len(a.code) >= 6 && a.code[:6] == "UNSURE":
		l.unclear++
		l.unclearIDs[a.id] = true
	default:
		l.refused++
	}
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
}
