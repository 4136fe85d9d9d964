package proxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/guard"
	"github.com/jayloom/jayloom/base/lsn"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/wire"
)

// Statements that the proxy sends on its own behalf.
const (
	sqlReset         = "DISCARD ALL"
	sqlReadOnly      = "SET default_transaction_read_only = on"
	sqlReadWrite     = "SET default_transaction_read_only = off"
	sqlWritePosition = "SELECT pg_current_wal_insert_lsn()"
	sqlReadPosition  = "SELECT pg_last_wal_replay_lsn(), timeline_id FROM pg_control_checkpoint()"
	// sqlAbort is not valid SQL; its error puts a transaction into the failed state.
	sqlAbort = "JAYLOOM_REFUSED"
)

// systemTeam is the team under which the proxy's own statements wait in the fair queues.
const systemTeam = ""

// internalResult is the result of one statement that the proxy sent on its own behalf.
type internalResult struct {
	columns  []string
	tag      string
	failed   bool
	sqlState string
	txStatus byte
}

// readInternalResult reads the result of one simple query of the proxy.
func readInternalResult(conn *upstreamConn) (internalResult, error) {
	var answer internalResult
	for {
		frame, err := conn.rd.Next()
		if err != nil {
			return answer, err
		}
		switch frame.Type {
		case 'D':
			answer.columns = parseRow(frame.Body())
		case 'C':
			answer.tag = string(bytes.TrimRight(frame.Body(), "\x00"))
		case 'E':
			answer.failed = true
			answer.sqlState = errorField(frame.Body(), 'C')
		case 'Z':
			if len(frame.Body()) != 1 {
				return answer, wire.ErrMalformed
			}
			answer.txStatus = frame.Body()[0]
			return answer, nil
		}
	}
}

// errorField returns one field of an ErrorResponse.
func errorField(body []byte, kind byte) string {
	for _, field := range bytes.Split(body, []byte{0}) {
		if len(field) > 0 && field[0] == kind {
			return string(field[1:])
		}
	}
	return ""
}

// parseRow returns the text columns of a DataRow; NULL becomes the empty string.
func parseRow(body []byte) []string {
	if len(body) < 2 {
		return nil
	}
	count := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	var columns []string
	for range count {
		if len(body) < 4 {
			return nil
		}
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size > len(body) {
			return nil
		}
		size = max(size, 0)
		columns = append(columns, string(body[:size]))
		body = body[size:]
	}
	return columns
}

// replicaPosition is the replay position and timeline that a replica reports.
type replicaPosition struct {
	lsn      uint64
	timeline uint32
}

func (a internalResult) replicaPosition() (replicaPosition, error) {
	if a.failed || len(a.columns) != 2 {
		return replicaPosition{}, errors.New("invalid answer to the position query on the replica")
	}
	position, err := lsn.Parse(a.columns[0])
	if err != nil {
		return replicaPosition{}, err
	}
	timeline, err := strconv.ParseUint(a.columns[1], 10, 32)
	return replicaPosition{lsn: position, timeline: uint32(timeline)}, err
}

func (a internalResult) writePosition() (uint64, error) {
	if a.failed || len(a.columns) != 1 {
		return 0, errors.New("invalid answer to the position query on the primary")
	}
	return lsn.Parse(a.columns[0])
}

// runInternal sends one statement of the proxy on a connection and reads its result.
func runInternal(conn *upstreamConn, sql string) (internalResult, error) {
	conn.query(sql)
	if _, err := conn.send(); err != nil {
		return internalResult{}, err
	}
	return readInternalResult(conn)
}

// runInternalClean resets a connection first if settings of its last session, such as
// search_path, could change the meaning of the statement.
func runInternalClean(conn *upstreamConn, sql string) (internalResult, error) {
	if !conn.tainted {
		return runInternal(conn, sql)
	}
	conn.query(sqlReset)
	conn.clearSessionState()
	conn.query(sql)
	if _, err := conn.send(); err != nil {
		return internalResult{}, err
	}
	if answer, err := readInternalResult(conn); err != nil || answer.failed {
		return answer, errors.CombineErrors(err, errors.New("cannot reset the connection"))
	}
	return readInternalResult(conn)
}

// runInternalOnPool runs a statement on a connection of the pool. It skips connections
// that the upstream has closed.
func runInternalOnPool(ctx context.Context, p *pool, sql string) (internalResult, error) {
	for {
		answer, err := tryInternalOnPool(ctx, p, sql)
		if !errors.Is(err, wire.ErrStaleConn) || ctx.Err() != nil {
			return answer, err
		}
	}
}

