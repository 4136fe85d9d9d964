package server

import (
	"testing"
	"time"
)

// Guards against crowds that fill a node's connections, and against legal sessions that are closed for them.
func TestChooseVictim(t *testing.T) {
	const now = time.Minute
	idle := func(owner string) candidate { return candidate{owner: owner, waitingSince: now - 10*time.Second} }
	busy := func(owner string) candidate { return candidate{owner: owner} }
	opening := func(age time.Duration) candidate { return candidate{waitingSince: now - age} }
	resting := candidate{owner: "a", waitingSince: now - 10*time.Second, inTransaction: true}
	fresh := candidate{owner: "a", waitingSince: now - 10*time.Millisecond}
	many := func(c candidate, n int) []candidate {
		var all []candidate
		for range n {
			all = append(all, c)
		}
		return all
	}
	for name, c := range map[string]struct {
		all  []candidate
		want int
	}{
		"who has shown no key, the oldest first": {[]candidate{idle("a"), opening(time.Second), opening(2 * time.Second)}, 2},
		"no new connection before idle sessions": {[]candidate{opening(time.Millisecond), idle("a")}, 1},
		"the owner with the most sessions":       {[]candidate{idle("a"), idle("b"), idle("b")}, 1},
		"idle sessions before transactions":      {[]candidate{resting, resting, idle("b")}, 2},
		"a resting transaction before none":      {[]candidate{busy("a"), resting, busy("c")}, 1},
		"no session that was just answered":      {[]candidate{fresh, busy("b")}, noVictim},
		"no busy sessions of small owners":       {append(many(busy("a"), 16), many(busy("b"), 16)...), noVictim},
		"a resting session of a majority":        {append(many(busy("a"), 20), many(fresh, 20)...), 20},
		"a busy session of a majority":           {append([]candidate{busy("b")}, many(busy("a"), 40)...), 1},
	} {
		if got := chooseVictim(c.all, now); got != c.want {
			t.Errorf("%s: chose %d, want %d", name, got, c.want)
		}
	}
}
