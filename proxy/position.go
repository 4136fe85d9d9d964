package proxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jayloom/jayloom/base/lsn"
	"github.com/jayloom/jayloom/policy/session"
	"github.com/jayloom/jayloom/proxy/wire"
)

// Statements that the proxy itself sends.
const (
	sqlReset         = "DISCARD ALL"
	sqlReadOnly      = "SET default_transaction_read_only = on"
	sqlReadWrite     = "SET default_transaction_read_only = off"
	sqlWritePosition = "SELECT pg_current_wal_insert_lsn()"
	sqlReadPosition  = "SELECT pg_last_wal_replay_lsn(), timeline_id FROM pg_control_checkpoint()"
	// sqlAbort is no statement; its error puts a transaction into the failed state.
	sqlAbort = "JAYLOOM_REFUSED"
)

// systemTeam is the account of the proxy's own questions in the fair queues.
const systemTeam = ""

// internalAnswer is the answer to one statement of the proxy itself.
type internalAnswer struct {
	columns  []string
	tag      string
	failed   bool
	sqlState string
	txStatus byte
}

// readInternal reads the answer to one simple query of the proxy.
func readInternal(conn *upstreamConn) (internalAnswer, error) {
	var answer internalAnswer
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

// parseRow reads the text columns of a DataRow; null reads as empty.
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

// replicaPosition is what a replica says of itself.
type replicaPosition struct {
	lsn      uint64
	timeline uint32
}

func (a internalAnswer) replicaPosition() (replicaPosition, error) {
	if a.failed || len(a.columns) != 2 {
		return replicaPosition{}, errors.New("the replica did not answer with its position")
	}
	position, err := lsn.Parse(a.columns[0])
	if err != nil {
		return replicaPosition{}, err
	}
	timeline, err := strconv.ParseUint(a.columns[1], 10, 32)
	return replicaPosition{lsn: position, timeline: uint32(timeline)}, err
}

func (a internalAnswer) writePosition() (uint64, error) {
	if a.failed || len(a.columns) != 1 {
		return 0, errors.New("the primary did not answer with its position")
	}
	return lsn.Parse(a.columns[0])
}

// ask sends one statement of the proxy on a connection and reads its answer.
func ask(conn *upstreamConn, sql string) (internalAnswer, error) {
	conn.query(sql)
	if _, err := conn.send(); err != nil {
		return internalAnswer{}, err
	}
	return readInternal(conn)
}

// askClean asks on a connection whose last borrower's settings, such as search_path,
// could give the question another meaning.
func askClean(conn *upstreamConn, sql string) (internalAnswer, error) {
	if !conn.tainted {
		return ask(conn, sql)
	}
	conn.query(sqlReset)
	conn.clearSessionState()
	conn.query(sql)
	if _, err := conn.send(); err != nil {
		return internalAnswer{}, err
	}
	if answer, err := readInternal(conn); err != nil || answer.failed {
		return answer, errors.CombineErrors(err, errors.New("the connection could not be reset"))
	}
	return readInternal(conn)
}

// askShared asks on a connection of the pool and gives it back. Connections that the
// upstream has closed are passed over.
func askShared(ctx context.Context, p *pool, sql string) (internalAnswer, error) {
	for {
		answer, err := askOnce(ctx, p, sql)
		if !errors.Is(err, wire.ErrStaleConn) || ctx.Err() != nil {
			return answer, err
		}
	}
}

func askOnce(ctx context.Context, p *pool, sql string) (internalAnswer, error) {
	conn, refused := p.acquire(ctx, borrower{team: systemTeam})
	if refused != nil {
		return internalAnswer{}, refused
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.net.Close() })
	answer, err := askClean(conn, sql)
	if !stop() || err != nil {
		p.discard(conn)
		return answer, errors.CombineErrors(err, ctx.Err())
	}
	p.release(conn)
	return answer, nil
}

// barrier asks the primary of a group for its position, once for all who wait. A
// question answers only those who asked before it was sent.
type barrier struct {
	server *Server
	group  string
	mu     sync.Mutex
	// next is the batch that is asked after the running one.
	next    *barrierBatch
	running bool
}

type barrierBatch struct {
	done     chan struct{}
	position session.Position
	err      error
}

// barrierTimeout bounds one question.
const barrierTimeout = time.Second

// ask returns a position that every write acknowledged before the call is below.
func (b *barrier) ask(ctx context.Context) (session.Position, error) {
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
		batch.position, batch.err = b.question()
		close(batch.done)
	}
}

func (b *barrier) question() (session.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	target, err := b.server.leasedPrimary(ctx, b.group)
	if err != nil {
		return session.Position{}, err
	}
	answer, askErr := askShared(ctx, target.pool, sqlWritePosition)
	if askErr != nil {
		return session.Position{}, askErr
	}
	written, parseErr := answer.writePosition()
	if parseErr != nil {
		return session.Position{}, parseErr
	}
	if !b.server.leaseValid(target) {
		return session.Position{}, errors.New("the primary lease ended during the question")
	}
	return session.Position{Group: b.group, Term: target.term, LSN: written}, nil
}

// confirmer waits until a replica of a group has replayed a position. One loop asks
// the replicas for all who wait.
type confirmer struct {
	server  *Server
	group   string
	mu      sync.Mutex
	waiting map[*confirmWaiter]struct{}
	running bool
}

type confirmWaiter struct {
	position session.Position
	done     chan struct{}
}

// confirmPause is the time between questions while somebody waits.
const confirmPause = 2 * time.Millisecond

// wait returns an error when no replica has the position before ctx ends.
func (c *confirmer) wait(ctx context.Context, position session.Position) error {
	w := &confirmWaiter{position: position, done: make(chan struct{})}
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

func (c *confirmer) run() {
	for c.anyWaiting() {
		if !c.questionAll() {
			time.Sleep(confirmPause)
		}
	}
}

func (c *confirmer) anyWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = len(c.waiting) > 0
	return c.running
}

// questionAll asks the replicas, the most advanced first, until one serves somebody.
func (c *confirmer) questionAll() bool {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	for _, p := range c.server.replicaPools(c.group) {
		metricReplicaQueries.Inc()
		answer, err := askShared(ctx, p, sqlReadPosition)
		if err != nil {
			continue
		}
		at, err := answer.replicaPosition()
		if err == nil && c.serve(at) {
			return true
		}
	}
	return false
}

// serve ends the wait of those whose position a replica holds.
func (c *confirmer) serve(at replicaPosition) bool {
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