func tryInternalOnPool(ctx context.Context, p *pool, sql string) (internalResult, error) {
	conn, refused := p.acquire(ctx, connOwner{team: systemTeam})
	if refused != nil {
		return internalResult{}, refused
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.net.Close() })
	answer, err := runInternalClean(conn, sql)
	if !stop() || err != nil {
		p.discard(conn)
		return answer, errors.CombineErrors(err, ctx.Err())
	}
	p.release(conn)
	return answer, nil
}

// barrier asks the primary of a group for its position, with one position query for all
// requests that wait. A query answers only the requests that were waiting before it was
// sent.
type barrier struct {
	server *Server
	group  string
	mu     sync.Mutex
	// next is the batch of the next query; requests join it while a query runs.
	next    *barrierBatch
	running bool
}

type barrierBatch struct {
	done     chan struct{}
	position session.Position
	err      error
}

// barrierTimeout bounds one position query.
const barrierTimeout = time.Second

// wait returns a position that is at or above every write acknowledged before the call.
func (b *barrier) wait(ctx context.Context) (session.Position, error) {
	metricBarrierRequests.Inc()
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrierBatch{done: make(chan struct{})}
	}
	batch := b.next
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-batch.done:
		return batch.position, batch.err
	case <-ctx.Done():
		return session.Position{}, ctx.Err()
	}
}

func (b *barrier) run() {
	for {
		b.mu.Lock()
		batch := b.next
		b.next = nil
		if batch == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		metricBarrierBatches.Inc()
		batch.position, batch.err = b.queryPosition()
		close(batch.done)
	}
}

func (b *barrier) queryPosition() (session.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	target, err := b.server.leasedPrimary(ctx, b.group)
	if err != nil {
		return session.Position{}, err
	}
	answer, queryErr := runInternalOnPool(ctx, target.pool, sqlWritePosition)
	if queryErr != nil {
		return session.Position{}, queryErr
	}
	written, parseErr := answer.writePosition()
	if parseErr != nil {
		return session.Position{}, parseErr
	}
	if !b.server.leaseValid(target) {
		return session.Position{}, errors.New("the primary lease expired during the position query")
	}
	return session.Position{Group: b.group, Term: target.term, LSN: written}, nil
}

// replayConfirmer waits until a replica of a group has replayed a position. One loop
// polls the replicas for all waiters.
type replayConfirmer struct {
	server  *Server
	group   string
	mu      sync.Mutex
	waiting map[*replayWaiter]struct{}
	running bool
}

type replayWaiter struct {
	position session.Position
	done     chan struct{}
}

// replayPollInterval is the pause between two polls of the replicas.
const replayPollInterval = 2 * time.Millisecond

// wait returns an error if no replica reaches the position before ctx ends.
func (c *replayConfirmer) wait(ctx context.Context, position session.Position) error {
	w := &replayWaiter{position: position, done: make(chan struct{})}
	c.mu.Lock()
	c.waiting[w] = struct{}{}
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, w)
	return ctx.Err()
}

func (c *replayConfirmer) run() {
	for c.updateRunning() {
		if !c.pollReplicas() {
			time.Sleep(replayPollInterval)
		}
	}
}

// updateRunning clears running when nothing waits, and returns it.
func (c *replayConfirmer) updateRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = len(c.waiting) > 0
	return c.running
}

// pollReplicas asks the replicas for their positions, the most advanced first, until one
// ends a wait.
func (c *replayConfirmer) pollReplicas() bool {
	defer guard.Recover(c.server.opts.Log, "question for the position of a replica")
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	for _, p := range c.server.replicaPools(c.group) {
		metricReplicaQueries.Inc()
		answer, err := runInternalOnPool(ctx, p, sqlReadPosition)
		if err != nil {
			continue
		}
		at, err := answer.replicaPosition()
		if err == nil && c.confirmReached(at) {
			return true
		}
	}
	return false
}

// confirmReached ends the waits whose position a replica has reached.
func (c *replayConfirmer) confirmReached(at replicaPosition) bool {
	group, ok := c.server.view.Current().Groups[c.group]
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	served := false
	for w := range c.waiting {
		if session.HasReached(group.History, w.position, at.lsn, at.timeline) {
			close(w.done)
			delete(c.waiting, w)
			served = true
		}
	}
	return served
}
