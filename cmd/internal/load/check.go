package load

import "strings"

// Checks holds the differences between what clients were told and what the
// primaries store.
type Checks struct {
	Writes       int `json:"writes"`
	Acknowledged int `json:"acknowledged"`
	// Lost counts writes that were acknowledged and are not stored. Routes whose
	// writes only the primary acknowledges lose unreplicated writes at a failover.
	Lost int `json:"lost"`
	// Duplicated counts writes that are stored more than once.
	Duplicated int `json:"doubled"`
	// Mismatched counts rows that differ from what their request sent or lack their
	// line.
	Mismatched int `json:"mixed"`
	// FalselyNotRun counts writes that are stored although the client was told that
	// they did not run or failed.
	FalselyNotRun int `json:"falsely_not_run"`
	// StaleOwnReads counts reads that did not see the session's last write, which is
	// stored.
	StaleOwnReads int `json:"stale_own_reads"`
	// UnreportedLosses counts read-your-writes reads that did not see a lost write
	// although no error had reported the loss to the session.
	UnreportedLosses int `json:"unreported_losses"`
	// Examples names some of the affected requests, with the finding.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 10

// Faults returns the number of findings that a failover cannot explain.
func (c *Checks) Faults() int {
	return c.Duplicated + c.Mismatched + c.FalselyNotRun + c.StaleOwnReads
}

func (c *Checks) addFinding(count *int, what, request string) {
	*count++
	if len(c.Examples) < maxExamples {
		c.Examples = append(c.Examples, what+" "+request)
	}
}

// checkRecords compares the records of the run with this id with the stored data.
func checkRecords(id string, records []record, s *storedData) *Checks {
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
			c.checkWrite(r, rows[r.intent.request], s.lineCounts[r.intent.request])
		}
		if r.rowMissing {
			c.checkMissedRead(r.expected.request, len(rows[r.expected.request]) > 0)
		}
	}
	for request := range rows {
		if !sent[request] {
			c.addFinding(&c.Mismatched, "never sent", request)
		}
	}
	return c
}

func (c *Checks) checkMissedRead(request string, isStored bool) {
	if isStored {
		c.addFinding(&c.StaleOwnReads, "stale own read", request)
		return
	}
	c.addFinding(&c.UnreportedLosses, "unreported loss", request)
}

func (c *Checks) checkWrite(r *record, rows []storedRow, lines int) {
	c.Writes++
	w := r.intent
	if r.outcome == Answered {
		c.Acknowledged++
		if len(rows) == 0 {
			c.addFinding(&c.Lost, "lost", w.request)
		}
	}
	if (r.outcome == Refused || r.outcome == Failed) && len(rows) > 0 {
		c.addFinding(&c.FalselyNotRun, "falsely not run", w.request)
	}
	if len(rows) > 1 {
		c.addFinding(&c.Duplicated, "doubled", w.request)
	}
	wantLines := 0
	if w.hasLine {
		wantLines = len(rows)
	}
	want := storedRow{w.request, w.team, w.session, w.sequence}
	for _, row := range rows {
		if row != want || lines != wantLines {
			c.addFinding(&c.Mismatched, "mixed", w.request)
		}
	}
}
