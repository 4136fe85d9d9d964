package load

import "strings"

// Checks compares what clients were told with what the primaries hold.
type Checks struct {
	Writes       int `json:"writes"`
	Acknowledged int `json:"acknowledged"`
	// Lost writes were acknowledged and are not stored. Routes acknowledged by the
	// primary alone lose what was not replicated at a failover.
	Lost int `json:"lost"`
	// Duplicated writes are stored more than once.
	Duplicated int `json:"doubled"`
	// Mismatched rows hold something that their request did not send, or lack their line.
	Mismatched int `json:"mixed"`
	// FalselyNotRun writes are stored although the client was told that they did
	// not run, or that they failed.
	FalselyNotRun int `json:"falsely_not_run"`
	// StaleOwnReads did not see the session's last write, which is stored.
	StaleOwnReads int `json:"stale_own_reads"`
	// UnreportedLosses are own reads that did not see a write which is lost,
	// although no error had told the session.
	UnreportedLosses int `json:"unreported_losses"`
	// Examples name some of the requests at fault.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds the requests that a report names.
const maxExamples = 10

// Faults is the number of findings that no failover explains.
func (c *Checks) Faults() int {
	return c.Duplicated + c.Mismatched + c.FalselyNotRun + c.StaleOwnReads
}

func (c *Checks) note(count *int, what, request string) {
	*count++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, what+" "+request)
	}
}

// check compares the records of the run with the given id.
func check(id string, records []record, s *stored) *Checks {
	c := &Checks{}
	rows := map[string][]storedRow{}
	for _, row := range s.rows {
		if strings.HasPrefix(row.request, id+"-") {
			rows[row.request] = append(rows[row.request], row)
		}
	}
	sent := map[string]bool{}
	for i := range records {
		r := &records[i]
		if r.intent != nil {
			sent[r.intent.request] = true
			c.checkWrite(r, rows[r.intent.request], s.lines[r.intent.request])
		}
		if r.missing {
			c.checkMissing(r.expected.request, len(rows[r.expected.request]) > 0)
		}
	}
	for request := range rows {
		if !sent[request] {
			c.note(&c.Mismatched, "never sent", request)
		}
	}
	return c
}

func (c *Checks) checkMissing(request string, isStored bool) {
	if isStored {
		c.note(&c.StaleOwnReads, "stale own read", request)
		return
	}
	c.note(&c.UnreportedLosses, "unreported loss", request)
}

func (c *Checks) checkWrite(r *record, rows []storedRow, lines int) {
	c.Writes++
	w := r.intent
	if r.outcome == Answered {
		c.Acknowledged++
		if len(rows) == 0 {
			c.note(&c.Lost, "lost", w.request)
		}
	}
	if (r.outcome == Refused || r.outcome == Failed) && len(rows) > 0 {
		c.note(&c.FalselyNotRun, "falsely not run", w.request)
	}
	if len(rows) > 1 {
		c.note(&c.Duplicated, "doubled", w.request)
	}
	wantLines := 0
	if w.lines {
		wantLines = len(rows)
	}
	want := storedRow{w.request, w.team, w.session, w.number}
	for _, row := range rows {
		if row != want || lines != wantLines {
			c.note(&c.Mismatched, "mixed", w.request)
		}
	}
}
