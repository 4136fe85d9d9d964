package engine

import (
	"strconv"
	"testing"
)

// Guards against a session with many values whose statements and their replies block each other, and against values
// that are missing or left behind when they are set in several writes.
func TestManyValuesAreSetInParts(t *testing.T) {
	const count = 3 * maxSetupBatch
	s := newTestNode(t)
	session, other := s.open("intake", "key"), s.open("intake", "key")
	for i := range count {
		s.mustSucceed(session, Statement{ID: "v", Kind: SetValue, Name: "n" + strconv.Itoa(i), Value: strconv.Itoa(i)})
	}
	s.mustSucceed(session, write("1"))
	s.mustSucceed(other, write("2"))
	s.mustSucceed(session, write("3"))
	for i, want := range []int{count, 0, count} {
		values := s.servers["p"].runs()[i].values
		if len(values) != want || (want > 0 && values["n700"] != "700") {
			t.Errorf("write %d ran with %d values, want %d", i+1, len(values), want)
		}
	}
	if got := s.servers["p"].largestBatch; got > maxSetupBatch {
		t.Errorf("%d statements were sent at once", got)
	}
}
