package main

import (
	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/base/settings"
)

type options struct {
	Settings string   `long:"settings" value-name:"FILE" description:"base settings file"`
	Overlay  []string `long:"overlay" value-name:"FILE" description:"settings that differ from the base; may be repeated"`
	Check    bool     `long:"check" description:"check the settings and exit"`
	Version  bool     `long:"version" description:"print the version and exit"`
}

func parseOptions(args []string) (options, error) {
	var o options
	_, err := flags.NewParser(&o, flags.Default).ParseArgs(args)
	return o, err
}

func (o options) load() (*settings.Settings, error) {
	loaded, err := settings.Load(o.Settings, o.Overlay...)
	if err != nil {
		return nil, err
	}
	return loaded, loaded.CheckRole(settings.RoleProxy)
}
