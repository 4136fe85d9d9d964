// Package settingsflags implements the command line of the processes that read settings
// files.
package settingsflags

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/jayloom/jayloom/base/logging"
	"github.com/jayloom/jayloom/base/settings"
	"github.com/jayloom/jayloom/cmd/internal/version"
)

// Exit statuses.
const (
	exitFailure  = 1
	exitSettings = 2
)

// options holds the command-line flags.
type options struct {
	Settings string   `long:"settings" value-name:"FILE" description:"base settings file"`
	Overlay  []string `long:"overlay" value-name:"FILE" description:"settings that differ from the base; may be repeated, later ones win"`
	Check    bool     `long:"check" description:"check the settings and exit"`
	Version  bool     `long:"version" description:"print the version and exit"`
}

// Main parses the command line, loads and checks the settings that role needs, and calls
// run. It exits the process if there is nothing to run, if the settings are invalid or if
// run fails.
func Main(binary string, role settings.Role, run func(*settings.Settings, *logrus.Entry) error) {
	var o options
	if _, err := flags.NewParser(&o, flags.Default).ParseArgs(os.Args[1:]); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(0)
		}
		os.Exit(exitSettings)
	}
	if o.Version {
		fmt.Println(version.String(binary))
		os.Exit(0)
	}
	s, log, err := o.load(binary, role)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", binary, err)
		os.Exit(exitSettings)
	}
	if o.Check {
		fmt.Println("settings are valid")
		os.Exit(0)
	}
	if err := run(s, log); err != nil {
		log.WithError(err).Error("stopped")
		os.Exit(exitFailure)
	}
}

func (o options) load(binary string, role settings.Role) (*settings.Settings, *logrus.Entry, error) {
	s, err := settings.Load(o.Settings, o.Overlay...)
	if err != nil {
		return nil, nil, err
	}
	if err := s.CheckRole(role); err != nil {
		return nil, nil, err
	}
	log, err := logging.New(s.Log.Format, s.Log.Level, binary, s.VM.Name)
	return s, log, err
}
