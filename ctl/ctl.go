// Package ctl is the operators' tool: it checks, signs and rolls bundles and shows what the fleet does.
//
// It changes the fleet in one way only, by moving the bundle's pointer in the platform.
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
)

// Exit codes.
const (
	// ExitOK means that all was done.
	ExitOK = 0
	// ExitFailed means that something could not be reached, read or written.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitProblems means that the bundle has wrong fields or lacks approval.
	ExitProblems = 3
	// ExitSuperseded means that another operator's bundle came first.
	ExitSuperseded = 4
	// ExitBehind means that the bundle was rolled and some instances did not have it in force in time.
	ExitBehind = 5
)

// options are those of all commands.
type options struct {
	Platform string        `long:"platform" env:"PUMICE_PLATFORM" value-name:"URL" description:"base URL of the platform's object API, by IP address and port"`
	Admin    []string      `long:"admin" env:"PUMICE_ADMIN" env-delim:"," value-name:"IP:PORT" description:"admin address of an instance; repeat for more; all on the platform's list if none is given"`
	JSON     bool          `long:"json" description:"print JSON"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"longest time of one call"`
}

// app is one run of the tool.
type app struct {
	options
	ctx    context.Context
	out    io.Writer
	err    io.Writer
	client *http.Client
}

// errUsage means that the command line lacks something.
var errUsage = errors.New("usage")

// errBehind means that instances did not have a bundle in force in time.
var errBehind = errors.New("not in force everywhere")

// Run runs the tool with the arguments after its name and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, out: stdout, err: stderr, client: &http.Client{}}
	parser := flags.NewNamedParser("pumicectl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	if err := a.addCommands(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return a.exit(err)
}

const about = `The operators' tool of pumiceshelf: it checks, signs and rolls bundles and shows what the fleet does.

Exit codes: 0 done, 1 not reached or failed, 2 wrong command line, 3 wrong fields or no approval, 4 another operator's bundle came first, 5 rolled but not yet in force everywhere.`

// exit reports an error and returns its code.
func (a *app) exit(err error) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, err)
		return ExitOK
	case errors.As(err, &flagsErr), errors.Is(err, errUsage):
		fmt.Fprintln(a.err, err)
		return ExitUsage
	}
	fmt.Fprintln(a.err, err)
	return codeOf(err)
}

func codeOf(err error) int {
	var problems fieldcheck.Problems
	switch {
	case errors.As(err, &problems), errors.Is(err, bundle.ErrNotApproved):
		return ExitProblems
	case errors.Is(err, bundle.ErrSuperseded):
		return ExitSuperseded
	case errors.Is(err, errBehind):
		return ExitBehind
	}
	return ExitFailed
}

// command describes one command of the tool.
type command struct {
	name, short, long string
	data              any
}

func (a *app) addCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("All commands", "", &a.options); err != nil {
		return fmt.Errorf("ctl: %w", err)
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
	}
	for _, g := range groups {
		parent, err := parser.AddCommand(g.name, g.short, g.long, g.data)
		if err != nil {
			return fmt.Errorf("ctl: %w", err)
		}
		for _, c := range g.sub {
			if _, err := parent.AddCommand(c.name, c.short, c.long, c.data); err != nil {
				return fmt.Errorf("ctl: %w", err)
			}
		}
	}
	return nil
}

// store returns the platform, or errUsage when none is named.
func (a *app) store() (*objectstore.HTTPStore, error) {
	if a.Platform == "" {
		return nil, fmt.Errorf("%w: name the platform by --platform URL or PUMICE_PLATFORM", errUsage)
	}
	return objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
		URL:          a.Platform,
		Name:         "pumicectl",
		Client:       a.client,
		CallTimeout:  a.Timeout,
		WatchTimeout: a.Timeout,
	}), nil
}
