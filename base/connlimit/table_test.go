package connlimit

import (
	"testing"
	"time"
)

// Guards against a crowd of one address that keeps clients of other addresses out, or closes their connections.
func TestCrowdOfOneAddressClosesItsOwn(t *testing.T) {
	table := NewTable(10)
	other, _, _ := table.Add("other", 0)
	for range 100 {
		if _, victim, ok := table.Add("crowd", 0); !ok || victim == other {
			t.Fatalf("victim %d, admitted %t", victim, ok)
		}
	}
	if _, victim, ok := table.Add("new", 0); !ok || victim == other {
		t.Errorf("victim %d, admitted %t", victim, ok)
	}
	if table.Len() != 10 {
		t.Errorf("%d connections, want 10", table.Len())
	}
}

// Guards against requests that are cut while they are served, and against a protection without end.
func TestProtectedConnectionsAreKept(t *testing.T) {
	table := NewTable(2)
	first, _, _ := table.Add("a", 0)
	second, _, _ := table.Add("a", 0)
	table.Protect(first, time.Second)
	if _, victim, _ := table.Add("a", 0); victim != second {
		t.Errorf("victim %d, want %d", victim, second)
	}
	if _, victim, _ := table.Add("a", time.Second); victim != first {
		t.Errorf("victim %d, want %d", victim, first)
	}
	full := NewTable(1)
	id, _, _ := full.Add("a", 0)
	full.Protect(id, time.Second)
	if _, _, ok := full.Add("b", 0); ok {
		t.Error("a connection above the bound was admitted")
	}
}
