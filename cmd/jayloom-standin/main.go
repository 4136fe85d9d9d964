// Command jayloom-standin runs a stand-in for a PostgreSQL server, for local
// deployments and tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/standin"
	"github.com/jayloom/jayloom/standin/announce"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jayloom-standin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	_, done, err := flagfile.ParseCommandLine("jayloom-standin", flags.NewParser(&o, flagfile.ParserOptions), &o.Common, args)
	if done || err != nil {
		return err
	}
	if err := o.readAndCheck(); err != nil || o.Check {
		return err
	}
	return serve(&o)
}

func serve(o *options) error {
	logger, err := logging.New(o.LogFormat, o.LogLevel, "jayloom-standin", o.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	config := o.serverConfig()
	config.Logger = logger
	if err := o.openFiles(&config); err != nil {
		return err
	}
	server, err := standin.Start(ctx, config)
	if err != nil {
		return err
	}
	defer server.Close()
	if err := runInitFile(ctx, server, o.Init); err != nil {
		return err
	}
	if o.HTTP != "" {
		if _, err := metricsrv.Start(o.HTTP, logrus.NewEntry(logrus.StandardLogger())); err != nil {
			return err
		}
	}
	logger.WithFields(logrus.Fields{"address": server.Addr(), "replica": server.InRecovery()}).Info("serving")
	announcer := announce.New(o.Announce, o.AnnounceCredential, o.announcedUpstream(server.Addr()), logger)
	var announcerDone sync.WaitGroup
	announcerDone.Go(func() { announcer.Run(ctx) })
	waitForStopSignal(ctx, announcer, logger)
	cancel()
	announcerDone.Wait()
	return nil
}

// runInitFile runs the statements of the --init file on a primary.
func runInitFile(ctx context.Context, server *standin.Server, path string) error {
	if path == "" || server.InRecovery() {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "--init")
	}
	return errors.Wrap(server.Exec(ctx, string(data)), "--init")
}

// waitForStopSignal announces on each signal that the server leaves. It returns on
// SIGTERM and SIGINT; on SIGUSR1 the server keeps serving.
func waitForStopSignal(ctx context.Context, announcer *announce.Announcer, logger *logrus.Entry) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for received := range signals {
		logger.WithField("signal", received.String()).Info("announcing departure")
		announcer.Leave(ctx)
		if received != syscall.SIGUSR1 {
			return
		}
	}
}
