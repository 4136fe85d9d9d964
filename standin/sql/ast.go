package sql

// Statement is one parsed statement.
type Statement interface{ statement() }

// Expr is an expression.
type Expr interface{ expr() }

// Parsed is a statement with its source text.
type Parsed struct {
	Statement Statement
	Text      string
	// Params is the highest parameter number used.
	Params int
}

// Statements.
type (
	// Select reads from at most one table or function.
	Select struct {
		Items         []Item
		From          *From
		Where         Expr
		OrderBy       []Order
		Limit, Offset Expr
		ForUpdate     bool
	}
	// Insert adds rows; a nil expression stands for DEFAULT.
	Insert struct {
		Table     string
		Columns   []string
		Rows      [][]Expr
		DoNothing bool
		Returning []Item
	}
	// Update changes the rows for which Where holds.
	Update struct {
		Table     string
		Set       []Assignment
		Where     Expr
		Returning []Item
	}
	// Delete removes the rows for which Where holds.
	Delete struct {
		Table     string
		Where     Expr
		Returning []Item
	}
	// CreateTable creates a table.
	CreateTable struct {
		Table       string
		Temporary   bool
		IfNotExists bool
		Columns     []ColumnDef
	}
	// CreateIndex is accepted and has no effect.
	CreateIndex struct{}
	// DropTable drops a table.
	DropTable struct {
		Table    string
		IfExists bool
	}
	// Begin starts a transaction; ReadOnly is nil when the mode is not stated.
	Begin struct{ ReadOnly *bool }
	// Commit ends a transaction.
	Commit struct{}
	// Rollback ends a transaction without effect.
	Rollback struct{}
	// Set changes a setting of the session.
	Set struct {
		Name    string
		Value   string
		Default bool
		Local   bool
	}
	// Reset returns one setting, or all when Name is "all", to its default.
	Reset struct{ Name string }
	// Show returns a setting.
	Show struct{ Name string }
	// Prepare names a statement.
	Prepare struct {
		Name  string
		Types []string
		Body  *Parsed
	}
	// Execute runs a named statement.
	Execute struct {
		Name string
		Args []Expr
	}
	// Deallocate forgets a named statement, or all when Name is "all".
	Deallocate struct{ Name string }
	// DiscardAll returns the session to its initial state.
	DiscardAll struct{}
	// Listen is LISTEN, UNLISTEN or NOTIFY; nothing is ever delivered.
	Listen struct{ Command, Channel string }
	// AlterSystem changes a setting of the server.
	AlterSystem struct{ Name, Value string }
	// Copy moves rows between the client and a table or query.
	Copy struct {
		Table   string
		Columns []string
		Query   *Select
		From    bool
		Binary  bool
	}
)

func (*Select) statement()      {}
func (*Insert) statement()      {}
func (*Update) statement()      {}
func (*Delete) statement()      {}
func (*CreateTable) statement() {}
func (*CreateIndex) statement() {}
func (*DropTable) statement()   {}
func (*Begin) statement()       {}
func (*Commit) statement()      {}
func (*Rollback) statement()    {}
func (*Set) statement()         {}
func (*Reset) statement()       {}
func (*Show) statement()        {}
func (*Prepare) statement()     {}
func (*Execute) statement()     {}
func (*Deallocate) statement()  {}
func (*DiscardAll) statement()  {}
func (*Listen) statement()      {}
func (*AlterSystem) statement() {}
func (*Copy) statement()        {}

// Parts of statements.
type (
	// Item is one entry of a SELECT or RETURNING list.
	Item struct {
		Expr  Expr
		Alias string
		Star  bool
	}
	// From names a table, or a function when Call is set.
	From struct {
		Name string
		Call bool
	}
	// Order is one entry of ORDER BY.
	Order struct {
		Expr       Expr
		Descending bool
	}
	// Assignment is one entry of an UPDATE's SET list.
	Assignment struct {
		Column string
		Value  Expr
	}
	// ColumnDef is one column of CREATE TABLE.
	ColumnDef struct {
		Name       string
		Type       string
		PrimaryKey bool
		NotNull    bool
		Default    Expr
	}
)

// Expressions.
type (
	// Literal is a constant: nil, bool, int64, float64 or string.
	Literal struct{ Value any }
	// Param is $n, counted from 1.
	Param struct{ Number int }
	// Column names a column of the FROM clause.
	Column struct{ Name string }
	// Call is a function call.
	Call struct {
		Name string
		Args []Expr
		Star bool
	}
	// Binary applies an operator to two values.
	Binary struct {
		Op          string
		Left, Right Expr
	}
	// Not negates a condition.
	Not struct{ Value Expr }
	// IsNull tests for NULL.
	IsNull struct {
		Value  Expr
		Negate bool
	}
	// In tests for membership in a list.
	In struct {
		Value  Expr
		List   []Expr
		Negate bool
	}
	// Case is CASE WHEN … THEN … ELSE … END.
	Case struct {
		Whens []When
		Else  Expr
	}
	// When is one branch of Case.
	When struct{ Condition, Result Expr }
	// Cast converts a value to a type.
	Cast struct {
		Value Expr
		Type  string
	}
	// Extract is EXTRACT(field FROM value).
	Extract struct {
		Field string
		Value Expr
	}
	// Subquery is a SELECT that yields one value.
	Subquery struct{ Select *Select }
)

func (*Literal) expr()  {}
func (*Param) expr()    {}
func (*Column) expr()   {}
func (*Call) expr()     {}
func (*Binary) expr()   {}
func (*Not) expr()      {}
func (*IsNull) expr()   {}
func (*In) expr()       {}
func (*Case) expr()     {}
func (*Cast) expr()     {}
func (*Extract) expr()  {}
func (*Subquery) expr() {}
