package proxy

import "sync"

const (
	// initialRetries is a team's budget before it has sent requests; without it the
	// first requests after a start could not be retried at all.
	initialRetries = 10
	// maxSavedRetries bounds the budget saved up while few requests fail.
	maxSavedRetries = 100
)

// retryBudget limits retries to a fraction of each team's requests, so that retries do
// not multiply the load on upstreams that already fail.
type retryBudget struct {
	perRequest float64
	mu         sync.Mutex
	credit     map[string]float64
}

func newRetryBudget(percent int) *retryBudget {
	return &retryBudget{perRequest: float64(percent) / 100, credit: map[string]float64{}}
}

// deposit adds the share of one request to the team's budget.
func (b *retryBudget) deposit(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit[team] = min(b.balance(team)+b.perRequest, maxSavedRetries)
}

// tryWithdraw takes one retry from the budget and returns false if there is none left.
func (b *retryBudget) tryWithdraw(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.balance(team)
	if credit < 1 {
		return false
	}
	b.credit[team] = credit - 1
	return true
}

func (b *retryBudget) balance(team string) float64 {
	if credit, ok := b.credit[team]; ok {
		return credit
	}
	return initialRetries
}
