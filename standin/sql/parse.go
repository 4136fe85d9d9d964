package sql

import (
	"strconv"
	"strings"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// Parse parses all statements of source; empty ones are left out.
func Parse(source string) ([]*Parsed, error) {
	tokens, err := lex(source)
	if err != nil {
		return nil, err
	}
	p := &parser{source: source, tokens: tokens}
	return p.all()
}

type parser struct {
	source string
	tokens []token
	at     int
	params int
	depth  int
}

func (p *parser) all() (list []*Parsed, err error) {
	defer func() {
		// Productions report errors by panicking with an Error, which keeps them short.
		if r := recover(); r != nil {
			e, ok := r.(*sqlerr.Error)
			if !ok {
				panic(r)
			}
			list, err = nil, e
		}
	}()
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return list, nil
		}
		list = append(list, p.withComments())
		if p.peek().kind != tokenEnd {
			p.symbol(";")
		}
	}
}

// withComments parses a statement and keeps the comments around it in its text,
// so that the audit shows the tags that came with it.
func (p *parser) withComments() *Parsed {
	start := 0
	if p.at > 0 {
		start = p.tokens[p.at-1].end
	}
	parsed := p.one()
	parsed.Text = strings.TrimSpace(p.source[start:p.peek().start])
	return parsed
}

func (p *parser) one() *Parsed {
	start := p.peek().start
	p.params = 0
	statement := p.statement()
	end := p.tokens[p.at-1].end
	return &Parsed{Statement: statement, Text: p.source[start:end], Params: p.params}
}

func (p *parser) statement() Statement {
	t := p.peek()
	production, ok := productions[t.text]
	if t.kind != tokenWord || !ok {
		p.fail()
	}
	p.at++
	return production(p)
}

var productions map[string]func(*parser) Statement

func init() {
	productions = map[string]func(*parser) Statement{
		"select":     func(p *parser) Statement { return p.selectBody() },
		"insert":     (*parser).insert,
		"update":     (*parser).update,
		"delete":     (*parser).delete,
		"create":     (*parser).create,
		"drop":       (*parser).drop,
		"begin":      (*parser).begin,
		"start":      (*parser).start,
		"commit":     (*parser).commit,
		"end":        (*parser).commit,
		"rollback":   (*parser).rollback,
		"abort":      (*parser).rollback,
		"set":        (*parser).set,
		"reset":      (*parser).reset,
		"show":       (*parser).show,
		"prepare":    (*parser).prepare,
		"execute":    (*parser).execute,
		"deallocate": (*parser).deallocate,
		"discard":    (*parser).discard,
		"alter":      (*parser).alter,
		"copy":       (*parser).copy,
		"listen":     func(p *parser) Statement { return p.listen("LISTEN") },
		"unlisten":   func(p *parser) Statement { return p.listen("UNLISTEN") },
		"notify":     func(p *parser) Statement { return p.listen("NOTIFY") },
	}
}

func (p *parser) peek() token { return p.tokens[p.at] }

func (p *parser) fail() {
	t := p.peek()
	if t.kind == tokenEnd {
		panic(sqlerr.New(sqlerr.SyntaxError, "syntax error at end of input"))
	}
	panic(sqlerr.New(sqlerr.SyntaxError, "syntax error at or near %q", p.source[t.start:t.end]))
}

func (p *parser) isWord(words ...string) bool {
	for i, w := range words {
		if p.at+i >= len(p.tokens) {
			return false
		}
		if t := p.tokens[p.at+i]; t.kind != tokenWord || t.text != w {
			return false
		}
	}
	return true
}

// accept consumes the words if all of them follow.
func (p *parser) accept(words ...string) bool {
	if !p.isWord(words...) {
		return false
	}
	p.at += len(words)
	return true
}

func (p *parser) expect(words ...string) {
	for _, w := range words {
		if !p.accept(w) {
			p.fail()
		}
	}
}

func (p *parser) isSymbol(s string) bool {
	t := p.peek()
	return t.kind == tokenSymbol && t.text == s
}

func (p *parser) acceptSymbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	p.at++
	return true
}

func (p *parser) symbol(s string) {
	if !p.acceptSymbol(s) {
		p.fail()
	}
}

// identifier reads a name; a schema in front of it is dropped, because the
// stand-in has one schema.
func (p *parser) identifier() string {
	name := p.plainIdentifier()
	for p.acceptSymbol(".") {
		name = p.plainIdentifier()
	}
	return name
}

func (p *parser) plainIdentifier() string {
	t := p.peek()
	if t.kind == tokenQuoted || t.kind == tokenWord && !reserved[t.text] {
		p.at++
		return t.text
	}
	p.fail()
	return ""
}

// reserved words cannot name a column or table without quotes.
var reserved = map[string]bool{
	"select": true, "from": true, "where": true, "and": true, "or": true, "not": true,
	"order": true, "limit": true, "offset": true, "returning": true, "on": true,
	"case": true, "when": true, "then": true, "else": true, "end": true, "in": true,
	"null": true, "true": true, "false": true, "into": true, "table": true, "for": true,
	"default": true, "group": true, "having": true, "union": true, "primary": true,
}

func (p *parser) identifiers() []string {
	p.symbol("(")
	names := []string{p.identifier()}
	for p.acceptSymbol(",") {
		names = append(names, p.identifier())
	}
	p.symbol(")")
	return names
}

func (p *parser) param() *Param {
	t := p.peek()
	n, err := strconv.Atoi(t.text)
	if err != nil || n < 1 || n > maxParams {
		p.fail()
	}
	p.at++
	p.params = max(p.params, n)
	return &Param{Number: n}
}

// maxParams is the protocol's limit, a 16-bit count.
const maxParams = 65535
