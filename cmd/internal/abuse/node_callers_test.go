package abuse

import (
	"context"
	"net"
	"testing"

	"github.com/jayloom/jayloom/cmd/internal/crowd"
)

// hiddenAddress is the address of ordinary callers too: a load balancer in front of the nodes may hide theirs.
const hiddenAddress = "127.0.0.1"

const (
	// crowdSize is above the number of callers that a node accepts with nodeDescriptors.
	crowdSize = 500
	// start begins a session of the crowd's team.
	start = "START intake " + crowdKey + "\r\n"
)

// playCallers lets a crowd act on the callers' address of a node. Meanwhile an ordinary request must be served.
func playCallers(t *testing.T, size int, act crowd.Client) *fleet {
	t.Helper()
	f := startFleet(t, 1)
	crowd.Start(t, size, hiddenAddress, address(f.nodes[0], callerPort), act)
	f.requireServed(f.nodes[0])
	f.check()
	return f
}

// Guards against callers who open connections and send nothing.
func TestSilentCallers(t *testing.T) {
	playCallers(t, crowdSize, crowd.WaitForClose)
}

// Guards against callers whose START message arrives one byte a second.
func TestTricklingStart(t *testing.T) {
	playCallers(t, crowdSize, crowd.Trickle(start))
}

// Guards against long START messages that are left half-way.
func TestStartLeftHalfWay(t *testing.T) {
	playCallers(t, crowdSize, crowd.InOrder(crowd.Send("START intake "+crowd.Text(15<<10)), crowd.WaitForClose))
}

// Guards against one key whose idle sessions take all connections of a node.
func TestOneKeyHoldsManySessions(t *testing.T) {
	playCallers(t, crowdSize, crowd.InOrder(crowd.Send(start), crowd.WaitForClose))
}

// Guards against sessions whose statement arrives one byte a second.
func TestTricklingStatements(t *testing.T) {
	playCallers(t, crowdSize, crowd.InOrder(crowd.Send(start), crowd.Trickle("QUERY q1 READ "+crowd.Text(1000))))
}

// Guards against many statements just short of the size above which they are counted, left half-way.
func TestShortMessagesLeftHalfWay(t *testing.T) {
	playCallers(t, 400, crowd.InOrder(crowd.Send(start+"QUERY q1 WRITE 1a4 "+crowd.Text(15<<10)), crowd.WaitForClose))
}

// Guards against long statements that are left half-way.
func TestLongMessagesLeftHalfWay(t *testing.T) {
	playCallers(t, 300, crowd.InOrder(crowd.Send(start+"QUERY q1 WRITE 1a4 "+crowd.Text(900<<10)), crowd.WaitForClose))
}

// Guards against long statements that arrive in small pieces and are left half-way.
func TestLongMessagesInPiecesLeftHalfWay(t *testing.T) {
	playCallers(t, 100, crowd.InOrder(crowd.Send(start), crowd.SendInPieces("QUERY q1 WRITE 1a4 "+crowd.Text(600<<10), 1000), crowd.WaitForClose))
}

// Guards against transactions that are left half-way with a connection to a server.
func TestTransactionsLeftHalfWay(t *testing.T) {
	playCallers(t, 100, crowd.InOrder(crowd.Send(start+"QUERY q1 BEGIN\r\nQUERY q2 WRITE 1a4 x\r\n"), crowd.WaitForClose))
}

// Guards against long values that are sent ahead while no answer is read.
func TestValuesSentAhead(t *testing.T) {
	playCallers(t, 200, crowd.InOrder(crowd.Send(start), crowd.SendWithoutEnd("QUERY q1 SET a "+crowd.Text(200<<10)+"\r\n")))
}

// Guards against reads that are sent ahead while no answer is read.
func TestReadsSentAhead(t *testing.T) {
	playCallers(t, 400, crowd.InOrder(crowd.Send(start), crowd.SendWithoutEnd("QUERY q1 READ 1a4\r\n")))
}

// Guards against long writes that are sent ahead while no answer is read.
func TestWritesSentAhead(t *testing.T) {
	playCallers(t, 100, crowd.InOrder(crowd.Send(start), crowd.SendWithoutEnd("QUERY q1 WRITE 1a4 "+crowd.Text(500<<10)+"\r\n")))
}

// Guards against messages far over the limit, in one piece.
func TestMessagesFarOverTheLimit(t *testing.T) {
	playCallers(t, 50, crowd.InOrder(crowd.Send(start), crowd.SendWithoutEnd(crowd.Text(8<<20))))
}

// Guards against messages far over the limit, in small pieces.
func TestMessagesFarOverTheLimitInPieces(t *testing.T) {
	playCallers(t, 50, crowd.InOrder(crowd.Send(start), crowd.SendWithoutEnd(crowd.Text(100))))
}

// Guards against long answers that are not read, or read one byte a second.
func TestAnswersNotRead(t *testing.T) {
	for name, read := range map[string]crowd.Client{"not-read": crowd.KeepOpen, "read-slowly": crowd.ReadSlowly} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 1)
			f.requireStatement(f.nodes[0], "WRITE long "+crowd.Text(900<<10))
			reads := ""
			for range 20 {
				reads += "QUERY q1 READ long\r\n"
			}
			crowd.Start(t, 100, hiddenAddress, address(f.nodes[0], callerPort), crowd.InOrder(crowd.Send(start+reads), read))
			f.requireServed(f.nodes[0])
			f.check()
		})
	}
}

// Guards against a bound that a single message inside the limits meets in calm.
func TestLongestMessageInCalm(t *testing.T) {
	f := startFleet(t, 1)
	const longest = 1 << 20
	f.requireStatement(f.nodes[0], "WRITE 1a4 "+crowd.Text(longest-len("QUERY q1 WRITE 1a4 ")))
	f.check()
}

// Guards against a crowd that is refused for longer than it stays.
func TestServedBehindACrowd(t *testing.T) {
	f := startFleet(t, 1)
	t.Run("crowd", func(t *testing.T) {
		crowd.Start(t, crowdSize, hiddenAddress, address(f.nodes[0], callerPort), func(ctx context.Context, conn net.Conn) {
			crowd.InOrder(crowd.Send(start+"QUERY q1 WRITE 1a4 "+crowd.Text(40<<10)), crowd.WaitForClose)(ctx, conn)
		})
	})
	f.requireStatement(f.nodes[0], "WRITE 1a4 "+crowd.Text(900<<10))
	f.check()
}
