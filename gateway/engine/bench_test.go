package engine

import (
	"math"
	"strings"
	"testing"
)

// BenchmarkExecuteWarm measures an EXECUTE on a connection on which its statement is prepared.
func BenchmarkExecuteWarm(b *testing.B) {
	for _, c := range []struct {
		name  string
		shape string
	}{{"short", "q2"}, {"4KB", strings.Repeat("q", 4<<10)}} {
		b.Run(c.name, func(b *testing.B) {
			s := newTestNode(b)
			s.gate.left = math.MaxInt
			s.servers["p"].keepsNoRuns = true
			session := s.open("intake", "key")
			s.mustSucceed(session, prepare("s1", true, c.shape))
			st := execute("1", "s1", "lot x")
			s.mustSucceed(session, st)
			b.ResetTimer()
			for range b.N {
				s.mustSucceed(session, st)
			}
		})
	}
}
