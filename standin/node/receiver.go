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
	// retryInterval is the pause before the next attempt to follow. PostgreSQL
	// waits 5 s (wal_retrieve_retry_interval); tests and local runs need less.
	retryInterval = 200 * time.Millisecond
	// connectTimeout bounds an attempt to connect to the primary.
	connectTimeout = 2 * time.Second
	// receiveTimeout ends a stream on which nothing arrives (wal_receiver_timeout).
	receiveTimeout = 60 * time.Second
)

var statesUser = regexp.MustCompile(`(^|\s)user\s*=`)

// startReceiver follows the primary of conninfo until the returned function is
// called, which returns once nothing more is applied.
func (n *Node) startReceiver(conninfo string) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { n.follow(ctx, conninfo) })
	return func() {
		cancel()
		done.Wait()
	}
}

func (n *Node) follow(ctx context.Context, conninfo string) {
	last := ""
	for ctx.Err() == nil {
		err := n.receive(ctx, conninfo)
		if ctx.Err() != nil {
			return
		}
		if text := err.Error(); text != last {
			n.logger.WithError(err).WithField("primary", conninfo).Warn("replication stopped")
			last = text
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
		}
	}
}

// receive streams from the primary until the stream ends; the error is never nil.
func (n *Node) receive(ctx context.Context, conninfo string) error {
	frontend, conn, err := n.connect(ctx, conninfo)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	position := n.log.End()
	command, err := requestText(position, n.log.History())
	if err != nil {
		return err
	}
	frontend.Send(&pgproto3.Query{String: command})
	if err := frontend.Flush(); err != nil {
		return err
	}
	if err := awaitStream(frontend); err != nil {
		return err
	}
	return n.readStream(ctx, frontend, conn)
}

func (n *Node) connect(ctx context.Context, conninfo string) (*pgproto3.Frontend, net.Conn, error) {
	config, err := pgconn.ParseConfig(conninfo + " sslmode=disable")
	if err != nil {
		return nil, nil, errors.Wrap(err, "primary_conninfo")
	}
	// Without a user in the setting, ParseConfig takes one from the environment,
	// which has nothing to do with the primary.
	if !statesUser.MatchString(conninfo) {
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

// awaitStream waits for the answer to START_REPLICATION.
func awaitStream(frontend *pgproto3.Frontend) error {
	for {
		m, err := frontend.Receive()
		if err != nil {
			return err
		}
		switch typed := m.(type) {
		case *pgproto3.CopyBothResponse:
			return nil
		case *pgproto3.ErrorResponse:
			return errors.Newf("the primary refuses: %s (SQLSTATE %s)", typed.Message, typed.Code)
		}
	}
}

func (n *Node) readStream(ctx context.Context, frontend *pgproto3.Frontend, conn net.Conn) error {
	defer n.lastMessage.Store(0)
	decoder := gob.NewDecoder(&copyReader{frontend: frontend, conn: conn, heard: n.heard})
	var first message
	if err := decoder.Decode(&first); err != nil {
		return errors.Wrap(err, "read the primary's history")
	}
	n.log.AdoptHistory(first.History)
	n.logger.WithField("timeline", n.Timeline()).Info("replication started")

	// Records wait in the queue until their lag has passed; those that wait when
	// the stream ends are dropped and requested again, or lost with the primary.
	ctx, cancel := context.WithCancel(ctx)
	q := newQueue()
	var applying sync.WaitGroup
	applying.Go(func() { n.apply(ctx, q, first.History) })
	defer func() {
		cancel()
		applying.Wait()
	}()
	for {
		var m message
		if err := decoder.Decode(&m); err != nil {
			return errors.Wrap(err, "read from the primary")
		}
		if m.Record != nil {
			q.push(withNil(m.Record))
		}
	}
}

func (n *Node) heard() {
	n.gate()
	n.lastMessage.Store(time.Now().UnixNano())
}

func (n *Node) apply(ctx context.Context, q *queue, primary commitlog.History) {
	for {
		r, err := q.pop(ctx)
		if err != nil || n.lag.wait(ctx, r.CommittedAt) != nil {
			return
		}
		n.gate()
		if ctx.Err() != nil {
			return
		}
		n.Store.Apply(r, primary)
	}
}

// copyReader reads the content of CopyData messages.
type copyReader struct {
	frontend *pgproto3.Frontend
	conn     net.Conn
	heard    func()
	rest     []byte
}

func (r *copyReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
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
		r.heard()
		r.rest = append(r.rest[:0], data.Data...)
	}
	count := copy(p, r.rest)
	r.rest = r.rest[count:]
	return count, nil
}

// queue holds received records; reading from the primary never waits for it.
type queue struct {
	mu      sync.Mutex
	records []*commitlog.Record
	added   chan struct{}
}

func newQueue() *queue { return &queue{added: make(chan struct{}, 1)} }

func (q *queue) push(r *commitlog.Record) {
	q.mu.Lock()
	q.records = append(q.records, r)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *queue) pop(ctx context.Context) (*commitlog.Record, error) {
	for {
		if r := q.first(); r != nil {
			return r, nil
		}
		select {
		case <-q.added:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (q *queue) first() *commitlog.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		return nil
	}
	r := q.records[0]
	q.records = q.records[1:]
	return r
}
