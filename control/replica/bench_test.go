package replica

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/jayloom/jayloom/api/controlpb"
)

// BenchmarkPropose measures proposals to three replicas with real files that communicate
// over loopback, one at a time and many concurrently.
func BenchmarkPropose(b *testing.B) {
	for _, senders := range []int{1, 64} {
		b.Run(fmt.Sprint("senders=", senders), func(b *testing.B) {
			c := newClusterWithSnapshots(b, 3, defaultSnapshotEntries)
			leader := c.awaitLeader()
			var next atomic.Int64
			b.SetParallelism(senders)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(next.Add(1))
					if _, err := leader.Propose(b.Context(), &controlpb.Command{RequestId: id}); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
