package load

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
)

// use is a request as its team's bucket sees it.
type use struct {
	sent, done time.Duration
	cost       float64
	refused    bool
}

// uses returns the team's requests that took tokens, or were refused some.
func uses(records []record, team int, transactionCost float64) []use {
	var list []use
	for _, r := range records {
		limited := r.code == rescode.RateExceeded
		if r.team != team || r.outcome == Unsent || r.outcome == Refused && !limited {
			continue
		}
		u := use{sent: r.sent, done: r.done, cost: 1, refused: limited}
		if r.kind == TransactionWrite {
			u.cost = transactionCost
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b use) int { return int(a.sent - b.sent) })
	return list
}

// wrongful counts refusals at which a bucket of this rate and burst, filled by the
// clock and emptied by the requests that ran, held enough tokens.
func wrongful(list []use, rate, burst float64) int {
	tokens, last, count := burst, time.Duration(0), 0
	for _, u := range list {
		tokens = min(burst, tokens+rate*(u.sent-last).Seconds())
		last = u.sent
		switch {
		case !u.refused:
			tokens -= u.cost
		case tokens >= u.cost:
			count++
		}
	}
	return count
}

// overshoot returns the most tokens that were used above rate × w + burst in any
// window w, 0 if none were. A request counts in a window only if it was sent and
// answered inside it, so what is returned was certainly too much.
func overshoot(list []use, rate, burst float64) float64 {
	var granted []use
	for _, u := range list {
		if !u.refused {
			granted = append(granted, u)
		}
	}
	if len(granted) == 0 {
		return 0
	}
	// Windows that begin when a request is sent and end when one is answered are
	// enough. A tree over the begins holds rate × begin + the cost inside.
	tree := newMaxTree(len(granted), func(i int) float64 { return rate * granted[i].sent.Seconds() })
	order := make([]int, len(granted))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(granted[a].done - granted[b].done) })
	worst := 0.0
	for _, i := range order {
		tree.add(i, granted[i].cost)
		worst = max(worst, tree.max(i)-rate*granted[i].done.Seconds()-burst)
	}
	return worst
}

// maxTree is a segment tree: add to a prefix, maximum of a prefix.
type maxTree struct {
	size         int
	value, added []float64
}

func newMaxTree(n int, initial func(int) float64) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, value: make([]float64, 2*size), added: make([]float64, 2*size)}
	for i := range size {
		t.value[size+i] = -1e18
		if i < n {
			t.value[size+i] = initial(i)
		}
	}
	for i := size - 1; i > 0; i-- {
		t.value[i] = max(t.value[2*i], t.value[2*i+1])
	}
	return t
}

// add adds v to the elements 0 to last.
func (t *maxTree) add(last int, v float64) { t.addAt(1, 0, t.size-1, last, v) }

func (t *maxTree) addAt(node, low, high, last int, v float64) {
	if low > last {
		return
	}
	if high <= last {
		t.value[node] += v
		t.added[node] += v
		return
	}
	middle := (low + high) / 2
	t.addAt(2*node, low, middle, last, v)
	t.addAt(2*node+1, middle+1, high, last, v)
	t.value[node] = max(t.value[2*node], t.value[2*node+1]) + t.added[node]
}

// max returns the largest of the elements 0 to last.
func (t *maxTree) max(last int) float64 { return t.maxAt(1, 0, t.size-1, last) }

func (t *maxTree) maxAt(node, low, high, last int) float64 {
	if low > last {
		return -1e18
	}
	if high <= last {
		return t.value[node]
	}
	middle := (low + high) / 2
	return t.added[node] + max(t.maxAt(2*node, low, middle, last), t.maxAt(2*node+1, middle+1, high, last))
}
