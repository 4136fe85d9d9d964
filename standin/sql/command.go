package sql

import "strings"

func (p *parser) create() Statement {
	if p.accept("index") {
		return p.createIndex()
	}
	s := &CreateTable{Temporary: p.accept("temp") || p.accept("temporary")}
	p.expect("table")
	s.IfNotExists = p.accept("if", "not", "exists")
	s.Table = p.identifier()
	p.symbol("(")
	for {
		if p.accept("primary", "key") {
			p.tablePrimaryKey(s)
		} else {
			s.Columns = append(s.Columns, p.columnDef())
		}
		if !p.acceptSymbol(",") {
			break
		}
	}
	p.symbol(")")
	if p.accept("on", "commit") {
		p.expect("preserve", "rows")
	}
	return s
}

func (p *parser) createIndex() Statement {
	p.accept("if", "not", "exists")
	if !p.isWord("on") {
		p.identifier()
	}
	p.expect("on")
	p.identifier()
	p.identifiers()
	return &CreateIndex{}
}

func (p *parser) tablePrimaryKey(s *CreateTable) {
	for _, name := range p.identifiers() {
		for i := range s.Columns {
			if s.Columns[i].Name == name {
				s.Columns[i].PrimaryKey = true
			}
		}
	}
}

func (p *parser) columnDef() ColumnDef {
	c := ColumnDef{Name: p.identifier(), Type: p.typeName()}
	for {
		switch {
		case p.accept("primary", "key"):
			c.PrimaryKey = true
		case p.accept("not", "null"):
			c.NotNull = true
		case p.accept("null"):
		case p.accept("unique"):
			// A unique column that is no primary key would silently not be checked.
			p.at--
			p.fail()
		case p.accept("default"):
			c.Default = p.sum()
		case p.accept("generated"):
			_ = p.accept("by", "default") || p.accept("always")
			p.expect("as", "identity")
			c.Type = "bigserial"
		default:
			return c
		}
	}
}

func (p *parser) drop() Statement {
	p.expect("table")
	s := &DropTable{IfExists: p.accept("if", "exists")}
	s.Table = p.identifier()
	return s
}

func (p *parser) begin() Statement {
	_ = p.accept("transaction") || p.accept("work")
	return p.transactionModes()
}

func (p *parser) start() Statement {
	p.expect("transaction")
	return p.transactionModes()
}

func (p *parser) transactionModes() Statement {
	b := &Begin{}
	for {
		switch {
		case p.accept("read", "only"):
			yes := true
			b.ReadOnly = &yes
		case p.accept("read", "write"):
			no := false
			b.ReadOnly = &no
		case p.accept("isolation", "level", "read", "committed"):
		case p.acceptSymbol(","):
		default:
			return b
		}
	}
}

func (p *parser) commit() Statement {
	_ = p.accept("transaction") || p.accept("work")
	return &Commit{}
}

func (p *parser) rollback() Statement {
	_ = p.accept("transaction") || p.accept("work")
	return &Rollback{}
}

// settingName reads a name with dots, as in jayloom.route.
func (p *parser) settingName() string {
	name := p.plainIdentifier()
	for p.acceptSymbol(".") {
		name += "." + p.plainIdentifier()
	}
	return name
}

func (p *parser) set() Statement {
	if p.accept("session", "characteristics", "as", "transaction") {
		return p.sessionCharacteristics()
	}
	s := &Set{Local: p.accept("local")}
	if !s.Local {
		p.accept("session")
	}
	if p.accept("transaction") {
		return p.setTransaction()
	}
	if p.accept("time", "zone") {
		s.Name = "timezone"
	} else {
		s.Name = p.settingName()
		if !p.acceptSymbol("=") {
			p.expect("to")
		}
	}
	if p.accept("default") {
		s.Default = true
		return s
	}
	s.Value = p.settingValue()
	return s
}

func (p *parser) sessionCharacteristics() Statement {
	mode := p.transactionModes().(*Begin)
	s := &Set{Name: "default_transaction_read_only", Value: "off"}
	if mode.ReadOnly != nil && *mode.ReadOnly {
		s.Value = "on"
	}
	return s
}

func (p *parser) setTransaction() Statement {
	mode := p.transactionModes().(*Begin)
	s := &Set{Name: "transaction_read_only", Value: "off", Local: true}
	if mode.ReadOnly != nil && *mode.ReadOnly {
		s.Value = "on"
	}
	return s
}

func (p *parser) settingValue() string {
	var parts []string
	for {
		sign := ""
		if p.acceptSymbol("-") {
			sign = "-"
		}
		t := p.peek()
		if t.kind == tokenEnd || t.kind == tokenSymbol {
			p.fail()
		}
		p.at++
		parts = append(parts, sign+t.text)
		if !p.acceptSymbol(",") {
			return strings.Join(parts, ", ")
		}
	}
}

func (p *parser) reset() Statement {
	return &Reset{Name: p.settingName()}
}

func (p *parser) show() Statement {
	if p.accept("transaction", "isolation", "level") {
		return &Show{Name: "transaction_isolation"}
	}
	if p.accept("time", "zone") {
		return &Show{Name: "timezone"}
	}
	return &Show{Name: p.settingName()}
}

func (p *parser) prepare() Statement {
	s := &Prepare{Name: p.plainIdentifier()}
	if p.acceptSymbol("(") {
		s.Types = append(s.Types, p.typeName())
		for p.acceptSymbol(",") {
			s.Types = append(s.Types, p.typeName())
		}
		p.symbol(")")
	}
	p.expect("as")
	p.enter()
	s.Body = p.one()
	p.leave()
	p.params = 0
	return s
}

func (p *parser) execute() Statement {
	s := &Execute{Name: p.plainIdentifier()}
	if p.isSymbol("(") {
		s.Args = p.expressions()
	}
	return s
}

func (p *parser) deallocate() Statement {
	p.accept("prepare")
	return &Deallocate{Name: p.plainIdentifier()}
}

func (p *parser) discard() Statement {
	p.expect("all")
	return &DiscardAll{}
}

func (p *parser) listen(command string) Statement {
	s := &Listen{Command: command}
	if p.acceptSymbol("*") {
		return s
	}
	s.Channel = p.plainIdentifier()
	if p.acceptSymbol(",") {
		p.primary()
	}
	return s
}

func (p *parser) alter() Statement {
	p.expect("system")
	if p.accept("reset") {
		return &AlterSystem{Name: p.settingName()}
	}
	p.expect("set")
	s := &AlterSystem{Name: p.settingName()}
	if !p.acceptSymbol("=") {
		p.expect("to")
	}
	s.Value = p.settingValue()
	return s
}
