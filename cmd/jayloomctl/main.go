// Command jayloomctl is the operators' command-line tool. It changes and shows the
// configuration of a running system.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jayloom/jayloom/cmd/internal/version"
)

// exitFailure is the exit status of a command that the system refused or that
// could not be sent.
const exitFailure = 1

// exitUsage is the exit status of an invalid command line.
const exitUsage = 2

// options holds the flags shared by all commands.
type options struct {
	Control          []string `long:"control" env:"JAYLOOM_CONTROL" env-delim:"," default:"127.0.0.1:7401" description:"gRPC address of a control VM (several allowed)"`
	CredentialFile   string   `long:"credential-file" env:"JAYLOOM_CREDENTIAL_FILE" description:"file that holds the operator credential"`
	TLSCert          string   `long:"tls-cert" description:"PEM file of the client certificate"`
	TLSKey           string   `long:"tls-key" description:"PEM file of the client key"`
	TLSCA            string   `long:"tls-ca" description:"PEM file of the CA of the control VMs"`
	TimeoutMs        uint32   `long:"timeout-ms" default:"10000" description:"time for the whole command in milliseconds"`
	RequestID        string   `long:"request-id" description:"identity of this change; a change resent under the same identity is applied once"`
	ExpectedRevision uint64   `long:"expected-revision" description:"refuse the change unless the configuration has this revision"`
	JSON             bool     `long:"json" description:"print JSON"`
	Version          func()   `long:"version" description:"print the version and exit"`
}

// globalOptions is filled by the parser before a command runs. It is a package variable
// because go-flags gives commands no access to the flags of their parent.
var globalOptions options

func main() {
	globalOptions.Version = func() {
		fmt.Println(version.String("jayloomctl"))
		os.Exit(0)
	}
	parser := flags.NewParser(&globalOptions, flags.HelpFlag|flags.PassDoubleDash)
	addCommands(parser)
	if _, err := parser.Parse(); err != nil {
		os.Exit(printError(err))
	}
}

// printError prints an error, or the requested help, and returns the exit status.
func printError(err error) int {
	var flagsErr *flags.Error
	if !errors.As(err, &flagsErr) {
		fmt.Fprintln(os.Stderr, "jayloomctl:", err)
		return exitFailure
	}
	if flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "jayloomctl:", flagsErr.Message)
	return exitUsage
}

func addCommands(parser *flags.Parser) {
	team := addGroup(parser, "team", "create, change and remove teams")
	addCommand(team, "set", "create a team or change its rate", &teamSet{})
	addCommand(team, "remove", "remove a team and its keys", &teamRemove{})
	key := addGroup(parser, "key", "give and withdraw keys")
	addCommand(key, "give", "create a key and print it once", &keyGive{})
	addCommand(key, "withdraw", "withdraw a key", &keyWithdraw{})
	service := addGroup(parser, "service", "set and remove services")
	addCommand(service, "set", "create a service or change its slots", &serviceSet{})
	addCommand(service, "remove", "remove a service", &serviceRemove{})
	route := addGroup(parser, "route", "set and remove routes")
	addCommand(route, "set", "create or change a route", &routeSet{})
	addCommand(route, "remove", "remove a route", &routeRemove{})
	upstream := addGroup(parser, "upstream", "remove upstreams")
	addCommand(upstream, "remove", "remove an upstream that has left", &upstreamRemove{})
	proxy := addGroup(parser, "proxy", "remove proxies")
	addCommand(proxy, "remove", "remove a proxy that will not return", &proxyRemove{})
	member := addGroup(parser, "member", "change the voters of the control log")
	addCommand(member, "add-learner", "add a control VM as a learner", &memberAddLearner{})
	addCommand(member, "promote", "make a learner a voter", &memberPromote{})
	addCommand(member, "remove", "remove a voter or learner", &memberRemove{})
	addCommand(parser.Command, "show", "show configuration, VMs, groups, primaries and terms", &show{})
	addCommand(parser.Command, "explain", "show what was decided lately and why", &explain{})
	addCommand(parser.Command, "hash-credential", "read a credential from standard input and print its salted hash", &hashCredential{})
}

func addGroup(parser *flags.Parser, name, short string) *flags.Command {
	return addCommand(parser.Command, name, short, &struct{}{})
}

func addCommand(parent *flags.Command, name, short string, data any) *flags.Command {
	added, err := parent.AddCommand(name, short, short, data)
	if err != nil {
		// Only a malformed struct tag in this program causes an error.
		panic(err)
	}
	return added
}
