package sql

import (
	"strconv"
	"strings"

	"github.com/jayloom/jayloom/standin/sqlerr"
)

// maxDepth bounds nested expressions. A Go stack that overflows ends the process.
const maxDepth = 1000

func (p *parser) enter() {
	p.depth++
	if p.depth > maxDepth {
		panic(sqlerr.New(sqlerr.StatementTooComplex, "stack depth limit exceeded"))
	}
}

func (p *parser) leave() { p.depth-- }

func (p *parser) expression() Expr {
	p.enter()
	defer p.leave()
	left := p.conjunction()
	for p.accept("or") {
		left = &Binary{Op: "or", Left: left, Right: p.conjunction()}
	}
	return left
}

func (p *parser) conjunction() Expr {
	left := p.negation()
	for p.accept("and") {
		left = &Binary{Op: "and", Left: left, Right: p.negation()}
	}
	return left
}

func (p *parser) negation() Expr {
	p.enter()
	defer p.leave()
	if p.accept("not") {
		return &Not{Value: p.negation()}
	}
	return p.comparison()
}

var comparisons = map[string]string{
	"=": "=", "<>": "<>", "!=": "<>", "<": "<", ">": ">", "<=": "<=", ">=": ">=",
}

func (p *parser) comparison() Expr {
	left := p.sum()
	for {
		t := p.peek()
		op, ok := comparisons[t.text]
		switch {
		case t.kind == tokenSymbol && ok:
			p.at++
			left = &Binary{Op: op, Left: left, Right: p.sum()}
		case p.accept("is", "not", "null"):
			left = &IsNull{Value: left, Negate: true}
		case p.accept("is", "null"):
			left = &IsNull{Value: left}
		case p.accept("not", "in"):
			left = &In{Value: left, List: p.expressions(), Negate: true}
		case p.accept("in"):
			left = &In{Value: left, List: p.expressions()}
		default:
			return left
		}
	}
}

func (p *parser) expressions() []Expr {
	p.symbol("(")
	list := []Expr{p.expression()}
	for p.acceptSymbol(",") {
		list = append(list, p.expression())
	}
	p.symbol(")")
	return list
}

func (p *parser) sum() Expr {
	left := p.product()
	for p.isSymbol("+") || p.isSymbol("-") || p.isSymbol("||") {
		op := p.peek().text
		p.at++
		left = &Binary{Op: op, Left: left, Right: p.product()}
	}
	return left
}

func (p *parser) product() Expr {
	left := p.unary()
	for p.isSymbol("*") || p.isSymbol("/") || p.isSymbol("%") {
		op := p.peek().text
		p.at++
		left = &Binary{Op: op, Left: left, Right: p.unary()}
	}
	return left
}

func (p *parser) unary() Expr {
	p.enter()
	defer p.leave()
	if p.acceptSymbol("-") {
		return &Binary{Op: "-", Left: &Literal{Value: int64(0)}, Right: p.unary()}
	}
	p.acceptSymbol("+")
	value := p.primary()
	for p.acceptSymbol("::") {
		value = &Cast{Value: value, Type: p.typeName()}
	}
	return value
}

func (p *parser) primary() Expr {
	t := p.peek()
	switch t.kind {
	case tokenNumber:
		p.at++
		return number(t.text)
	case tokenString:
		p.at++
		return &Literal{Value: t.text}
	case tokenParam:
		return p.param()
	case tokenSymbol:
		return p.parenthesised()
	case tokenWord:
		if e := p.keyword(t.text); e != nil {
			return e
		}
	}
	return p.named()
}

func number(text string) Expr {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil {
		return &Literal{Value: n}
	}
	f, _ := strconv.ParseFloat(text, 64)
	return &Literal{Value: f}
}

func (p *parser) parenthesised() Expr {
	p.symbol("(")
	if p.accept("select") {
		s := p.selectBody()
		p.symbol(")")
		return &Subquery{Select: s}
	}
	e := p.expression()
	p.symbol(")")
	return e
}

func (p *parser) keyword(word string) Expr {
	switch word {
	case "null":
		p.at++
		return &Literal{}
	case "true", "false":
		p.at++
		return &Literal{Value: word == "true"}
	case "case":
		p.at++
		return p.caseExpression()
	case "cast":
		return p.cast()
	case "extract":
		return p.extract()
	case "current_timestamp", "current_user", "session_user", "user":
		p.at++
		return &Call{Name: word}
	}
	return nil
}

func (p *parser) caseExpression() Expr {
	c := &Case{}
	for p.accept("when") {
		condition := p.expression()
		p.expect("then")
		c.Whens = append(c.Whens, When{Condition: condition, Result: p.expression()})
	}
	if len(c.Whens) == 0 {
		p.fail()
	}
	if p.accept("else") {
		c.Else = p.expression()
	}
	p.expect("end")
	return c
}

func (p *parser) cast() Expr {
	p.expect("cast")
	p.symbol("(")
	value := p.expression()
	p.expect("as")
	name := p.typeName()
	p.symbol(")")
	return &Cast{Value: value, Type: name}
}

func (p *parser) extract() Expr {
	p.expect("extract")
	p.symbol("(")
	field := p.plainIdentifier()
	p.expect("from")
	value := p.expression()
	p.symbol(")")
	return &Extract{Field: field, Value: value}
}

func (p *parser) named() Expr {
	name := p.identifier()
	if !p.acceptSymbol("(") {
		return &Column{Name: name}
	}
	call := &Call{Name: name}
	if p.acceptSymbol("*") {
		call.Star = true
	} else if !p.isSymbol(")") {
		call.Args = append(call.Args, p.expression())
		for p.acceptSymbol(",") {
			call.Args = append(call.Args, p.expression())
		}
	}
	p.symbol(")")
	return call
}

// typeName reads a type; a length or precision in parentheses is ignored.
func (p *parser) typeName() string {
	words := []string{p.identifier()}
	for p.isWord("precision") || p.isWord("varying") || p.isWord("with") || p.isWord("without") ||
		p.isWord("time") || p.isWord("zone") {
		words = append(words, p.identifier())
	}
	if p.acceptSymbol("(") {
		for !p.acceptSymbol(")") {
			if p.peek().kind == tokenEnd {
				p.fail()
			}
			p.at++
		}
	}
	return strings.Join(words, " ")
}
