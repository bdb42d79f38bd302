// Command pumicectl is the command-line tool for operators. Package ctl implements it.
package main

import (
	"context"
	"os"
	"os/signal"

	"pumiceshelf/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
