package sql

func (p *parser) selectBody() *Select {
	s := &Select{Items: p.items()}
	if p.accept("from") {
		s.From = p.from()
	}
	if p.accept("where") {
		s.Where = p.expression()
	}
	if p.accept("order", "by") {
		s.OrderBy = p.orderBy()
	}
	if p.accept("limit") && !p.accept("all") {
		s.Limit = p.expression()
	}
	if p.accept("offset") {
		s.Offset = p.expression()
	}
	s.ForUpdate = p.accept("for", "update")
	return s
}

func (p *parser) items() []Item {
	list := []Item{p.item()}
	for p.acceptSymbol(",") {
		list = append(list, p.item())
	}
	return list
}

func (p *parser) item() Item {
	if p.acceptSymbol("*") {
		return Item{Star: true}
	}
	item := Item{Expr: p.expression()}
	t := p.peek()
	switch {
	case p.accept("as"):
		item.Alias = p.plainIdentifier()
	case t.kind == tokenQuoted, t.kind == tokenWord && !reserved[t.text]:
		item.Alias = p.plainIdentifier()
	}
	return item
}

func (p *parser) from() *From {
	f := &From{Name: p.identifier()}
	if p.acceptSymbol("(") {
		p.symbol(")")
		f.Call = true
	}
	// Column references drop their qualifier, so an alias has no use beyond syntax.
	t := p.peek()
	if p.accept("as") || t.kind == tokenWord && !reserved[t.text] {
		p.plainIdentifier()
	}
	return f
}

func (p *parser) orderBy() []Order {
	var list []Order
	for {
		o := Order{Expr: p.expression()}
		if p.accept("desc") {
			o.Descending = true
		} else {
			p.accept("asc")
		}
		list = append(list, o)
		if !p.acceptSymbol(",") {
			return list
		}
	}
}

func (p *parser) insert() Statement {
	p.expect("into")
	s := &Insert{Table: p.identifier()}
	if p.isSymbol("(") {
		s.Columns = p.identifiers()
	}
	switch {
	case p.accept("default", "values"):
		s.Rows = [][]Expr{nil}
	default:
		p.expect("values")
		s.Rows = p.rows()
	}
	if p.accept("on") {
		p.expect("conflict")
		if p.isSymbol("(") {
			p.identifiers()
		}
		p.expect("do", "nothing")
		s.DoNothing = true
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) rows() [][]Expr {
	var rows [][]Expr
	for {
		p.symbol("(")
		row := []Expr{p.valueOrDefault()}
		for p.acceptSymbol(",") {
			row = append(row, p.valueOrDefault())
		}
		p.symbol(")")
		rows = append(rows, row)
		if !p.acceptSymbol(",") {
			return rows
		}
	}
}

func (p *parser) valueOrDefault() Expr {
	if p.accept("default") {
		return nil
	}
	return p.expression()
}

func (p *parser) returning() []Item {
	if !p.accept("returning") {
		return nil
	}
	return p.items()
}

func (p *parser) update() Statement {
	s := &Update{Table: p.identifier()}
	p.expect("set")
	for {
		column := p.identifier()
		p.symbol("=")
		s.Set = append(s.Set, Assignment{Column: column, Value: p.expression()})
		if !p.acceptSymbol(",") {
			break
		}
	}
	if p.accept("where") {
		s.Where = p.expression()
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) delete() Statement {
	p.expect("from")
	s := &Delete{Table: p.identifier()}
	if p.accept("where") {
		s.Where = p.expression()
	}
	s.Returning = p.returning()
	return s
}

func (p *parser) copy() Statement {
	s := &Copy{}
	if p.acceptSymbol("(") {
		p.expect("select")
		s.Query = p.selectBody()
		p.symbol(")")
	} else {
		s.Table = p.identifier()
		if p.isSymbol("(") {
			s.Columns = p.identifiers()
		}
	}
	switch {
	case s.Query == nil && p.accept("from", "stdin"):
		s.From = true
	default:
		p.expect("to", "stdout")
	}
	s.Binary = p.copyFormat()
	return s
}

// copyFormat reads the options of COPY, of which only the format is known, and
// reports whether it is binary.
func (p *parser) copyFormat() bool {
	p.accept("with")
	if p.accept("binary") {
		return true
	}
	if !p.acceptSymbol("(") {
		return false
	}
	p.expect("format")
	binary := p.accept("binary")
	if !binary {
		p.expect("text")
	}
	p.symbol(")")
	return binary
}
