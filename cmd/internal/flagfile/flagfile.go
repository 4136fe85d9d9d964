// Package flagfile parses command lines whose flags may also come from a file of
// JSON with comments.
package flagfile

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/tailscale/hujson"

	"github.com/jayloom/jayloom/cmd/internal/version"
)

// ParserOptions are the options of the commands' parsers: errors are printed by main.
const ParserOptions = flags.HelpFlag | flags.PassDoubleDash

// Common are the flags of every command.
type Common struct {
	Config    string `long:"config" value-name:"FILE" description:"Read flags from a file of JSON with comments. Its fields are the long names of flags; the command line overrides them, and lists add up."`
	Check     bool   `long:"check" description:"Check flags and files, then exit."`
	Version   bool   `long:"version" description:"Print the version, then exit."`
	LogFormat string `long:"log-format" default:"text" choice:"text" choice:"json" description:"Format of log lines."`
	LogLevel  string `long:"log-level" default:"info" description:"Lowest level of log lines."`
}

// ParseCommandLine parses a command line. common is part of the parser's data. It returns the
// arguments that are no flags, and done when help or the version was all that was
// asked for.
func ParseCommandLine(binary string, parser *flags.Parser, common *Common, args []string) (rest []string, done bool, err error) {
	rest, err = Parse(parser, args)
	switch {
	case wanted(err):
		fmt.Println(err)
		return nil, true, nil
	case err != nil:
		return nil, false, err
	case common.Version:
		fmt.Println(version.String(binary))
		return nil, true, nil
	}
	return rest, false, nil
}

// Parse fills the parser's data from the file that args name, then from args.
// It returns the arguments that are no flags.
func Parse(parser *flags.Parser, args []string) ([]string, error) {
	path, err := configPath(args)
	if err != nil {
		return nil, err
	}
	if path == "" {
		return parser.ParseArgs(args)
	}
	fromFile, err := read(path)
	if err != nil {
		return nil, err
	}
	return parser.ParseArgs(append(fromFile, args...))
}

// wanted reports whether err only says that help was asked for.
func wanted(err error) bool {
	var e *flags.Error
	return errors.As(err, &e) && e.Type == flags.ErrHelp
}

func configPath(args []string) (string, error) {
	var only struct {
		Config string `long:"config"`
	}
	_, err := flags.NewParser(&only, flags.IgnoreUnknown).ParseArgs(args)
	return only.Config, err
}

// read returns the content of a file as flags.
func read(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read flags")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrapf(err, "read flags from %s", path)
	}
	var fields map[string]any
	if err := json.Unmarshal(standard, &fields); err != nil {
		return nil, errors.Wrapf(err, "read flags from %s", path)
	}
	var args []string
	for name, field := range fields {
		list, ok := field.([]any)
		if !ok {
			list = []any{field}
		}
		for _, element := range list {
			arg, err := argument(path, name, element)
			if err != nil {
				return nil, err
			}
			args = append(args, arg...)
		}
	}
	slices.Sort(args)
	return args, nil
}

func argument(path, name string, element any) ([]string, error) {
	switch typed := element.(type) {
	case bool:
		if !typed {
			return nil, nil
		}
		return []string{"--" + name}, nil
	case string:
		return []string{"--" + name + "=" + typed}, nil
	case float64:
		return []string{"--" + name + "=" + fmt.Sprint(typed)}, nil
	}
	return nil, errors.Newf("%s: field %q must be a string, a number, a boolean or a list of them", path, name)
}
