package node

import (
	"bytes"
	"context"
	"encoding/gob"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// keepaliveInterval is how often an idle primary shows that it is alive. It is
// well below the 800 ms after which control suspects the primary.
const keepaliveInterval = 100 * time.Millisecond

// Send answers one command of a replication connection and streams until ctx or
// the connection ends. An error with a SQLSTATE is for the replica.
func (n *Node) Send(ctx context.Context, backend *pgproto3.Backend, command string) error {
	position, follower, err := parseRequest(command)
	if err != nil {
		return err
	}
	if n.InRecovery() {
		return sqlerr.New(sqlerr.ObjectNotInPrerequisiteState, "this server is a replica; cascading replication is not supported")
	}
	history := n.log.History()
	if err := history.CheckFollower(follower, position, n.log.End()); err != nil {
		return err
	}
	backend.Send(&pgproto3.CopyBothResponse{})
	s := newSender(backend)
	if err := s.send(message{History: history}); err != nil {
		return err
	}
	return s.stream(ctx, n.log, position)
}

type sender struct {
	backend *pgproto3.Backend
	buffer  *bytes.Buffer
	encoder *gob.Encoder
}

func newSender(backend *pgproto3.Backend) *sender {
	buffer := &bytes.Buffer{}
	return &sender{backend: backend, buffer: buffer, encoder: gob.NewEncoder(buffer)}
}

func (s *sender) send(m message) error {
	s.buffer.Reset()
	if err := s.encoder.Encode(m); err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CopyData{Data: s.buffer.Bytes()})
	return s.backend.Flush()
}

func (s *sender) stream(ctx context.Context, log *commitlog.Log, position value.LSN) error {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		records, grown := log.RecordsFrom(position)
		for _, r := range records {
			if err := s.send(message{Record: withoutNil(r)}); err != nil {
				return err
			}
			position = r.End
		}
		select {
		case <-grown:
		case <-ticker.C:
			if err := s.send(message{}); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
