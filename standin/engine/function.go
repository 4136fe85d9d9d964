package engine

import (
	"time"

	"github.com/jayloom/jayloom/standin/sql"
	"github.com/jayloom/jayloom/standin/sqlerr"
	"github.com/jayloom/jayloom/standin/value"
)

type function struct {
	result value.Type
	call   func(e *env, args []any) (any, error)
}

var functions map[string]function

func init() {
	functions = map[string]function{
		"pg_is_in_recovery": {value.Bool, func(e *env, _ []any) (any, error) {
			return e.session.Server.InRecovery(), nil
		}},
		"pg_current_wal_insert_lsn": {value.LSNType, (*env).currentLSN},
		"pg_current_wal_lsn":        {value.LSNType, (*env).currentLSN},
		"pg_current_wal_flush_lsn":  {value.LSNType, (*env).currentLSN},
		"pg_last_wal_replay_lsn":    {value.LSNType, (*env).replayLSN},
		"pg_last_wal_receive_lsn":   {value.LSNType, (*env).replayLSN},
		"pg_promote":                {value.Bool, (*env).promote},
		"pg_reload_conf":            {value.Bool, (*env).reload},
		"pg_sleep":                  {value.Text, (*env).sleep},
		"pg_backend_pid": {value.Int4, func(e *env, _ []any) (any, error) {
			return int64(e.session.Process), nil
		}},
		"now":               {value.Timestamptz, now},
		"clock_timestamp":   {value.Timestamptz, now},
		"current_timestamp": {value.Timestamptz, now},
		"version": {value.Text, func(*env, []any) (any, error) {
			return "PostgreSQL " + Version + " (jayloom-standin)", nil
		}},
		"current_user": {value.Text, user},
		"session_user": {value.Text, user},
		"user":         {value.Text, user},
		"current_database": {value.Text, func(e *env, _ []any) (any, error) {
			return e.session.Database, nil
		}},
		"current_schema": {value.Text, func(*env, []any) (any, error) { return "public", nil }},
		"current_setting": {value.Text, func(e *env, args []any) (any, error) {
			return e.session.show(value.Format(first(args)))
		}},
		"pg_advisory_lock":       {value.Text, (*env).advisoryLock},
		"pg_advisory_unlock":     {value.Bool, (*env).advisoryUnlock},
		"pg_advisory_unlock_all": {value.Text, (*env).advisoryUnlockAll},
		"lastval":                {value.Int8, (*env).lastValue},
		"set_config":             {value.Text, (*env).setConfig},
		"length": {value.Int4, func(_ *env, args []any) (any, error) {
			return int64(len([]rune(value.Format(first(args))))), nil
		}},
	}
}

func now(*env, []any) (any, error) { return time.Now(), nil }

func user(e *env, _ []any) (any, error) { return e.session.User, nil }

func first(args []any) any {
	if len(args) == 0 {
		return nil
	}
	return args[0]
}

func (e *env) call(c *sql.Call) (any, error) {
	if v, ok := e.aggregates[c]; ok {
		return v, nil
	}
	if c.Name == "coalesce" {
		return e.coalesce(c.Args)
	}
	f, ok := functions[c.Name]
	if !ok {
		return nil, unknownFunction(c.Name)
	}
	args, err := e.evalAll(c.Args)
	if err != nil {
		return nil, err
	}
	return f.call(e, args)
}

func unknownFunction(name string) error {
	return sqlerr.New(sqlerr.UndefinedFunction, "function %s does not exist", name)
}

func (e *env) coalesce(list []sql.Expr) (any, error) {
	for _, x := range list {
		v, err := e.eval(x)
		if v != nil || err != nil {
			return v, err
		}
	}
	return nil, nil
}

func (e *env) currentLSN([]any) (any, error) {
	if e.session.Server.InRecovery() {
		return nil, sqlerr.New(sqlerr.ObjectNotInPrerequisiteState, "recovery is in progress")
	}
	return e.session.Store.Position(), nil
}

func (e *env) replayLSN([]any) (any, error) {
	position, ok := e.session.Server.Replayed()
	if !ok {
		return nil, nil
	}
	return position, nil
}

func (e *env) promote([]any) (any, error) {
	if !e.session.Server.InRecovery() {
		return nil, sqlerr.New(sqlerr.ObjectNotInPrerequisiteState, "recovery is not in progress")
	}
	return true, e.session.Server.Promote(e.ctx)
}

func (e *env) reload([]any) (any, error) {
	e.session.Server.ReloadSettings()
	return true, nil
}

func (e *env) sleep(args []any) (any, error) {
	seconds, err := value.Convert(first(args), value.Float8)
	if err != nil || seconds == nil {
		return nil, err
	}
	return "", sleep(e.ctx, time.Duration(seconds.(float64)*float64(time.Second)))
}

func (e *env) setConfig(args []any) (any, error) {
	if len(args) != 3 {
		return nil, unknownFunction("set_config")
	}
	name, text := value.Format(args[0]), value.Format(args[1])
	if args[2] == true {
		return text, e.session.settings.setLocal(name, text)
	}
	return text, e.session.settings.set(name, text)
}
