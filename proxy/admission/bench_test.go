package admission

import "testing"

// BenchmarkTake measures taking the token of one request.
func BenchmarkTake(b *testing.B) {
	q := New(&fakeTokens{}, func() {})
	b.ReportAllocs()
	for b.Loop() {
		if !q.Take(0, "driver") {
			b.Fatal("no token")
		}
	}
}

// Guards against memory allocations in Take, which runs for every request.
func TestTakeDoesNotAllocate(t *testing.T) {
	q := New(&fakeTokens{}, func() {})
	if n := testing.AllocsPerRun(100, func() { q.Take(0, "driver") }); n > 0 {
		t.Errorf("%v allocations per request, want 0", n)
	}
}
