package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

const (
	// maxCommandBytes bounds an encoded command. Each command is sent to all control VMs and proxies and
	// stays in the log. The largest is a service, with a name for each of its slots.
	maxCommandBytes = 1 << 20
	// maxRequestIDBytes bounds the request identity and the actor of a command. The state keeps those of
	// several thousand commands.
	maxRequestIDBytes = 512
)

// checkCommand refuses a command that must not enter the log. It runs before the proposal: a command in the
// log has to be applied by all versions alike, so what applies it cannot refuse more than it did.
func checkCommand(c *controlpb.Command) error {
	if size := proto.Size(c); size > maxCommandBytes {
		return rescode.New(rescode.InvalidCommand, "the command has %d bytes, more than %d", size, maxCommandBytes)
	}
	if len(c.GetRequestId()) > maxRequestIDBytes || len(c.GetActor()) > maxRequestIDBytes {
		return rescode.New(rescode.InvalidCommand, "the request identity or the actor has more than %d bytes", maxRequestIDBytes)
	}
	return nil
}
