// Command jayloom-control runs the control process of a control VM.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/cmd/internal/settingsflags"
	"github.com/jayloom/jayloom/control/process"
)

func main() {
	settingsflags.Main("jayloom-control", settings.RoleControl, run)
}

func run(s *settings.Settings, log *logrus.Entry) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return process.Run(ctx, s, log)
}
