package e2e

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/jayloom/jayloom/standin/audit"
)

const (
	createTable = "CREATE TABLE lot (id int PRIMARY KEY, proxy text)"
	// writeInterval keeps the number of writes of a test in the thousands.
	writeInterval = 4 * time.Millisecond
	// reconnectDelay is the pause of a caller before each attempt to connect.
	reconnectDelay = 20 * time.Millisecond
	// answerTimeout is far above any deadline, so that only a missing answer reaches it.
	answerTimeout = 40 * time.Second
)

// write is one INSERT and its outcome as seen by the caller.
type write struct {
	id             int64
	proxy          string
	started, ended time.Time
	err            error
}

// history records the writes of all callers.
type history struct {
	next                atomic.Int64
	mu                  sync.Mutex
	writes              []write
	acknowledgedByProxy map[string]int
}

func newHistory() *history { return &history{acknowledgedByProxy: map[string]int{}} }

func (h *history) record(w write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
	if w.err == nil {
		h.acknowledgedByProxy[w.proxy]++
	}
}

func (h *history) recordedWrites() []write {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]write(nil), h.writes...)
}

// acknowledged returns the number of writes that a proxy acknowledged.
func (h *history) acknowledged(proxy string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acknowledgedByProxy[proxy]
}

// insert writes one row and records the outcome.
func (h *history) insert(ctx context.Context, conn *pgx.Conn, proxy string) write {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	w := write{id: h.next.Add(1), proxy: proxy, started: time.Now()}
	_, w.err = conn.Exec(ctx, fmt.Sprintf("INSERT INTO lot VALUES (%d, '%s')", w.id, proxy))
	w.ended = time.Now()
	h.record(w)
	return w
}

// beginInsert writes one row in a transaction that stays open, and returns the row's ID.
func (h *history) beginInsert(t *testing.T, conn *pgx.Conn, proxy string) int64 {
	t.Helper()
	id := h.next.Add(1)
	exec(t, conn, "BEGIN")
	exec(t, conn, fmt.Sprintf("INSERT INTO lot VALUES (%d, '%s')", id, proxy))
	return id
}

// commit commits a transaction of beginInsert and records the outcome.
func (h *history) commit(ctx context.Context, conn *pgx.Conn, proxy string, id int64) write {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	w := write{id: id, proxy: proxy, started: time.Now()}
	_, w.err = conn.Exec(ctx, "COMMIT")
	w.ended = time.Now()
	h.record(w)
	return w
}

// startWriters starts callers that write through the proxies until stop is called.
func (h *history) startWriters(d *Deployment, writers int, proxies ...*Proxy) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, p := range proxies {
		for range writers {
			running.Go(func() { h.runWriter(ctx, d, p) })
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (h *history) runWriter(ctx context.Context, d *Deployment, p *Proxy) {
	for pause(ctx, reconnectDelay) {
		conn, err := d.Connect(ctx, p)
		if err != nil {
			continue
		}
		for pause(ctx, writeInterval) && !conn.IsClosed() {
			h.insert(ctx, conn, p.Name)
		}
		closeConn(conn)
	}
}

// pause waits for d and returns true, or returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func closeConn(conn *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	// The connection is abandoned either way.
	_ = conn.Close(ctx)
}

func connect(t *testing.T, d *Deployment, p *Proxy, options ...string) *pgx.Conn {
	t.Helper()
	var conn *pgx.Conn
	d.WaitFor("a connection to "+p.Name, func() bool {
		var err error
		conn, err = d.Connect(t.Context(), p, options...)
		return err == nil
	})
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	if _, err := conn.Exec(t.Context(), sql); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

var (
	insertPattern = regexp.MustCompile(`INSERT INTO lot VALUES \((\d+),`)
	codePattern   = regexp.MustCompile(`jayloom code (\d+)`)
)

// committedInsertID returns the row ID of an INSERT that was committed.
func committedInsertID(e audit.Entry) (int64, bool) {
	id, ok := insertID(e)
	return id, ok && e.Outcome == audit.Committed && (e.SQLState == "" || e.SQLState == "00000")
}

// insertID returns the row ID of an INSERT, whatever its outcome.
func insertID(e audit.Entry) (int64, bool) {
	match := insertPattern.FindStringSubmatch(e.Statement)
	if match == nil {
		return 0, false
	}
	id, err := strconv.ParseInt(match[1], 10, 64)
	return id, err == nil
}

// committedOn returns how often a stand-in itself committed each write, by row ID.
func committedOn(d *Deployment, s *StandIn) map[int64]int {
	ids := map[int64]int{}
	for _, e := range d.Audit(s) {
		if id, ok := committedInsertID(e); ok {
			ids[id]++
		}
	}
	return ids
}

// resultCode returns the result code of a refusal, 0 when the error has none.
func resultCode(err error) int {
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		return 0
	}
	match := codePattern.FindStringSubmatch(refused.Detail)
	if match == nil {
		return 0
	}
	code, _ := strconv.Atoi(match[1])
	return code
}

// isRefusedAsNotRun reports whether a refusal states that the request did not run.
func isRefusedAsNotRun(err error) bool {
	var refused *pgconn.PgError
	return errors.As(err, &refused) && strings.Contains(refused.Detail, "(not run)")
}

// termStartTime returns when the promotion that began a term was complete.
func termStartTime(t *testing.T, d *Deployment, term uint64) time.Time {
	t.Helper()
	for _, e := range d.Events(Group) {
		if strings.HasSuffix(e.Text, fmt.Sprintf("is primary in term %d", term)) {
			return time.UnixMilli(e.UnixMs)
		}
	}
	t.Fatalf("no event reports the start of term %d", term)
	return time.Time{}
}

// checkNoAcknowledgementAfter fails for each write that the replaced primary committed and
// that was acknowledged after the next term had begun.
func checkNoAcknowledgementAfter(t *testing.T, d *Deployment, h *history, replaced *StandIn, began time.Time) {
	t.Helper()
	ids := committedOn(d, replaced)
	violations := 0
	for _, w := range h.recordedWrites() {
		if w.err == nil && ids[w.id] > 0 && w.ended.After(began) {
			violations++
			if violations <= 5 {
				t.Errorf("%s acknowledged write %d of replaced %s %v after the next term began",
					w.proxy, w.id, replaced.Name, w.ended.Sub(began))
			}
		}
	}
	if violations > 0 {
		t.Errorf("%d writes of replaced %s were acknowledged after the next term began", violations, replaced.Name)
	}
}

// checkAcknowledgedWrites fails for acknowledged writes that were not committed exactly
// once, and for writes that were refused as not run and were committed.
func checkAcknowledgedWrites(t *testing.T, d *Deployment, h *history) {
	t.Helper()
	runs := map[int64]int{}
	for _, s := range d.StandIns {
		for id, n := range committedOn(d, s) {
			runs[id] += n
		}
	}
	for _, w := range h.recordedWrites() {
		switch {
		case w.err == nil && runs[w.id] != 1:
			t.Errorf("write %d was acknowledged by %s and ran %d times", w.id, w.proxy, runs[w.id])
		case isRefusedAsNotRun(w.err) && runs[w.id] != 0:
			t.Errorf("write %d ran although %s refused it as not run: %v", w.id, w.proxy, w.err)
		}
	}
}
