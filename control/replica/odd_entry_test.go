package replica

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
)

// TestUndecodableEntriesAreSkipped guards against replicas that stop applying the log, or
// cannot start again, because of one committed entry that holds no valid command.
func TestUndecodableEntriesAreSkipped(t *testing.T) {
	c := newCluster(t, 3)
	c.proposeMany("a", 10)
	command, err := proto.Marshal(&controlpb.Command{RequestId: "name"})
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{{0xff}, bytes.Replace(command, []byte("name"), []byte("nam\xff"), 1), command[:len(command)-1]} {
		p := &proposal{data: data, done: make(chan outcome, 1)}
		c.awaitLeader().proposals <- p
		if o := <-p.done; o.err != nil || rescode.Code(o.result.GetCode()) != rescode.InvalidCommand {
			t.Errorf("entry %q: %v, %v", data, o.result, o.err)
		}
	}
	for i := range c.members {
		c.stop(i)
	}
	for i := range c.members {
		c.start(i)
	}
	c.proposeMany("b", 10)
	c.awaitEqualStates(20)
}
