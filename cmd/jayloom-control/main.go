// Command jayloom-control is the control process of one control VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/cmd/internal/version"
	"github.com/jayloom/jayloom/control/process"
)

const binary = "jayloom-control"

type options struct {
	Settings string   `long:"settings" required:"yes" description:"base settings file"`
	Overlay  []string `long:"overlay" description:"overlay settings file (several allowed, later ones win)"`
	Check    bool     `long:"check" description:"check the settings and exit"`
	Version  func()   `long:"version" description:"print the version and exit"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", binary, err)
		os.Exit(1)
	}
}

func run() error {
	opts := options{Version: func() {
		fmt.Println(version.String(binary))
		os.Exit(0)
	}}
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		os.Exit(2)
	}
	all, err := settings.Load(opts.Settings, opts.Overlay...)
	if err != nil {
		return err
	}
	if err := all.CheckRole(settings.RoleControl); err != nil {
		return err
	}
	if opts.Check {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := logging.New(all.Log.Format, all.Log.Level, binary, all.VM.Name)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return process.Run(ctx, all, log)
}
