package rate

// fairness divides the refill of a bucket equally among the accounts with unmet demand.
// Without it the order of reports would decide who is served: the accounts that report
// just after a refill would take it.
type fairness struct {
	// level is the number of tokens that an account which joined at the start is entitled
	// to so far.
	level float64
	// servedSum is the sum of served over the joined accounts.
	servedSum float64
}

// addRefill divides new tokens among the joined accounts.
func (f *fairness) addRefill(tokens float64, accounts int) {
	if accounts > 0 && tokens > 0 {
		f.level += tokens / float64(accounts)
	}
}

func (f *fairness) join(a *account) {
	a.served = f.level
	f.servedSum += a.served
}

func (f *fairness) leave(a *account, remaining int) {
	f.servedSum -= a.served
	if remaining == 0 {
		*f = fairness{}
	}
}

func (f *fairness) recordGrant(a *account, tokens int64) {
	a.served += float64(tokens)
	f.servedSum += float64(tokens)
}

// entitlement returns how many tokens of the bucket a joined account may take: its part
// of the refill plus all that is owed to no account, or an equal part of the bucket if
// that is more, so that tokens are not kept for accounts that do not ask for them.
func (f *fairness) entitlement(a *account, bucket float64, accounts int) int64 {
	owed := f.level - a.served
	totalOwed := f.level*float64(accounts) - f.servedSum
	tokens := int64(max(owed+max(0, bucket-totalOwed), bucket/float64(max(1, accounts))))
	if tokens < 1 && owed*float64(accounts) >= totalOwed-1e-6 {
		// Parts of less than one token go to the accounts that are owed most.
		return 1
	}
	return tokens
}
