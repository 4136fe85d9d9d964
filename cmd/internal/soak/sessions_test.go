package soak

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/jayloom/jayloom/platform/standin"
)

// Fractions of what callers draw.
const (
	// setShare, prepareShare and closeShare are the fractions of attempts before which a session
	// sets a value, prepares a statement or closes one; insideShare is the fraction of statements
	// of a transaction before which it does one of these.
	setShare     = 0.1
	prepareShare = 0.2
	closeShare   = 0.05
	insideShare  = 0.08
	// executeShare is the fraction of reads and writes that execute a prepared statement, if the
	// session has one of that access.
	executeShare = 0.4
	// unknownShare is the fraction of single statements that execute a name which is not prepared.
	unknownShare = 0.01
	// freshShare is the fraction of prepared shapes that no session has prepared before.
	freshShare = 0.3
)

// maxWords is the largest number of words of a drawn text.
const maxWords = 4

var (
	valueNames = []string{"v0", "v1", "READ", "p1"}
	// statementNames are the names of prepared statements, the same for all callers.
	statementNames = []string{"s1", "s2", "READ", "WRITE", "p1", "p2", "r_q2", "w_q2", "é1"}
	// words are the words of drawn texts: words of the protocol, names as a node may give them to
	// prepared statements, and characters that some readers take for blanks or ends of lines.
	words = []string{
		"q2", "sg", "READ", "WRITE", "PREPARE", "EXECUTE", "QUERY", "AFTER", "SET", "p1", "r_q2", "w_q2", "-", "1.7",
		"a\tb", "\t", "\r", "a\rb", "\n", "a\nQUERY", "é", "語", "a\u00a0b", "\u0085", "\u2028",
	}
	// commonShapes are prepared by many callers, with both accesses.
	commonShapes = []string{
		"q2", "sg", "sg READ q2", "sg READ q2 READ sg", "q2 READ sg", "sg WRITE q2 WRITE sg", " sg", "sg ", "  sg", "sg  q2",
		" ", "q2 ", "READ", "READ q2", "p1 READ sg", "r_q2", "w_q2 READ q2", "sg\tREAD q2", "q2\r", "q2\nREAD sg", "é sg",
	}
)

// session is an open session of a caller and what the caller has set up in it.
type session struct {
	conn *standin.Caller
	node string
	id   uint64
	// values is replaced, not changed, by each SET, since statements keep it.
	values   map[string]string
	prepared map[string]standin.Prepared
}

// preparedFor returns what the session has prepared under the name that a statement executes. It
// is empty for an unknown name and for other statements.
func (s *session) preparedFor(text string) standin.Prepared {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	if !ok {
		return standin.Prepared{}
	}
	name, _, _ := strings.Cut(rest, " ")
	return s.prepared[name]
}

// apply records the effect of an acknowledged statement on the session.
func (s *session) apply(text string) {
	word, rest, _ := strings.Cut(text, " ")
	name, rest, _ := strings.Cut(rest, " ")
	switch word {
	case "SET":
		s.values = maps.Clone(s.values)
		s.values[name] = rest
	case "PREPARE":
		access, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = standin.Prepared{Access: access, Shape: shape}
	case "CLOSE":
		delete(s.prepared, name)
	}
}

// send sends a statement and returns it with its answer.
func (c *caller) send(s *session, text string) statement {
	st := statement{id: c.nextStatementID(), text: text, prepared: s.preparedFor(text), values: s.values, sentAt: time.Now()}
	st.answer, st.err = s.conn.QueryWithID(st.id, text)
	st.endedAt = time.Now()
	if st.succeeded() {
		s.apply(text)
	}
	return st
}

// setUp sends SET, PREPARE and CLOSE at random. It returns false when the session must end.
func (c *caller) setUp(s *session) bool {
	for _, d := range []struct {
		share float64
		draw  func(*session) string
	}{{setShare, c.drawSet}, {prepareShare, c.drawPrepare}, {closeShare, c.drawClose}} {
		if c.random.Float64() >= d.share {
			continue
		}
		st := c.send(s, d.draw(s))
		c.history.recordSetup(st)
		if !st.succeeded() {
			return false
		}
	}
	return true
}

// drawSetup returns a random SET, PREPARE or CLOSE.
func (c *caller) drawSetup(s *session) string {
	switch c.random.Intn(3) {
	case 0:
		return c.drawSet(s)
	case 1:
		return c.drawPrepare(s)
	default:
		return c.drawClose(s)
	}
}

func (c *caller) drawSet(*session) string {
	value := ""
	switch n := c.random.Float64(); {
	case n < 0.5:
		value = fmt.Sprint(c.random.Intn(5))
	case n < 0.85:
		value = drawText(c.random)
	}
	return "SET " + drawFrom(c.random, valueNames) + " " + value
}

func (c *caller) drawPrepare(*session) string {
	access := drawFrom(c.random, []string{"READ", "WRITE"})
	return "PREPARE " + drawFrom(c.random, statementNames) + " " + access + " " + c.drawShape()
}

func (c *caller) drawClose(*session) string {
	return "CLOSE " + drawFrom(c.random, statementNames)
}

func (c *caller) drawShape() string {
	switch n := c.random.Float64(); {
	case n < freshShare:
		return fmt.Sprintf("%s %s.%d", drawText(c.random), c.name, c.statementCount)
	case n < 0.7:
		return drawFrom(c.random, commonShapes)
	default:
		return drawText(c.random)
	}
}

// drawExecute returns an EXECUTE of a prepared statement of the given access, or an empty text if
// the session has none.
func (c *caller) drawExecute(s *session, access, arguments string) string {
	var names []string
	for _, name := range statementNames {
		if s.prepared[name].Access == access {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return "EXECUTE " + drawFrom(c.random, names) + " " + arguments
}

// drawUnknown returns an EXECUTE of a name that the session has not prepared, or has closed.
func (c *caller) drawUnknown(s *session) string {
	isUnknown := func(name string) bool { return s.prepared[name] == standin.Prepared{} }
	if i := slices.IndexFunc(statementNames, isUnknown); i >= 0 {
		return "EXECUTE " + statementNames[i] + " " + c.drawItem()
	}
	return "EXECUTE s0 " + c.drawItem()
}

// drawText returns a text that the last field of a message may carry. It may begin and end with
// blanks.
func drawText(r *rand.Rand) string {
	text := strings.Repeat(" ", max(0, r.Intn(5)-2))
	for i := range 1 + r.Intn(maxWords) {
		if i > 0 {
			text += strings.Repeat(" ", 1+r.Intn(2))
		}
		text += drawFrom(r, words)
	}
	return text + strings.Repeat(" ", max(0, r.Intn(5)-2))
}

func drawFrom(r *rand.Rand, texts []string) string {
	return texts[r.Intn(len(texts))]
}
