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

// Settings that the proxy handles itself and does not send to an upstream.
const (
	settingPrefix  = "jayloom."
	settingRoute   = "jayloom.route"
	settingSlot    = "jayloom.slot"
	settingSession = "jayloom.session"
)

func isJayloomSetting(name string) bool {
	return len(name) > len(settingPrefix) && strings.EqualFold(name[:len(settingPrefix)], settingPrefix)
}

// localCommand is a SET, RESET or SHOW of a jayloom setting. The verb is empty if the
// statement is malformed.
type localCommand struct {
	verb  string
	name  string
	value string
}

// parseLocalCommand parses a local command. It returns false for a statement that does
// not name a jayloom setting.
func parseLocalCommand(sql string) (localCommand, bool) {
	verb, rest := firstWord(sql)
	if verb != "SET" && verb != "SHOW" && verb != "RESET" {
		return localCommand{}, false
	}
	rest = skipSpaceAndComments(rest)
	if verb == "SET" {
		if word, after := firstWord(rest); word == "SESSION" {
			rest = skipSpaceAndComments(after)
		}
	}
	if !isJayloomSetting(rest) {
		return localCommand{}, false
	}
	end := len(settingPrefix)
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

// settingValue parses the text after the setting's name, up to the end of the statement.
func settingValue(verb, rest string) (string, bool) {
	rest = strings.TrimRight(skipSpaceAndComments(rest), "; \t\r\n")
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
	rest = strings.TrimRight(skipSpaceAndComments(rest), "; \t\r\n")
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

// runLocalCommand executes a local command. It returns the value for SHOW and the
// command tag.
func (s *caller) runLocalCommand(c localCommand) (value, tag string, err *rescode.Error) {
	if c.name != settingRoute && c.name != settingSlot && c.name != settingSession {
		return "", "", badSetting("unknown setting " + c.name)
	}
	switch c.verb {
	case "SET", "RESET":
		return "", c.verb, s.setJayloomSetting(c.name, c.value)
	case "SHOW":
		return s.showJayloomSetting(c.name), "SHOW", nil
	default:
		return "", "", badSetting("malformed SET, SHOW or RESET")
	}
}

func (s *caller) setJayloomSetting(name, value string) *rescode.Error {
	switch name {
	case settingRoute:
		s.defaultTag.Route = value
		return nil
	case settingSlot:
		if value == "" {
			s.defaultTag.Slot, s.defaultTag.HasSlot = 0, false
			return nil
		}
		return s.defaultTag.SetSlot(value)
	default:
		refused := s.setSession(value)
		if refused == nil {
			// Drivers keep the last reported value of a setting. Without this report they
			// would keep that of the startup, which has no positions.
			s.out.Message(&pgproto3.ParameterStatus{Name: settingSession, Value: s.sessionToken()})
		}
		return refused
	}
}

func (s *caller) showJayloomSetting(name string) string {
	switch name {
	case settingRoute:
		return s.defaultTag.Route
	case settingSlot:
		if !s.defaultTag.HasSlot {
			return ""
		}
		return strconv.FormatUint(uint64(s.defaultTag.Slot), 10)
	default:
		return s.sessionToken()
	}
}

// setStartupSetting applies a jayloom setting of the startup message. A token is
// verified once the caller is authenticated.
func (s *caller) setStartupSetting(name, value string) *rescode.Error {
	switch name {
	case settingSession:
		s.startupToken = value
		return nil
	case settingRoute, settingSlot:
		return s.setJayloomSetting(name, value)
	default:
		return badSetting("unknown setting " + name)
	}
}

// verifyStartupToken verifies the token of the startup message, or begins a session.
func (s *caller) verifyStartupToken() *rescode.Error {
	return s.setSession(s.startupToken)
}

// setSession continues the session of a token. An identity alone, or an empty text,
// leaves the session without a minimum position: its reads ask the primary.
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
	current := s.minPositions
	s.consistencyState = consistencyState{identity: token.Identity, hasTokenPositions: len(token.Positions) > 0}
	for _, p := range token.Positions {
		s.raiseMinPosition(p)
	}
	// The token may be older than what this connection has written since.
	for _, p := range current {
		s.raiseMinPosition(p)
	}
	return nil
}

// raiseMinPosition raises the session's minimum position in a group. It returns false if
// the session has already reached the position.
func (s *caller) raiseMinPosition(p session.Position) bool {
	var raised bool
	s.minPositions, raised = s.minPositions.Advance(p)
	if raised {
		if s.knownSince == nil {
			s.knownSince = map[string]time.Duration{}
		}
		s.knownSince[p.Group] = clock.Now()
	}
	return raised
}

// sessionToken returns the token that the caller should send on its next connection, or
// the identity alone if there is no position or no key.
func (s *caller) sessionToken() string {
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

// sendLocalResult sends the result of a local command.
func (s *caller) sendLocalResult(value, tag string) {
	if tag == "SHOW" {
		s.out.Message(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	s.out.Message(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// describeLocalCommand returns the row description of a SHOW, or NoData.
func describeLocalCommand(c localCommand) pgproto3.BackendMessage {
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

// handleLocalQuery answers a simple query that is a local command.
func (s *caller) handleLocalQuery(c localCommand) error {
	if s.tx == txFailed {
		return s.sendFailedTransaction()
	}
	value, tag, err := s.runLocalCommand(c)
	if err != nil {
		return s.refuse(err, true)
	}
	if c.verb == "SHOW" {
		s.out.Message(describeLocalCommand(c))
	}
	s.sendLocalResult(value, tag)
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return nil
}

// sendFailedTransaction answers as PostgreSQL does in a failed transaction.
func (s *caller) sendFailedTransaction() error {
	s.out.Message(&pgproto3.ErrorResponse{
		Severity: severityError, SeverityUnlocalized: severityError, Code: "25P02",
		Message: "current transaction is aborted, commands ignored until end of transaction block",
	})
	s.out.Message(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	return nil
}
