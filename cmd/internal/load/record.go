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
	// Answered means that the whole answer came.
	Answered Outcome = iota
	// Refused means an error with a result code that says "not run".
	Refused
	// Failed means an error of the database.
	Failed
	// Unknown means that a write may have run.
	Unknown
	// Unsent means that no connection could be made or the client's queue was full.
	Unsent
	outcomes
)

// String returns the name used in reports.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "unknown", "unsent"}[o]
}

// record is one request; times count from the start of the run.
type record struct {
	team     int
	kind     Kind
	group    int
	outcome  Outcome
	code     rescode.Code
	state    string // SQLSTATE of an error
	at       time.Duration
	taken    time.Duration // by a session
	sent     time.Duration
	done     time.Duration
	intent   *writeIntent // set for writes
	timeline int          // that acknowledged the write
	// expected is the write that an own read looked for.
	expected *writeIntent
	missing  bool // the expected row was not there
	wrong    bool // the answer belongs to another request
	// clock is the value of the clock row, which clock updates write and some
	// tolerant reads read.
	clock int64
}

// writeIntent is what a write was to store.
type writeIntent struct {
	request, team, session string
	number                 int
	lines                  bool
	id                     string
}

// recorder collects records of all sessions.
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

// fault sets the outcome of a request that ended with err.
func (r *record) fault(err error, sent bool) {
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
	r.state = e.Code
	match := codeInDetail.FindStringSubmatch(e.Detail)
	if match == nil {
		r.outcome = failedOr(r.outcome, e.Code)
		return
	}
	n, _ := strconv.ParseUint(match[1], 10, 32)
	r.code = rescode.Code(n)
	if info, ok := rescode.Lookup(r.code); ok && info.Execution == rescode.NotRun {
		r.outcome = Refused
	}
}

// failedOr tells an error of a statement, which has no effect, from one that ends
// the connection and leaves the outcome open (class 08, 57P01).
func failedOr(open Outcome, state string) Outcome {
	if strings.HasPrefix(state, "08") || state == "57P01" {
		return open
	}
	return Failed
}

// latency counts from the scheduled arrival, so that a wait in the client is
// part of it.
func (r *record) latency() time.Duration { return r.done - r.at }
