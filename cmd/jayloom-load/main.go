// Command jayloom-load generates open-loop load on proxies, checks the writes they
// acknowledged, measures their overhead and compares reports.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/cmd/internal/flagfile"
)

// command is a subcommand of jayloom-load.
type command interface {
	common() *flagfile.Common
	check(args []string) error
	run(ctx context.Context) error
}

const usage = "[OPTIONS] [cost|experiment|idle|profile]"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jayloom-load:", err)
		os.Exit(1)
	}
}

// selectCommand returns the subcommand named by args and the remaining arguments.
func selectCommand(args []string) (command, []string) {
	if len(args) > 0 {
		switch args[0] {
		case "cost":
			return &costCommand{}, args[1:]
		case "experiment":
			return &experimentCommand{}, args[1:]
		case "idle":
			return &idleCommand{}, args[1:]
		case "profile":
			return &profileCommand{}, args[1:]
		}
	}
	return &loadCommand{}, args
}

func run(args []string) error {
	c, args := selectCommand(args)
	parser := flags.NewParser(c, flagfile.ParserOptions)
	parser.Usage = usage
	rest, done, err := flagfile.ParseCommandLine("jayloom-load", parser, c.common(), args)
	if done || err != nil {
		return err
	}
	if err := c.check(rest); err != nil || c.common().Check {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return c.run(ctx)
}

// writeJSON writes v to the file path, or to standard output if path is "-".
func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	data = append(data, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return errors.Wrap(os.WriteFile(path, data, 0o644), "write report")
}
