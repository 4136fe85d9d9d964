package soak

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

const (
	// callersEach is the number of callers of each kind.
	callersEach = 6
	// items is the number of items that callers read and write.
	items = 30
	// thinkTime is the longest pause between two operations of a caller.
	thinkTime = 60 * time.Millisecond
	// sessionOperations is the largest number of operations of one session.
	sessionOperations = 40
)

// kindOfCaller is what some callers do.
type kindOfCaller struct {
	database, team, key string
	writes, groups      float64
	count               int
}

var kindsOfCallers = []kindOfCaller{
	{"intake", largeTeam, largeKey, 0.4, 0.3, callersEach},
	{"lots", largeTeam, largeKey, 0.3, 0.3, callersEach},
	{"lots", largeTeam, spareKey, 0.3, 0.3, callersEach / 2},
	{"codes", largeTeam, largeKey, 0, 0.2, callersEach},
	// This team asks for about three times its rate.
	{"lots", smallTeam, smallKey, 0.1, 0, callersEach / 2},
}

// statement is one statement of an attempt.
type statement struct {
	id, text string
	sentAt   time.Time
	endedAt  time.Time
	answer   standin.Answer
	// err is set when no whole answer came.
	err error
}

// attempt is an operation: a single statement or a transaction.
type attempt struct {
	kind       kindOfCaller
	node       string
	session    uint64
	statements []statement
	// values are those of the session.
	values map[string]string
}

func (a *attempt) sentAt() time.Time {
	return a.statements[0].sentAt
}

// final is the last statement, on which the outcome depends.
func (a *attempt) final() *statement {
	return &a.statements[len(a.statements)-1]
}

// rollsBack reports whether the caller itself has ended a transaction without a commit.
func (a *attempt) rollsBack() bool {
	return a.final().text == "ROLLBACK"
}

// writes reports whether the attempt has a statement that writes.
func (a *attempt) writes() bool {
	for _, s := range a.statements {
		if strings.HasPrefix(s.text, "WRITE ") {
			return true
		}
	}
	return false
}

// done reports whether all statements succeeded.
func (a *attempt) done() bool {
	for _, s := range a.statements {
		if s.err != nil || s.answer.Refusal != "" {
			return false
		}
	}
	return !a.rollsBack()
}

// caller runs sessions one after the other.
type caller struct {
	fleet   *fleet
	history *history
	kind    kindOfCaller
	name    string
	random  *rand.Rand
	next    int
	session uint64
}

// startCallers starts all callers. The function that it returns ends them.
func startCallers(ctx context.Context, f *fleet, h *history, seed int64) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	number := 0
	for _, kind := range kindsOfCallers {
		for range kind.count {
			number++
			c := &caller{
				fleet: f, history: h, kind: kind, name: fmt.Sprintf("c%d", number),
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
		session, refusal, err := p.place.Connect(c.kind.database, c.kind.key)
		if err != nil || refusal != "" {
			wait(ctx, thinkTime)
			continue
		}
		c.session = c.history.newSession()
		c.serve(ctx, p.place.Name, session)
		session.Close()
	}
}

// serve runs the operations of one session until one of them has no clear end.
func (c *caller) serve(ctx context.Context, node string, session *standin.Caller) {
	values := map[string]string{}
	prepared := false
	for range 1 + c.random.Intn(sessionOperations) {
		if ctx.Err() != nil {
			return
		}
		wait(ctx, time.Duration(c.random.Int63n(int64(thinkTime))))
		if c.random.Float64() < 0.1 {
			name, value := fmt.Sprintf("v%d", c.random.Intn(2)), fmt.Sprint(c.random.Intn(5))
			if a, err := session.QueryWithID(c.id(), "SET "+name+" "+value); err != nil || a.Refusal != "" {
				return
			}
			values[name] = value
		}
		if !prepared && c.random.Float64() < 0.1 {
			if a, err := session.QueryWithID(c.id(), "PREPARE s1 READ shape"); err != nil || a.Refusal != "" {
				return
			}
			prepared = true
		}
		if !c.operation(node, session, values, prepared) {
			return
		}
	}
}

func (c *caller) id() string {
	c.next++
	return fmt.Sprintf("%s-%d", c.name, c.next)
}

// texts draws the statements of an operation.
func (c *caller) texts(prepared bool) []string {
	r := c.random
	one := func() string {
		item := fmt.Sprintf("item%d", r.Intn(items))
		switch {
		case r.Float64() < c.kind.writes:
			return "WRITE " + item + " " + c.name + "." + fmt.Sprint(r.Int31())
		case prepared && r.Float64() < 0.3:
			return "EXECUTE s1 " + item
		default:
			return "READ " + item
		}
	}
	if r.Float64() >= c.kind.groups {
		return []string{one()}
	}
	begin, end := "BEGIN", "COMMIT"
	if c.kind.writes == 0 {
		begin = "BEGIN READ"
	}
	if r.Float64() < 0.1 {
		end = "ROLLBACK"
	}
	texts := []string{begin}
	for range 1 + r.Intn(3) {
		texts = append(texts, one())
	}
	return append(texts, end)
}

// operation runs one operation. It returns false when the session must end.
func (c *caller) operation(node string, session *standin.Caller, values map[string]string, prepared bool) bool {
	a := &attempt{kind: c.kind, node: node, session: c.session, values: map[string]string{}}
	for name, value := range values {
		a.values[name] = value
	}
	goesOn := true
	for _, text := range c.texts(prepared) {
		s := statement{id: c.id(), text: text, sentAt: time.Now()}
		s.answer, s.err = session.QueryWithID(s.id, text)
		s.endedAt = time.Now()
		a.statements = append(a.statements, s)
		if s.err != nil || s.answer.Refusal != "" {
			// A session that is not idle behind a refusal cannot go on, and one whose key was
			// withdrawn is closed.
			goesOn = s.err == nil && s.answer.Idle && s.answer.Refusal != standin.RefusedKey
			break
		}
	}
	c.history.attempted(a)
	return goesOn
}

// sameText reports whether a server ran what the caller has sent. Names of prepared
// statements may be changed.
func sameText(ran, sent string) bool {
	if !strings.HasPrefix(sent, "EXECUTE ") {
		return ran == sent
	}
	ranFields, sentFields := strings.Fields(ran), strings.Fields(sent)
	return len(ranFields) == len(sentFields) && ranFields[0] == "EXECUTE" && ranFields[2] == sentFields[2]
}
