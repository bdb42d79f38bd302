// Package ctl implements pumicectl, the command-line tool for operators. It checks, signs and rolls bundles and shows the
// state of the fleet.
//
// It changes the fleet only by moving the bundle pointer in the platform's object store.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"pumiceshelf/bundle"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/objectstore"
	"pumiceshelf/responsecheck"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that a request, read or write failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that the bundle has invalid fields or is not approved.
	ExitInvalid = 3
	// ExitSuperseded means that another operator's bundle was rolled first.
	ExitSuperseded = 4
	// ExitLagging means that the bundle was rolled but did not become active on every instance in time.
	ExitLagging = 5
)

// options holds the options that all commands share.
type options struct {
	Platform string        `long:"platform" env:"PUMICE_PLATFORM" value-name:"URL" description:"base URL of the platform's object API, by IP address and port"`
	Admin    []string      `long:"admin" env:"PUMICE_ADMIN" env-delim:"," value-name:"IP:PORT" description:"admin address of an instance; repeat for more; all on the platform's list if none is given"`
	JSON     bool          `long:"json" description:"print JSON"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"longest time of one call"`
}

// app holds the state of one invocation of the tool.
type app struct {
	options
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
	client *http.Client
}

// errUsage is returned for a command line with missing or invalid options.
var errUsage = errors.New("usage")

// errNotActive is returned if a bundle did not become active on every instance in time.
var errNotActive = errors.New("not in force everywhere")

// Run runs the tool and returns its exit code. args excludes the program name.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr, client: responsecheck.Client(&http.Client{})}
	parser := flags.NewNamedParser("pumicectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if err := a.addCommands(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return a.report(err)
}

const longDescription = `The operators' tool of pumiceshelf: it checks, signs and rolls bundles and shows what the fleet does.

Exit codes: 0 done, 1 not reached or failed, 2 wrong command line, 3 wrong fields or no approval, 4 another operator's bundle came first, 5 rolled but not yet in force everywhere.`

// report prints an error or help text and returns the exit code.
func (a *app) report(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.stdout, err)
		return ExitOK
	case errors.As(err, &flagsErr), errors.Is(err, errUsage):
		fmt.Fprintln(a.stderr, err)
		return ExitUsage
	}
	fmt.Fprintln(a.stderr, err)
	return exitCode(err)
}

// exitCode returns the exit code for an error that is not a usage error.
func exitCode(err error) int {
	var problems fieldcheck.Problems
	switch {
	case errors.As(err, &problems), errors.Is(err, bundle.ErrNotApproved):
		return ExitInvalid
	case errors.Is(err, bundle.ErrSuperseded):
		return ExitSuperseded
	case errors.Is(err, errNotActive):
		return ExitLagging
	}
	return ExitFailed
}

// command is one command of the tool. data holds its options and arguments.
type command struct {
	name, short, long string
	data              any
}

func (a *app) addCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("All commands", "", &a.options); err != nil {
		return fmt.Errorf("ctl: add options: %w", err)
	}
	groups := []struct {
		command
		sub []command
	}{
		{command{"bundle", "Check, compare, sign and roll bundles", "Check, compare, sign and roll bundles.", &struct{}{}}, a.bundleCommands()},
		{command{"key", "Make keys", "Make keys.", &struct{}{}}, a.keyCommands()},
		{command{"status", "Show every instance", statusHelp, &statusCommand{app: a}}, nil},
		{command{"endpoints", "Show every endpoint as each instance sees it", endpointsHelp, &endpointsCommand{app: a}}, nil},
		{command{"budget", "Show a customer's budgets", budgetHelp, &budgetCommand{app: a}}, nil},
		{command{"explain", "Tell the story of a request", explainHelp, &explainCommand{app: a}}, nil},
		{command{"where", "Tell where a request would go now", whereHelp, &whereCommand{app: a}}, nil},
	}
	for _, g := range groups {
		parent, err := parser.AddCommand(g.name, g.short, g.long, g.data)
		if err != nil {
			return fmt.Errorf("ctl: add command: %w", err)
		}
		for _, c := range g.sub {
			if _, err := parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
				return fmt.Errorf("ctl: add subcommand: %w", err)
			}
		}
	}
	return nil
}

// newStore returns a client for the platform's object store, or errUsage if no platform is configured.
func (a *app) newStore() (*objectstore.HTTPStore, error) {
	if a.Platform == "" {
		return nil, fmt.Errorf("%w: set the platform with --platform URL or PUMICE_PLATFORM", errUsage)
	}
	return objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
		URL:          a.Platform,
		Name:         "pumicectl",
		Client:       a.client,
		CallTimeout:  a.Timeout,
		WatchTimeout: a.Timeout,
	}), nil
}
