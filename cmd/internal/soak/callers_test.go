package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

const (
	// callersPerWorkload is the number of callers of most workloads.
	callersPerWorkload = 6
	// itemCount is the number of items that callers read and write.
	itemCount = 30
	// shortTransaction is the largest number of statements of a short transaction.
	shortTransaction = 3
	// maxThinkTime is the longest pause between two attempts of a caller.
	maxThinkTime = 60 * time.Millisecond
	// maxSessionAttempts is the largest number of attempts in one session.
	maxSessionAttempts = 40
)

// workload describes a set of callers: their database, team and key, the fraction of
// statements that write, and the fraction of attempts that are transactions.
type workload struct {
	database, team, key          string
	writeRatio, transactionRatio float64
	callers                      int
	// maxStatements is the largest number of statements between BEGIN and the end of a
	// transaction, maxPause the longest pause between two of them.
	maxStatements int
	maxPause      time.Duration
}

var workloads = []workload{
	{"intake", largeTeam, largeKey, 0.4, 0.3, callersPerWorkload, shortTransaction, 0},
	{"lots", largeTeam, largeKey, 0.3, 0.3, callersPerWorkload, shortTransaction, 0},
	{"lots", largeTeam, spareKey, 0.3, 0.3, callersPerWorkload / 2, shortTransaction, 0},
	{"codes", largeTeam, largeKey, 0, 0.2, callersPerWorkload, shortTransaction, 0},
	// This team asks for about three times its rate.
	{"lots", smallTeam, smallKey, 0.1, 0, callersPerWorkload / 2, shortTransaction, 0},
}

// statement is one statement of an attempt and its answer.
type statement struct {
	id, text string
	// prepared is what the session had prepared under the name that an EXECUTE names, values holds
	// the session's values, both when the statement was sent.
	prepared standin.Prepared
	values   map[string]string
	sentAt   time.Time
	endedAt  time.Time
	answer   standin.Answer
	// err is set when no complete answer arrived.
	err error
}

// succeeded reports whether the statement was answered with success.
func (s *statement) succeeded() bool {
	return s.err == nil && s.answer.Refusal == ""
}

// mayBeAnsweredByNode reports whether a node may answer the statement with success without a server.
func (s *statement) mayBeAnsweredByNode() bool {
	word, _, _ := strings.Cut(s.text, " ")
	return !slices.Contains([]string{"READ", "WRITE", "EXECUTE", "COMMIT"}, word)
}

// writes reports whether the statement is a write or executes a prepared one.
func (s *statement) writes() bool {
	return strings.HasPrefix(s.text, "WRITE ") || s.prepared.Access == "WRITE"
}

// attempt is one operation of a caller: a single statement or a transaction.
type attempt struct {
	workload   workload
	node       string
	sessionID  uint64
	statements []statement
}

func (a *attempt) sentAt() time.Time {
	return a.statements[0].sentAt
}

// lastStatement returns the last statement sent, which decides the outcome.
func (a *attempt) lastStatement() *statement {
	return &a.statements[len(a.statements)-1]
}

// endsWithRollback reports whether the caller ended the transaction with ROLLBACK.
func (a *attempt) endsWithRollback() bool {
	return a.lastStatement().text == "ROLLBACK"
}

// hasWrite reports whether the attempt contains a write.
func (a *attempt) hasWrite() bool {
	return slices.ContainsFunc(a.statements, func(s statement) bool { return s.writes() })
}

// succeeded reports whether all statements succeeded and the caller did not roll back.
func (a *attempt) succeeded() bool {
	for _, s := range a.statements {
		if !s.succeeded() {
			return false
		}
	}
	return !a.endsWithRollback()
}

// caller runs sessions of one workload, one after the other.
type caller struct {
	fleet          *fleet
	history        *history
	workload       workload
	name           string
	random         *rand.Rand
	statementCount int
}

// startCallers starts the callers of all workloads. The returned function stops them and
// waits for them.
func startCallers(ctx context.Context, f *fleet, h *history, workloads []workload, seed int64) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	number := 0
	for _, kind := range workloads {
		for range kind.callers {
			number++
			c := &caller{
				fleet: f, history: h, workload: kind, name: fmt.Sprintf("c%d", number),
				random: rand.New(rand.NewSource(seed*1000 + int64(number))),
			}
			running.Go(func() { c.run(ctx) })
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		p := c.fleet.randomNode(c.random)
		conn, refusal, err := p.node.Connect(c.workload.database, c.workload.key)
		if err != nil || refusal != "" {
			sleep(ctx, maxThinkTime)
			continue
		}
		c.runSession(ctx, &session{
			conn: conn, node: p.node.Name, id: c.history.newSession(), values: map[string]string{}, prepared: map[string]standin.Prepared{},
		})
		conn.Close()
	}
}

