package node

import (
	"context"
	"encoding/gob"
	"net"
	"regexp"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/commitlog"
)

const (
	// retryInterval is the delay before the next attempt to stream. PostgreSQL
	// waits 5 s (wal_retrieve_retry_interval), which is too slow for tests.
	retryInterval = 200 * time.Millisecond
	// connectTimeout limits one attempt to connect to the primary.
	connectTimeout = 2 * time.Second
	// receiveTimeout ends a stream that delivers no message for this long, like
	// wal_receiver_timeout in PostgreSQL.
	receiveTimeout = 60 * time.Second
)

var userParameter = regexp.MustCompile(`(^|\s)user\s*=`)

// startReceiver starts streaming from the primary at conninfo. The returned function
// stops it and returns when no more records will be applied.
func (n *Node) startReceiver(conninfo string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { n.runReceiver(ctx, conninfo) })
	return func() {
		cancel()
		done.Wait()
	}
}

func (n *Node) runReceiver(ctx context.Context, conninfo string) {
	lastError := ""
	for ctx.Err() == nil {
		err := n.receive(ctx, conninfo)
		if ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != lastError {
			n.logger.WithError(err).WithField("primary", conninfo).Warn("replication stopped")
			lastError = text
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// receive streams from the primary until the stream ends. Its error is never nil.
func (n *Node) receive(ctx context.Context, conninfo string) error {
	frontend, conn, err := n.connect(ctx, conninfo)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	position := n.log.End()
	command, err := formatReplicationCommand(position, n.log.History())
	if err != nil {
		return err
	}
	frontend.Send(&pgproto3.Query{String: command})
	if err := frontend.Flush(); err != nil {
		return err
	}
	if err := awaitCopyBoth(frontend); err != nil {
		return err
	}
	return n.readStream(ctx, frontend, conn)
}

func (n *Node) connect(ctx context.Context, conninfo string) (*pgproto3.Frontend, net.Conn, error) {
	config, err := pgconn.ParseConfig(conninfo + " sslmode=disable")
	if err != nil {
		return nil, nil, errors.Wrap(err, "primary_conninfo")
	}
	// If conninfo names no user, ParseConfig takes it from the environment, which
	// has no relation to the primary's accounts.
	if !userParameter.MatchString(conninfo) {
		config.User, config.Password = n.account.User, n.account.Password
	}
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams["replication"] = "true"
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, nil, err
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, nil, err
	}
	return hijacked.Frontend, hijacked.Conn, nil
}

// awaitCopyBoth waits for the response to START_REPLICATION.
func awaitCopyBoth(frontend *pgproto3.Frontend) error {
	for {
		m, err := frontend.Receive()
		if err != nil {
			return err
		}
		switch typed := m.(type) {
		case *pgproto3.CopyBothResponse:
			return nil
		case *pgproto3.ErrorResponse:
			return errors.Newf("primary rejected the replication request: %s (SQLSTATE %s)", typed.Message, typed.Code)
		}
	}
}

func (n *Node) readStream(ctx context.Context, frontend *pgproto3.Frontend, conn net.Conn) error {
	defer n.lastMessageAt.Store(0)
	decoder := gob.NewDecoder(&copyReader{frontend: frontend, conn: conn, onMessage: n.handleMessageReceived})
	var first message
	if err := decoder.Decode(&first); err != nil {
		return errors.Wrap(err, "read the primary's history")
	}
	n.log.AdoptHistory(first.History)
	n.logger.WithField("timeline", n.Timeline()).Info("replication started")

	// Records stay in the queue until their apply delay has passed. Those in the
	// queue when the stream ends are dropped: the next stream requests them again,
	// unless the primary is lost.
	ctx, cancel := context.WithCancel(ctx)
	q := newRecordQueue()
	var applier sync.WaitGroup
	applier.Go(func() { n.applyRecords(ctx, q, first.History) })
	defer func() {
		cancel()
		applier.Wait()
	}()
	for {
		var m message
		if err := decoder.Decode(&m); err != nil {
			return errors.Wrap(err, "read from the primary")
		}
		if m.Record != nil {
			q.push(decodeNulls(m.Record))
		}
	}
}

func (n *Node) handleMessageReceived() {
	n.blockWhileFrozen()
	n.lastMessageAt.Store(time.Now().UnixNano())
}

func (n *Node) applyRecords(ctx context.Context, q *recordQueue, primaryHistory commitlog.History) {
	for {
		r, err := q.pop(ctx)
		if err != nil || n.applyDelay.wait(ctx, r.CommittedAt) != nil {
			return
		}
		n.blockWhileFrozen()
		if ctx.Err() != nil {
			return
		}
		n.Store.Apply(r, primaryHistory)
	}
}

// copyReader is an io.Reader over the data of CopyData messages.
type copyReader struct {
	frontend  *pgproto3.Frontend
	conn      net.Conn
	onMessage func()
	unread    []byte
}

func (r *copyReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			return 0, err
		}
		m, err := r.frontend.Receive()
		if err != nil {
			return 0, err
		}
		data, ok := m.(*pgproto3.CopyData)
		if !ok {
			return 0, errors.Newf("unexpected message %T in the stream", m)
		}
		r.onMessage()
		r.unread = append(r.unread[:0], data.Data...)
	}
	count := copy(p, r.unread)
	r.unread = r.unread[count:]
	return count, nil
}

// recordQueue holds received records. It is unbounded, so that a slow application of
// records never blocks reading from the primary.
type recordQueue struct {
	mu      sync.Mutex
	records []*commitlog.Record
	added   chan struct{}
}

func newRecordQueue() *recordQueue { return &recordQueue{added: make(chan struct{}, 1)} }

func (q *recordQueue) push(r *commitlog.Record) {
	q.mu.Lock()
	q.records = append(q.records, r)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *recordQueue) pop(ctx context.Context) (*commitlog.Record, error) {
	for {
		if r := q.tryPop(); r != nil {
			return r, nil
		}
		select {
		case <-q.added:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (q *recordQueue) tryPop() *commitlog.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	r := q.records[0]
	q.records = q.records[1:]
	return r
}
