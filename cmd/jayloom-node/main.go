// Command jayloom-node runs a gateway node on the users' infrastructure: it serves
// callers and, on a VM with a disk, runs a replica of the control state.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/cmd/internal/version"
	"github.com/jayloom/jayloom/platform"
)

// options holds the command-line flags.
type options struct {
	Settings    string `long:"settings" value-name:"FILE" description:"settings file; the default is named by the infrastructure"`
	Check       bool   `long:"check" description:"check the settings file and exit"`
	NodeListen  string `long:"node-listen" value-name:"ADDRESS" description:"address to listen on for other nodes if it is not the one that they dial, as behind a relay"`
	Version     bool   `long:"version" description:"print the version and exit"`
	MetricsPort int    `long:"metrics-port" default:"9464" description:"port of GET /metrics on the address of the VM; 0 serves none"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if o.Version {
		fmt.Println(version.String("jayloom-node"))
		return
	}
	if o.Settings == "" {
		o.Settings = platform.SettingsPath()
	}
	s, err := platform.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if o.Check {
		return
	}
	if err := run(o, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