// runSession makes attempts in one session until its last one, or until one fails in a way
// that leaves the session unusable.
func (c *caller) runSession(ctx context.Context, s *session) {
	for range 1 + c.random.Intn(maxSessionAttempts) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, time.Duration(c.random.Int63n(int64(maxThinkTime))))
		if !c.setUp(s) || !c.runAttempt(ctx, s) {
			return
		}
	}
}

func (c *caller) nextStatementID() string {
	c.statementCount++
	return fmt.Sprintf("%s-%d", c.name, c.statementCount)
}

func (c *caller) drawItem() string {
	return fmt.Sprintf("item%d", c.random.Intn(itemCount))
}

// drawData returns what a write stores: a text of its own that may go on with a drawn one.
func (c *caller) drawData() string {
	data := c.name + "." + fmt.Sprint(c.random.Int31())
	if c.random.Float64() < 0.5 {
		return data
	}
	return data + " " + drawText(c.random)
}

// drawStatement returns a random read or write.
func (c *caller) drawStatement(s *session) string {
	word, arguments := "READ", c.drawItem()
	if c.random.Float64() < c.workload.writeRatio {
		word, arguments = "WRITE", arguments+" "+c.drawData()
	}
	if c.random.Float64() < executeShare {
		if word == "READ" && c.random.Float64() < 0.5 {
			arguments += " " + drawText(c.random)
		}
		if text := c.drawExecute(s, word, arguments); text != "" {
			return text
		}
	}
	if word == "READ" {
		arguments, _, _ = strings.Cut(arguments, " ")
	}
	return word + " " + arguments
}

// drawSingle returns a random single statement.
func (c *caller) drawSingle(s *session) string {
	if c.random.Float64() < unknownShare {
		return c.drawUnknown(s)
	}
	return c.drawStatement(s)
}

// drawOperation returns functions that draw the statements of a random operation one after the
// other.
func (c *caller) drawOperation() []func(*session) string {
	r := c.random
	if r.Float64() >= c.workload.transactionRatio {
		return []func(*session) string{c.drawSingle}
	}
	fixed := func(text string) func(*session) string { return func(*session) string { return text } }
	begin, end := "BEGIN", "COMMIT"
	if c.workload.writeRatio == 0 {
		begin = "BEGIN READ"
	}
	if r.Float64() < 0.1 {
		end = "ROLLBACK"
	}
	draws := []func(*session) string{fixed(begin)}
	for range 1 + r.Intn(c.workload.maxStatements) {
		if r.Float64() < insideShare {
			draws = append(draws, c.drawSetup)
		}
		draws = append(draws, c.drawStatement)
	}
	return append(draws, fixed(end))
}

// runAttempt runs one operation. It returns false when the session must end.
func (c *caller) runAttempt(ctx context.Context, s *session) bool {
	a := &attempt{workload: c.workload, node: s.node, sessionID: s.id}
	usable := true
	for i, draw := range c.drawOperation() {
		if i > 0 && c.workload.maxPause > 0 {
			// Most pauses are short.
			sleep(ctx, time.Duration(math.Pow(c.random.Float64(), 3)*float64(c.workload.maxPause)))
		}
		st := c.send(s, draw(s))
		a.statements = append(a.statements, st)
		if !st.succeeded() {
			// A session that is not idle after a refusal cannot continue, and one whose key was
			// withdrawn is closed.
			usable = st.err == nil && st.answer.Idle && st.answer.Refusal != standin.RefusedKey
			break
		}
	}
	c.history.recordAttempt(a)
	return usable
}

// isSameStatement reports whether a server ran what the caller sent, byte for byte. Proxies may
// rename prepared statements.
func isSameStatement(ran, sent string) bool {
	sentFields, ok := strings.CutPrefix(sent, "EXECUTE ")
	if !ok {
		return ran == sent
	}
	ranFields, ok := strings.CutPrefix(ran, "EXECUTE ")
	_, sentArguments, _ := strings.Cut(sentFields, " ")
	name, ranArguments, hasArguments := strings.Cut(ranFields, " ")
	return ok && hasArguments && name != "" && ranArguments == sentArguments
}
