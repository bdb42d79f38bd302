// Command pumiceshelf runs one router instance of the fleet, checks a settings file, or runs a demo of a whole fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"pumiceshelf/api"
	"pumiceshelf/internal/command"
	"pumiceshelf/internal/demo"
	"pumiceshelf/node"
	"pumiceshelf/settings"
)

type runCommand struct {
	Settings string `long:"settings" required:"true" description:"file with the settings of the instance"`
}

type checkCommand struct {
	Settings string `long:"settings" required:"true" description:"file with the settings to check"`
}

type demoCommand struct {
	Serve bool `long:"serve" description:"stay up after the demo and print addresses, keys and a request to try"`
}

func main() {
	command.Main("pumiceshelf", []command.Command{
		{Name: "run", Short: "Run one instance", Long: "Runs one instance of the fleet until SIGTERM has drained it.", Data: &runCommand{}},
		{Name: "route", Short: "Run one routing instance", Long: "Runs one instance that routes by the configuration of a platform, until SIGTERM has drained it.", Data: &routeCommand{}},
		{Name: "check", Short: "Check a settings file", Long: "Names each wrong field by its path, what it has and what it must be.", Data: &checkCommand{}},
		{Name: "demo", Short: "Run everything in one process", Long: "Starts stand-ins and six instances on loopback and sends them requests.", Data: &demoCommand{}},
	})
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := settings.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return demo.Run(ctx, os.Stdout, c.Serve)
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	// SIGHUP must not end the process while it starts or drains either.
	hangups := notifyHangups()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	logger := newLogger(s.Log)
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(memoryLimit(float64(s.MemoryMb)))
	}
	n, err := node.New(node.Config{Settings: s, Log: logger, Seed: uint64(os.Getpid())})
	if err != nil {
		return err
	}
	go checkSettingsOnHangup(context.Background(), hangups, c.Settings, logger, func(file string) error {
		_, err := settings.Load(file)
		return err
	})
	return serve(n, s)
}

// serve runs the instance. The first SIGTERM or SIGINT drains it. A second one stops it immediately, and serve returns
// an error with the number of dropped requests.
func serve(n *node.Node, s *api.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	runDone := make(chan error, 1)
	go func() { runDone <- n.Run(context.Background()) }()
	select {
	case err := <-runDone:
		return err
	case <-signals:
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Server.DrainTimeout.AsDuration())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return errors.Join(n.Shutdown(ctx), <-runDone)
}

func newLogger(s *api.LogSettings) log.Interface {
	logger := &log.Logger{Handler: text.New(os.Stderr), Level: log.MustParseLevel(s.Level)}
	if s.Format == "json" {
		logger.Handler = logjson.New(os.Stderr)
	}
	return logger
}
