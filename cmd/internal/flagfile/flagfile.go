// Package flagfile parses command lines whose flags may also be set in a file in JSON
// with comments.
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

// ParserOptions are the options of the commands' parsers. They leave out
// flags.PrintErrors because main prints errors.
const ParserOptions = flags.HelpFlag | flags.PassDoubleDash

// Common holds the flags that all commands share.
type Common struct {
	Config    string `long:"config" value-name:"FILE" description:"Read flags from a file of JSON with comments. Its fields are the long names of flags; the command line overrides them, and lists add up."`
	Check     bool   `long:"check" description:"Check flags and files, then exit."`
	Version   bool   `long:"version" description:"Print the version, then exit."`
	LogFormat string `long:"log-format" default:"text" choice:"text" choice:"json" description:"Format of log lines."`
	LogLevel  string `long:"log-level" default:"info" description:"Lowest level of log lines."`
}

// ParseCommandLine parses the flags of binary and handles --help and --version. common
// must be part of the parser's data. It returns the positional arguments, and done if it
// printed the help or the version, after which the command exits.
func ParseCommandLine(binary string, parser *flags.Parser, common *Common, args []string) (rest []string, done bool, err error) {
	rest, err = Parse(parser, args)
	switch {
	case isHelpRequest(err):
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

// Parse fills the parser's data from the file named by --config, if any, and then from
// args. It returns the positional arguments.
func Parse(parser *flags.Parser, args []string) ([]string, error) {
	path, err := configPath(args)
	if err != nil {
		return nil, err
	}
	if path == "" {
		return parser.ParseArgs(args)
	}
	fileArgs, err := readArgs(path)
	if err != nil {
		return nil, err
	}
	return parser.ParseArgs(append(fileArgs, args...))
}

// isHelpRequest reports whether err carries the help text requested by --help.
func isHelpRequest(err error) bool {
	var e *flags.Error
	return errors.As(err, &e) && e.Type == flags.ErrHelp
}

// configPath returns the value of --config.
func configPath(args []string) (string, error) {
	var configOnly struct {
		Config string `long:"config"`
	}
	_, err := flags.NewParser(&configOnly, flags.IgnoreUnknown).ParseArgs(args)
	return configOnly.Config, err
}

// readArgs converts the fields of a file into command-line flags.
func readArgs(path string) ([]string, error) {
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
	for name, value := range fields {
		elements, ok := value.([]any)
		if !ok {
			elements = []any{value}
		}
		for _, element := range elements {
			elementArgs, err := formatArgs(path, name, element)
			if err != nil {
				return nil, err
			}
			args = append(args, elementArgs...)
		}
	}
	slices.Sort(args)
	return args, nil
}

// formatArgs converts one value of a field into a command-line flag. A false boolean gives
// no flag.
func formatArgs(path, name string, element any) ([]string, error) {
	switch value := element.(type) {
	case bool:
		if !value {
			return nil, nil
		}
		return []string{"--" + name}, nil
	case string:
		return []string{"--" + name + "=" + value}, nil
	case float64:
		return []string{"--" + name + "=" + fmt.Sprint(value)}, nil
	}
	return nil, errors.Newf("%s: field %q must be a string, a number, a boolean or a list of them", path, name)
}
