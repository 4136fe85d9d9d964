// Command jayloom-relay forwards TCP connections and delays, cuts or drops them on
// request, for tests with network faults.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/metricsrv"
	"github.com/jayloom/jayloom/cmd/internal/flagfile"
	"github.com/jayloom/jayloom/standin/relay"
)

// options holds the command-line flags.
type options struct {
	flagfile.Common

	Listen string        `long:"listen" description:"Address to listen on."`
	Target string        `long:"target" description:"Address to forward to."`
	Delay  time.Duration `long:"delay" default:"0s" description:"One-way delay in both directions."`
	HTTP   string        `long:"http" description:"Address that takes POST /cut, /delay?ms=…, /heal and /drop, and serves /metrics."`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "jayloom-relay:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	_, done, err := flagfile.ParseCommandLine("jayloom-relay", flags.NewParser(&o, flagfile.ParserOptions), &o.Common, args)
	if done || err != nil {
		return err
	}
	if err := o.check(); err != nil || o.Check {
		return err
	}
	return serve(&o)
}

func (o *options) check() error {
	for name, address := range map[string]string{"--listen": o.Listen, "--target": o.Target, "--http": o.HTTP} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(err, "%s must be an address of the form host:port", name)
		}
	}
	return nil
}

func serve(o *options) error {
	logger, err := logging.New(o.LogFormat, o.LogLevel, "jayloom-relay", o.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	forwarder, err := relay.Start(ctx, o.Listen, o.Target)
	if err != nil {
		return err
	}
	defer forwarder.Close()
	if err := forwarder.Delay(relay.Both, o.Delay); err != nil {
		return err
	}
	httpListener, err := net.Listen("tcp", o.HTTP)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", o.HTTP)
	}
	mux := http.NewServeMux()
	forwarder.RegisterHandlers(mux)
	metricsrv.Handle(mux)
	httpServer := metricsrv.Serve(httpListener, mux, logrus.NewEntry(logrus.StandardLogger()))
	defer httpServer.Close()
	logger.WithField("target", o.Target).Info("forwarding")
	<-ctx.Done()
	return nil
}
