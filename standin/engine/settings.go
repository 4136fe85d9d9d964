package engine

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

// Version is the server_version that clients see.
const Version = "16.4"

// defaults are the settings that SET and SHOW know; names with a dot are free.
var defaults = map[string]string{
	"application_name":                    "",
	"bytea_output":                        "hex",
	"client_encoding":                     "UTF8",
	"client_min_messages":                 "notice",
	"datestyle":                           "ISO, MDY",
	"default_transaction_isolation":       "read committed",
	"default_transaction_read_only":       "off",
	"extra_float_digits":                  "1",
	"idle_in_transaction_session_timeout": "0",
	"in_hot_standby":                      "off",
	"integer_datetimes":                   "on",
	"intervalstyle":                       "postgres",
	"is_superuser":                        "on",
	"lock_timeout":                        "0",
	"max_connections":                     "100",
	"search_path":                         `"$user", public`,
	"server_encoding":                     "UTF8",
	"server_version":                      Version,
	"server_version_num":                  "160004",
	"session_authorization":               "",
	"standard_conforming_strings":         "on",
	"statement_timeout":                   "0",
	"synchronous_commit":                  "on",
	"timezone":                            "UTC",
	"transaction_isolation":               "read committed",
	"transaction_read_only":               "off",
}

// reported maps settings that ParameterStatus reports to the spelling it uses.
var reported = map[string]string{
	"application_name":              "application_name",
	"client_encoding":               "client_encoding",
	"datestyle":                     "DateStyle",
	"default_transaction_read_only": "default_transaction_read_only",
	"in_hot_standby":                "in_hot_standby",
	"integer_datetimes":             "integer_datetimes",
	"intervalstyle":                 "IntervalStyle",
	"is_superuser":                  "is_superuser",
	"server_encoding":               "server_encoding",
	"server_version":                "server_version",
	"session_authorization":         "session_authorization",
	"standard_conforming_strings":   "standard_conforming_strings",
	"timezone":                      "TimeZone",
}

// settings are the session's settings. SET is undone by ROLLBACK, SET LOCAL by
// the end of the transaction.
type settings struct {
	initial map[string]string
	current map[string]string
	saved   map[string]string // current at the start of the transaction, once changed
	local   map[string]string // values to restore after COMMIT
	told    map[string]string // what the client was told last
}

func newSettings(user, application string) *settings {
	initial := maps.Clone(defaults)
	initial["session_authorization"] = user
	initial["application_name"] = application
	return &settings{initial: initial, current: maps.Clone(initial), told: map[string]string{}}
}

// startup takes over the settings of the startup message; they are what RESET
// returns to.
func (s *settings) startup(given map[string]string) error {
	for name, text := range given {
		if err := s.set(strings.ToLower(name), text); err != nil {
			return err
		}
	}
	s.initial = maps.Clone(s.current)
	s.saved = nil
	return nil
}

func (s *settings) get(name string) string { return s.current[name] }

func (s *settings) show(name string) (string, error) {
	text, ok := s.current[name]
	if !ok {
		return "", unknownSetting(name)
	}
	return text, nil
}

func unknownSetting(name string) error {
	return sqlerr.New(sqlerr.UndefinedObject, "unrecognized configuration parameter %q", name)
}

func (s *settings) set(name, text string) error {
	if _, known := s.current[name]; !known && !strings.Contains(name, ".") {
		return unknownSetting(name)
	}
	text, err := checkSetting(name, text)
	if err != nil {
		return err
	}
	s.keep()
	s.current[name] = text
	return nil
}

func (s *settings) setLocal(name, text string) error {
	before, had := s.current[name]
	if err := s.set(name, text); err != nil {
		return err
	}
	if s.local == nil {
		s.local = map[string]string{}
	}
	if _, ok := s.local[name]; !ok && had {
		s.local[name] = before
	}
	return nil
}

func checkSetting(name, text string) (string, error) {
	switch name {
	case "default_transaction_read_only", "transaction_read_only", "standard_conforming_strings":
		on, err := value.Convert(text, value.Bool)
		if err != nil {
			return "", sqlerr.New(sqlerr.InvalidParameterValue, "parameter %q requires a Boolean value", name)
		}
		return onOff(on == true), nil
	case "statement_timeout":
		_, err := parseTimeout(text)
		return text, err
	}
	return text, nil
}

func parseTimeout(text string) (time.Duration, error) {
	if ms, err := strconv.Atoi(text); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	d, err := time.ParseDuration(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		return 0, sqlerr.New(sqlerr.InvalidParameterValue, "invalid value for parameter %q: %q", "statement_timeout", text)
	}
	return d, nil
}

func (s *settings) reset(name string) error {
	if name == "all" {
		s.keep()
		s.current = maps.Clone(s.initial)
		return nil
	}
	if _, known := s.current[name]; !known {
		return unknownSetting(name)
	}
	s.keep()
	s.current[name] = s.initial[name]
	return nil
}

// keep remembers the values to return to on ROLLBACK.
func (s *settings) keep() {
	if s.saved == nil {
		s.saved = maps.Clone(s.current)
	}
}

func (s *settings) begin() { s.saved, s.local = nil, nil }

func (s *settings) commit() {
	maps.Copy(s.current, s.local)
	s.saved, s.local = nil, nil
}

func (s *settings) rollback() {
	if s.saved != nil {
		s.current = s.saved
	}
	s.saved, s.local = nil, nil
}

// withTimeout applies statement_timeout.
func (s *settings) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	limit, _ := parseTimeout(s.get("statement_timeout"))
	if limit <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeoutCause(ctx, limit,
		sqlerr.New(sqlerr.QueryCanceled, "canceling statement due to statement timeout"))
}

// Report returns the reported settings that changed since the last call.
func (s *Session) Report() map[string]string {
	// A promotion changes it without a SET.
	s.settings.current["in_hot_standby"] = onOff(s.Server.InRecovery())
	var changed map[string]string
	for name, shown := range reported {
		text := s.settings.current[name]
		if last, ok := s.settings.told[name]; ok && last == text {
			continue
		}
		s.settings.told[name] = text
		if changed == nil {
			changed = map[string]string{}
		}
		changed[shown] = text
	}
	return changed
}
