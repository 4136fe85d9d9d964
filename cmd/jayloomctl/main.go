// Command jayloomctl is the operators' command line: it changes and shows the
// configuration of a running system.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/cmd/internal/version"
)

// exitRefused is the exit status of a command that the system refused or that
// could not be sent.
const exitRefused = 1

// exitUsage is the exit status of a command line that cannot be understood.
const exitUsage = 2

// options are the flags shared by all commands.
type options struct {
	Control        []string `long:"control" env:"JAYLOOM_CONTROL" env-delim:"," default:"127.0.0.1:7401" description:"gRPC address of a control VM (several allowed)"`
	CredentialFile string   `long:"credential-file" env:"JAYLOOM_CREDENTIAL_FILE" description:"file that holds the operator credential"`
	TLSCert        string   `long:"tls-cert" description:"PEM file of the client certificate"`
	TLSKey         string   `long:"tls-key" description:"PEM file of the client key"`
	TLSCA          string   `long:"tls-ca" description:"PEM file of the CA of the control VMs"`
	Timeout        uint32   `long:"timeout-ms" default:"10000" description:"time for the whole command in milliseconds"`
	RequestID      string   `long:"request-id" description:"identity of this change; a change resent under the same identity is applied once"`
	Expected       uint64   `long:"expected-revision" description:"refuse the change unless the configuration has this revision"`
	JSON           bool     `long:"json" description:"print JSON"`
	Version        func()   `long:"version" description:"print the version and exit"`
}

// global is set by the parser before a command runs; go-flags offers commands no
// other way to the flags of their parent.
var global options

func main() {
	global.Version = func() {
		fmt.Println(version.String("jayloomctl"))
		os.Exit(0)
	}
	parser := flags.NewParser(&global, flags.HelpFlag|flags.PassDoubleDash)
	addCommands(parser)
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
	}
}

// report prints an error and returns the exit status for it.
func report(err error) int {
	var usage *flags.Error
	if !errors.As(err, &usage) {
		fmt.Fprintln(os.Stderr, "jayloomctl:", err)
		return exitRefused
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "jayloomctl:", usage.Message)
	return exitUsage
}

func addCommands(parser *flags.Parser) {
	team := group(parser, "team", "create, change and remove teams")
	command(team, "set", "create a team or change its rate", &teamSet{})
	command(team, "remove", "remove a team and its keys", &teamRemove{})
	key := group(parser, "key", "give and withdraw keys")
	command(key, "give", "create a key and print it once", &keyGive{})
	command(key, "withdraw", "withdraw a key", &keyWithdraw{})
	service := group(parser, "service", "set and remove services")
	command(service, "set", "create a service or change its slots", &serviceSet{})
	command(service, "remove", "remove a service", &serviceRemove{})
	route := group(parser, "route", "set and remove routes")
	command(route, "set", "create or change a route", &routeSet{})
	command(route, "remove", "remove a route", &routeRemove{})
	upstream := group(parser, "upstream", "remove upstreams")
	command(upstream, "remove", "remove an upstream that has left", &upstreamRemove{})
	proxy := group(parser, "proxy", "remove proxies")
	command(proxy, "remove", "remove a proxy that will not return", &proxyRemove{})
	members := group(parser, "member", "change the voters of the control log")
	command(members, "add-learner", "add a control VM as a learner", &memberAddLearner{})
	command(members, "promote", "make a learner a voter", &memberPromote{})
	command(members, "remove", "remove a voter or learner", &memberRemove{})
	command(parser.Command, "show", "show configuration, VMs, groups, primaries and terms", &show{})
	command(parser.Command, "explain", "show what was decided lately and why", &explain{})
	command(parser.Command, "hash-credential", "read a credential from standard input and print its salted hash", &hashCredential{})
}

func group(parser *flags.Parser, name, short string) *flags.Command {
	return command(parser.Command, name, short, &struct{}{})
}

func command(parent *flags.Command, name, short string, data any) *flags.Command {
	added, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		// Only a malformed struct tag in this program leads here.
		panic(err)
	}
	return added
}
