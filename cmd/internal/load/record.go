package load

import (
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/api/rescode"
)

// Outcome is how a request ended for the client.
type Outcome uint8

// Outcomes.
const (
	// Answered means that the complete answer was received.
	Answered Outcome = iota
	// Refused means an error whose result code says that the request did not run.
	Refused
	// Failed means a database error after which nothing was stored.
	Failed
	// Unknown means that the request may have run.
	Unknown
	// Unsent means that no connection could be made or the team's queue was full.
	Unsent
	numOutcomes
)

// String returns the name used in reports.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "unknown", "unsent"}[o]
}

// record is one request. Its times are relative to the start of the run.
type record struct {
	team      int
	kind      Kind
	group     int
	outcome   Outcome
	code      rescode.Code
	sqlState  string // of the error
	scheduled time.Duration
	dequeued  time.Duration // time when a session took it from the queue
	sent      time.Duration
	done      time.Duration
	intent    *writeIntent // set for writes
	timeline  int          // of the upstream that answered
	// expected is the write that a read-your-writes read looked for.
	expected    *writeIntent
	rowMissing  bool // the expected row was not found
	wrongAnswer bool // the answer belongs to another request
	// clockValue is the value of the clock row that a clock update wrote or a
	// bounded-staleness read returned.
	clockValue int64
}

// writeIntent is the data that a write request sends.
type writeIntent struct {
	request, team, session string
	sequence               int
	hasLine                bool
	rowID                  string
}

// recorder collects the records of all sessions.
type recorder struct {
	mu      sync.Mutex
	records []record
}

func (r *recorder) add(rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

var codeInDetail = regexp.MustCompile(`jayloom code (\d+)`)

// setError sets outcome, result code and SQLSTATE of a request that ended with err.
func (r *record) setError(err error, sent bool) {
	r.outcome = Unsent
	if sent {
		r.outcome = Unknown
	}
	if sent && errors.Is(err, errNotCommitted) {
		r.outcome = Failed
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return
	}
	r.sqlState = e.Code
	match := codeInDetail.FindStringSubmatch(e.Detail)
	if match == nil {
		r.outcome = outcomeOfSQLState(r.outcome, e.Code)
		return
	}
	n, _ := strconv.ParseUint(match[1], 10, 32)
	r.code = rescode.Code(n)
	if info, ok := rescode.Lookup(r.code); ok && info.Execution == rescode.NotRun {
		r.outcome = Refused
	}
}

// outcomeOfSQLState returns Failed for the error of a statement, which has no effect,
// and unresolved for an error that ends the connection and leaves the outcome unknown
// (class 08, 57P01).
func outcomeOfSQLState(unresolved Outcome, state string) Outcome {
	if strings.HasPrefix(state, "08") || state == "57P01" {
		return unresolved
	}
	return Failed
}

// latency returns the time from the scheduled arrival to the answer. It includes the
// wait in the client.
func (r *record) latency() time.Duration { return r.done - r.scheduled }
