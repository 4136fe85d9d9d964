package node

import (
	"encoding/gob"
	"encoding/json"
	"net"
	"strings"

	"github.com/jayloom/jayloom/standin/commitlog"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// startReplication is the command that opens the stream. Its arguments are the
// replica's position and its timeline history as JSON.
const startReplication = "START_REPLICATION"

// message is an element of the primary's stream, encoded as gob inside CopyData. The
// first message holds the history; an empty message is a keepalive.
type message struct {
	History commitlog.History
	Record  *commitlog.Record
}

// null represents NULL in a message, because gob cannot encode a nil interface in a
// slice.
type null bool

func init() {
	gob.Register(null(true))
}

func encodeNulls(r *commitlog.Record) *commitlog.Record {
	return mapValues(r, func(v any) any {
		if v == nil {
			return null(true)
		}
		return v
	})
}

func decodeNulls(r *commitlog.Record) *commitlog.Record {
	return mapValues(r, func(v any) any {
		if _, ok := v.(null); ok {
			return nil
		}
		return v
	})
}

// mapValues returns a copy of r with f applied to all values.
func mapValues(r *commitlog.Record, f func(any) any) *commitlog.Record {
	copied := *r
	copied.Changes = make([]commitlog.Change, len(r.Changes))
	for i, c := range r.Changes {
		values := make([]any, len(c.Values))
		for j, v := range c.Values {
			values[j] = f(v)
		}
		c.Values = values
		copied.Changes[i] = c
	}
	return &copied
}

func formatReplicationCommand(position value.LSN, history commitlog.History) (string, error) {
	data, err := json.Marshal(history)
	return startReplication + " " + position.String() + " " + string(data), err
}

func parseReplicationCommand(text string) (value.LSN, commitlog.History, error) {
	parts := strings.SplitN(text, " ", 3)
	if len(parts) != 3 || parts[0] != startReplication {
		return 0, nil, sqlerr.New(sqlerr.SyntaxError, "only %s is supported on a replication connection", startReplication)
	}
	position, err := value.ParseLSN(parts[1])
	if err != nil {
		return 0, nil, err
	}
	var history commitlog.History
	if err := json.Unmarshal([]byte(parts[2]), &history); err != nil {
		return 0, nil, sqlerr.New(sqlerr.ProtocolViolation, "invalid timeline history: %s", err.Error())
	}
	return position, history, nil
}

// conninfoFor returns a primary_conninfo for an address.
func conninfoFor(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "host=" + address
	}
	return "host=" + host + " port=" + port
}
