package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/clock"
	"github.com/jayloom/jayloom/policy/session"
)

// Settings that the proxy answers itself; no upstream sees them.
const (
	jayloomPrefix = "jayloom."
	nameRoute     = "jayloom.route"
	nameSlot      = "jayloom.slot"
	nameSession   = "jayloom.session"
)

func isJayloomName(name string) bool {
	return len(name) > len(jayloomPrefix) && strings.EqualFold(name[:len(jayloomPrefix)], jayloomPrefix)
}

// localCommand is a SET, RESET or SHOW of a jayloom setting.
type localCommand struct {
	verb  string
	name  string
	value string
}

// parseLocal recognizes a local command. Statements about other settings are none.
func parseLocal(sql string) (localCommand, bool) {
	verb, rest := firstWord(sql)
	if verb != "SET" && verb != "SHOW" && verb != "RESET" {
		return localCommand{}, false
	}
	rest = skipBlanks(rest)
	if verb == "SET" {
		if word, after := firstWord(rest); word == "SESSION" {
			rest = skipBlanks(after)
		}
	}
	if !isJayloomName(rest) {
		return localCommand{}, false
	}
	end := len(jayloomPrefix)
	for end < len(rest) && isWordByte(rest[end]) {
		end++
	}
	command := localCommand{verb: verb, name: strings.ToLower(rest[:end])}
	var ok bool
	if command.value, ok = settingValue(verb, rest[end:]); !ok {
		command.verb = ""
	}
	return command, true
}

// settingValue reads what follows the name, up to the end of the statement.
func settingValue(verb, rest string) (string, bool) {
	rest = strings.TrimRight(skipBlanks(rest), "; \t\r\n")
	if verb != "SET" {
		return "", rest == ""
	}
	word, after := firstWord(rest)
	switch {
	case strings.HasPrefix(rest, "="):
		rest = rest[1:]
	case word == "TO":
		rest = after
	default:
		return "", false
	}
	rest = strings.TrimRight(skipBlanks(rest), "; \t\r\n")
	if strings.HasPrefix(rest, "'") {
		return unquote(rest)
	}
	if strings.EqualFold(rest, "DEFAULT") {
		return "", true
	}
	return rest, rest != "" && !strings.ContainsAny(rest, " ;'\"")
}

func unquote(literal string) (string, bool) {
	if len(literal) < 2 || literal[len(literal)-1] != '\'' {
		return "", false
	}
	inner := strings.ReplaceAll(literal[1:len(literal)-1], "''", "\x00")
	if strings.Contains(inner, "'") {
		return "", false
	}
	return strings.ReplaceAll(inner, "\x00", "'"), true
}

// runLocal executes a local command. It returns the shown value and the command tag.
func (s *caller) runLocal(c localCommand) (shown, tag string, err *rescode.Error) {
	if c.name != nameRoute && c.name != nameSlot && c.name != nameSession {
		return "", "", badSetting("there is no setting " + c.name)
	}
	switch c.verb {
	case "SET", "RESET":
		return "", c.verb, s.setLocal(c.name, c.value)
	case "SHOW":
		return s.showLocal(c.name), "SHOW", nil
	default:
		return "", "", badSetting("the statement cannot be read")
	}
}

func (s *caller) setLocal(name, value string) *rescode.Error {
	switch name {
	case nameRoute:
		s.defaultTag.Route = value
		return nil
	case nameSlot:
		if value == "" {
			s.defaultTag.Slot, s.defaultTag.HasSlot = 0, false
			return nil
		}
		return s.defaultTag.SetSlot(value)
	default:
		refused := s.setSession(value)
		if refused == nil {
			// Drivers keep the value reported last, as for every reported setting. Without
			// this it would be that of the startup, which has no positions.
			s.out.Message(&pgproto3.ParameterStatus{Name: nameSession, Value: s.tokenText()})
		}
		return refused
	}
}

func (s *caller) showLocal(name string) string {
	switch name {
	case nameRoute:
		return s.defaultTag.Route
	case nameSlot:
		if !s.defaultTag.HasSlot {
			return ""
		}
		return strconv.FormatUint(uint64(s.defaultTag.Slot), 10)
	default:
		return s.tokenText()
	}
}

// startupSetting takes over a jayloom setting of the startup message. A token is
// verified once the caller is authenticated.
func (s *caller) startupSetting(name, value string) *rescode.Error {
	switch name {
	case nameSession:
		s.startupToken = value
		return nil
	case nameRoute, nameSlot:
		return s.setLocal(name, value)
	default:
		return badSetting("there is no setting " + name)
	}
}

// takeShownToken verifies the token of the startup message, or begins a session.
func (s *caller) takeShownToken() *rescode.Error {
	return s.setSession(s.startupToken)
}

// setSession takes over a token. An identity alone, or nothing, leaves the session
// without a floor of its own: its reads ask the primary.
func (s *caller) setSession(text string) *rescode.Error {
	if text == "" {
		s.consistencyState = consistencyState{identity: session.NewIdentity()}
		return nil
	}
	if identity, ok := session.ParseIdentity(text); ok {
		s.consistencyState = consistencyState{identity: identity}
		return nil
	}
	token, err := session.Verify(s.server.view.Current().TokenKey, s.team, text)
	if err != nil {
		return err
	}
	own := s.minPositions
	s.consistencyState = consistencyState{identity: token.Identity, tokenShown: len(token.Positions) > 0}
	for _, p := range token.Positions {
		s.raiseFloor(p)
	}
	// The token may be older than what this connection has written since.
	for _, p := range own {
		s.raiseFloor(p)
	}
	return nil
}

// raiseFloor reports whether the position is news.
func (s *caller) raiseFloor(p session.Position) bool {
	var raised bool
	s.minPositions, raised = s.minPositions.Advance(p)
	if raised {
		if s.learnedAt == nil {
			s.learnedAt = map[string]time.Duration{}
		}
		s.learnedAt[p.Group] = clock.Now()
	}
	return raised
}

// tokenText is what the caller should show on its next connection.
func (s *caller) tokenText() string {
	if len(s.minPositions) == 0 {
		return s.identity.String()
	}
	key := s.server.view.Current().TokenKey
	if len(key) == 0 {
		return s.identity.String()
	}
	return session.Token{Identity: s.identity, Positions: s.minPositions}.Sign(key, s.team)
}

func badSetting(text string) *rescode.Error {
	return rescode.New(rescode.BadTag, "%s", text)
}

// answerLocal sends the result of a local command.
func (s *caller) answerLocal(shown, tag string) {
	if tag == "SHOW" {
		s.out.Message(&pgproto3.DataRow{Values: [][]byte{[]byte(shown)}})
	}
	s.out.Message(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// describeLocal is the row description of a SHOW.
func describeLocal(c localCommand) pgproto3.BackendMessage {
	if c.verb != "SHOW" {
		return &pgproto3.NoData{}
	}
	const textOID = 25
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(c.name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

// localQuery answers a simple query that is a local command.
func (s *caller) localQuery(c localCommand) error {
	if s.tx == txFailed {
		return s.failedTransactionError()
	}
	shown, tag, err := s.runLocal(c)
	if err != nil {
		return s.refuse(err, true)
	}
	if c.verb == "SHOW" {
		s.out.Message(describeLocal(c))
	}
	s.answerLocal(shown, tag)
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return nil
}

// failedTransactionError answers as a server does in a failed transaction.
func (s *caller) failedTransactionError() error {
	s.out.Message(&pgproto3.ErrorResponse{
		Severity: severityError, SeverityUnlocalized: severityError, Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return nil
}
