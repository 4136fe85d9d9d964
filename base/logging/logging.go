// Package logging configures logrus for all processes.
package logging

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Values of the setting log.format.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// New returns a logger that writes to standard error.
func New(format, level, process, vm string) (*logrus.Entry, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	switch format {
	case FormatText, "":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case FormatJSON:
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, errors.Newf("log format %q is neither %q nor %q", format, FormatText, FormatJSON)
	}
	if level == "" {
		level = "info"
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrapf(err, "log level %q", level)
	}
	logger.SetLevel(parsed)
	return logger.WithFields(logrus.Fields{"process": process, "vm": vm}), nil
}
