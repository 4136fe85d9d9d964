// Package sessionmem divides the memory that a node has for the state of its callers' sessions. It decides only;
// the sessions hold the state.
//
// Half of the budget is set aside for floors: each of the largest number of sessions may hold its floor whatever
// the others hold. The other half is shared, first come: a session may hold of it up to 1/shareDivisor of what is
// still free. What one session holds therefore never ends the room of the others: n sessions that take all
// they can, one after the other, leave (shareDivisor/(shareDivisor+1))^n of the shared half free.
package sessionmem

import "sync"

const (
	// floorFraction is the fraction of the budget that is set aside for floors.
	floorFraction = 0.5
	// shareDivisor is the ratio between the free shared memory and what one session may hold of the shared memory.
	// With 16, a session alone may hold 1/17 of the shared memory, ten sessions leave 55 % of it free and 30 leave
	// 16 %. On a node with 284 MB a session may hold 1.7 MB, so that one message of 1 MiB fits.
	shareDivisor = 16
)

// Verdict is the decision on a reservation.
type Verdict uint8

// Verdicts. A reservation that is not granted changes nothing.
const (
	Granted Verdict = iota
	// SessionFull means that the session would hold more than any session may.
	SessionFull
	// NodeFull means that the sessions of the node hold too much.
	NodeFull
)

// Budget is the memory for the sessions of a node. It is safe for concurrent use.
type Budget struct {
	floor, shared int64

	mu sync.Mutex
	// sharedUsed is what sessions hold above their floors.
	sharedUsed int64
}

// New returns the budget of a node with up to maxSessions sessions.
func New(bytes int64, maxSessions int) *Budget {
	floors := int64(floorFraction * float64(bytes))
	return &Budget{floor: floors / int64(max(maxSessions, 1)), shared: bytes - floors}
}

// Floor returns what a session may hold whatever the others hold.
func (b *Budget) Floor() int64 { return b.floor }

// SessionLimit returns what a session may hold while the others hold no more than their floors.
func (b *Budget) SessionLimit() int64 { return b.floor + b.shared/(shareDivisor+1) }

// Account is what one session holds. It is not safe for concurrent use.
type Account struct {
	budget *Budget
	held   int64
}

// Open returns the account of a new session.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Held returns what the session holds.
func (a *Account) Held() int64 { return a.held }

// Reserve decides whether the session may hold n more bytes. What it already holds stays granted.
func (a *Account) Reserve(n int64) Verdict {
	held := a.held + n
	if held > a.budget.SessionLimit() {
		return SessionFull
	}
	if !a.budget.take(a.excess(held), a.excess(held)-a.excess(a.held)) {
		return NodeFull
	}
	a.held = held
	return Granted
}

// Release gives back n bytes, but no more than the session holds.
func (a *Account) Release(n int64) {
	held := a.held - min(n, a.held)
	a.budget.giveBack(a.excess(a.held) - a.excess(held))
	a.held = held
}

// Close gives back all that the session holds.
func (a *Account) Close() { a.Release(a.held) }

// excess returns what a session that holds the given bytes takes of the shared memory.
func (a *Account) excess(held int64) int64 { return max(0, held-a.budget.floor) }

// take takes n bytes of the shared memory for a session that then holds excess of it.
func (b *Budget) take(excess, n int64) bool {
	if n == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.shared - b.sharedUsed - n
	if excess*shareDivisor > free {
		return false
	}
	b.sharedUsed += n
	return true
}

func (b *Budget) giveBack(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharedUsed -= n
}
