package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand"
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
	sentAt   time.Time
	endedAt  time.Time
	answer   standin.Answer
	// err is set when no complete answer arrived.
	err error
}

// attempt is one operation of a caller: a single statement or a transaction.
type attempt struct {
	workload   workload
	node       string
	sessionID  uint64
	statements []statement
	// values holds the session's settings when the attempt began.
	values map[string]string
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
	for _, s := range a.statements {
		if strings.HasPrefix(s.text, "WRITE ") {
			return true
		}
	}
	return false
}

// succeeded reports whether all statements succeeded and the caller did not roll back.
func (a *attempt) succeeded() bool {
	for _, s := range a.statements {
		if s.err != nil || s.answer.Refusal != "" {
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
	sessionID      uint64
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
		session, refusal, err := p.node.Connect(c.workload.database, c.workload.key)
		if err != nil || refusal != "" {
			sleep(ctx, maxThinkTime)
			continue
		}
		c.sessionID = c.history.newSession()
		c.runSession(ctx, p.node.Name, session)
		session.Close()
	}
}

// runSession makes attempts in one session until its last one, or until one fails in a way
// that leaves the session unusable.
func (c *caller) runSession(ctx context.Context, node string, session *standin.Caller) {
	values := map[string]string{}
	prepared := false
	for range 1 + c.random.Intn(maxSessionAttempts) {
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, time.Duration(c.random.Int63n(int64(maxThinkTime))))
		if c.random.Float64() < 0.1 {
			name, value := fmt.Sprintf("v%d", c.random.Intn(2)), fmt.Sprint(c.random.Intn(5))
			if a, err := session.QueryWithID(c.nextStatementID(), "SET "+name+" "+value); err != nil || a.Refusal != "" {
				return
			}
			values[name] = value
		}
		if !prepared && c.random.Float64() < 0.1 {
			if a, err := session.QueryWithID(c.nextStatementID(), "PREPARE s1 READ shape"); err != nil || a.Refusal != "" {
				return
			}
			prepared = true
		}
		if !c.runAttempt(ctx, node, session, values, prepared) {
			return
		}
	}
}

func (c *caller) nextStatementID() string {
	c.statementCount++
	return fmt.Sprintf("%s-%d", c.name, c.statementCount)
}

// drawOperation returns the statements of a random operation.
func (c *caller) drawOperation(prepared bool) []string {
	r := c.random
	drawStatement := func() string {
		item := fmt.Sprintf("item%d", r.Intn(itemCount))
		switch {
		case r.Float64() < c.workload.writeRatio:
			return "WRITE " + item + " " + c.name + "." + fmt.Sprint(r.Int31())
		case prepared && r.Float64() < 0.3:
			return "EXECUTE s1 " + item
		default:
			return "READ " + item
		}
	}
	if r.Float64() >= c.workload.transactionRatio {
		return []string{drawStatement()}
	}
	begin, end := "BEGIN", "COMMIT"
	if c.workload.writeRatio == 0 {
		begin = "BEGIN READ"
	}
	if r.Float64() < 0.1 {
		end = "ROLLBACK"
	}
	texts := []string{begin}
	for range 1 + r.Intn(c.workload.maxStatements) {
		texts = append(texts, drawStatement())
	}
	return append(texts, end)
}

// runAttempt runs one operation. It returns false when the session must end.
func (c *caller) runAttempt(ctx context.Context, node string, session *standin.Caller, values map[string]string, prepared bool) bool {
	a := &attempt{workload: c.workload, node: node, sessionID: c.sessionID, values: map[string]string{}}
	for name, value := range values {
		a.values[name] = value
	}
	usable := true
	for i, text := range c.drawOperation(prepared) {
		if i > 0 && c.workload.maxPause > 0 {
			// Most pauses are short.
			sleep(ctx, time.Duration(math.Pow(c.random.Float64(), 3)*float64(c.workload.maxPause)))
		}
		s := statement{id: c.nextStatementID(), text: text, sentAt: time.Now()}
		s.answer, s.err = session.QueryWithID(s.id, text)
		s.endedAt = time.Now()
		a.statements = append(a.statements, s)
		if s.err != nil || s.answer.Refusal != "" {
			// A session that is not idle after a refusal cannot continue, and one whose key was
			// withdrawn is closed.
			usable = s.err == nil && s.answer.Idle && s.answer.Refusal != standin.RefusedKey
			break
		}
	}
	c.history.recordAttempt(a)
	return usable
}

// isSameStatement reports whether a server ran what the caller sent. Proxies may rename
// prepared statements.
func isSameStatement(ran, sent string) bool {
	if !strings.HasPrefix(sent, "EXECUTE ") {
		return ran == sent
	}
	ranFields, sentFields := strings.Fields(ran), strings.Fields(sent)
	return len(ranFields) == len(sentFields) && ranFields[0] == "EXECUTE" && ranFields[2] == sentFields[2]
}
