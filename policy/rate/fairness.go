package rate

// fairness divides the refill of a bucket equally among the accounts that want more
// than they have. Without it the order of reports would decide who is served: the
// accounts that report just after a refill would take it.
type fairness struct {
	// level is what each account would have been given since the first one joined.
	level float64
	// servedSum sums served over the accounts that joined.
	servedSum float64
}

// refilled divides new tokens among the accounts that joined.
func (f *fairness) refilled(tokens float64, accounts int) {
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

func (f *fairness) granted(a *account, tokens int64) {
	a.served += float64(tokens)
	f.servedSum += float64(tokens)
}

// part is how many tokens of the bucket an account that joined may take: its part
// of the refill with all that is nobody's part, or an equal part of the bucket if
// that is more, so that tokens are not kept for accounts that do not ask for them.
func (f *fairness) part(a *account, bucket float64, accounts int) int64 {
	due := f.level - a.served
	allDue := f.level*float64(accounts) - f.servedSum
	part := int64(max(due+max(0, bucket-allDue), bucket/float64(max(1, accounts))))
	if part < 1 && due*float64(accounts) >= allDue-1e-6 {
		// Parts of less than one token go to the accounts that are owed most.
		return 1
	}
	return part
}
