package load

import (
	"slices"
	"time"

	"github.com/jayloom/jayloom/api/rescode"
)

// tokenUse is a request as the token bucket of its team accounts for it.
type tokenUse struct {
	sent, done time.Duration
	cost       float64
	refused    bool
}

// tokenUses returns the team's requests that took tokens or were refused by the
// rate limit.
func tokenUses(records []record, team int, transactionCost float64) []tokenUse {
	var list []tokenUse
	for _, r := range records {
		limited := r.code == rescode.RateExceeded
		if r.team != team || r.outcome == Unsent || r.outcome == Refused && !limited {
			continue
		}
		u := tokenUse{sent: r.sent, done: r.done, cost: 1, refused: limited}
		if r.kind == TransactionWrite {
			u.cost = transactionCost
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b tokenUse) int { return int(a.sent - b.sent) })
	return list
}

// countWrongfulRefusals counts the refusals at which a bucket of this rate and
// burst still held enough tokens. The bucket refills with time and is drained by
// the requests that ran.
func countWrongfulRefusals(list []tokenUse, rate, burst float64) int {
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

// maxOvershoot returns the largest number of tokens used above rate × w + burst in
// any window w, or 0. A request counts in a window only if it was sent and answered
// inside it, so the result never overstates the excess.
func maxOvershoot(list []tokenUse, rate, burst float64) float64 {
	var granted []tokenUse
	for _, u := range list {
		if !u.refused {
			granted = append(granted, u)
		}
	}
	if len(granted) == 0 {
		return 0
	}
	// Only windows that start when a request is sent and end when one is answered
	// need checking. The tree holds rate × start + the cost inside for each start.
	tree := newMaxTree(len(granted), func(i int) float64 { return rate * granted[i].sent.Seconds() })
	order := make([]int, len(granted))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(granted[a].done - granted[b].done) })
	worst := 0.0
	for _, i := range order {
		tree.addToPrefix(i, granted[i].cost)
		worst = max(worst, tree.prefixMax(i)-rate*granted[i].done.Seconds()-burst)
	}
	return worst
}

// maxTree is a segment tree with addition to a prefix and maximum of a prefix.
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

// addToPrefix adds v to the elements 0 to last.
func (t *maxTree) addToPrefix(last int, v float64) { t.addToPrefixAt(1, 0, t.size-1, last, v) }

func (t *maxTree) addToPrefixAt(node, low, high, last int, v float64) {
	if low > last {
		return
	}
	if high <= last {
		t.value[node] += v
		t.added[node] += v
		return
	}
	middle := (low + high) / 2
	t.addToPrefixAt(2*node, low, middle, last, v)
	t.addToPrefixAt(2*node+1, middle+1, high, last, v)
	t.value[node] = max(t.value[2*node], t.value[2*node+1]) + t.added[node]
}

// prefixMax returns the largest of the elements 0 to last.
func (t *maxTree) prefixMax(last int) float64 { return t.prefixMaxAt(1, 0, t.size-1, last) }

func (t *maxTree) prefixMaxAt(node, low, high, last int) float64 {
	if low > last {
		return -1e18
	}
	if high <= last {
		return t.value[node]
	}
	middle := (low + high) / 2
	return t.added[node] + max(t.prefixMaxAt(2*node, low, middle, last), t.prefixMaxAt(2*node+1, middle+1, high, last))
}
