package fleet

import (
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Slots and the work of a statement, near those of the sheet: 3 slots, and 8 ms on average for the requests that write.
const (
	slots            = 3
	minWork, maxWork = 4 * time.Millisecond, 12 * time.Millisecond
)

// LimitSlots gives a server the slots of the sheet.
func LimitSlots(s *standin.Server) { s.SetSlots(slots, minWork, maxWork) }

// RecordRuns writes each statement that a server of the group runs to the record, and limits the slots of its servers.
func RecordRuns(r *Record, g *standin.Group) {
	for _, s := range g.Servers() {
		LimitSlots(s)
	}
	g.OnExecution(func(e standin.Execution) {
		r.Detail("server %s: ran %s, digest %s", e.Server, e.Text, e.Digest)
	})
}
